package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/router/relay"
	"tarragonvalve.example/router/routes"
	"tarragonvalve.example/router/uplink"
)

// retryFull is the Retry-After of an instance whose link is full. It can be short, as the retry uses a new connection,
// which goes to another instance.
const retryFull = 100 * time.Millisecond

// checkLink refuses an admitted request that the instance's link can't carry in time, and ends its connection.
func checkLink(ctx context.Context, w http.ResponseWriter, q *http.Request, j *relay.Job) error {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	u, ok := unwrap(c).(*uplink.Conn)
	if !ok {
		return nil
	}
	err := u.Begin(uplink.Need{Route: string(j.Route.ID), Body: q.ContentLength, Stream: j.Route.Kind == routes.Stream, Left: time.Until(j.Deadline)})
	var full *uplink.FullError
	if errors.As(err, &full) {
		w.Header().Set("Connection", "close")
		return refuse.New(refuse.Overloaded, refuse.NotRun, "%v", full).WithRetryAfter(retryFull)
	}
	return err
}

// endAnswer tells the meter of the link, if there is one, that the answer of the request in progress is written. x may be
// nil.
func endAnswer(c net.Conn, x *exchange) {
	u, ok := unwrap(c).(*uplink.Conn)
	if !ok {
		return
	}
	var o *outcome
	if x != nil {
		o = x.outcome.Load()
	}
	u.End(o != nil && o.err == nil)
}

// tcpConn returns the TCP connection in c, or false.
func tcpConn(c net.Conn) (*net.TCPConn, bool) {
	switch x := unwrap(c).(type) {
	case *uplink.Conn:
		return x.TCPConn, true
	case *net.TCPConn:
		return x, true
	default:
		return nil, false
	}
}
