package front

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/ending"
	"tarragonvalve.example/core/late"
	"tarragonvalve.example/core/refuse"
)

// scriptedConn is a connection whose reads fail with errs, one after the other.
type scriptedConn struct {
	net.Conn
	errs []error
}

func (c *scriptedConn) Read([]byte) (int, error) {
	err := c.errs[0]
	c.errs = c.errs[1:]
	return 0, err
}

// Guards against a client's departure that is not reported as net/http read from the connection once more, after
// it was closed or past its deadline.
func TestClientEndKept(t *testing.T) {
	tests := map[string]struct {
		errs []error
		want []ending.Cause
	}{
		"end":                   {[]error{io.EOF}, []ending.Cause{ending.ClientGone}},
		"end, then closed":      {[]error{io.EOF, net.ErrClosed}, []ending.Cause{ending.ClientGone}},
		"end, then late":        {[]error{io.EOF, os.ErrDeadlineExceeded}, []ending.Cause{ending.ClientGone}},
		"late, then end":        {[]error{os.ErrDeadlineExceeded, io.EOF}, []ending.Cause{ending.ClientGone}},
		"reset, then closed":    {[]error{syscall.ECONNRESET, net.ErrClosed}, []ending.Cause{ending.ClientGone}},
		"late, then closed":     {[]error{os.ErrDeadlineExceeded, net.ErrClosed}, nil},
		"closed by this server": {[]error{net.ErrClosed}, nil},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var got []ending.Cause
			g := NewGate(nil, clock.Boot, late.New(late.Clock(clock.Boot), zerolog.Nop()), nil, func() time.Duration { return time.Second })
			r := boundedReporter(&endReporter{gate: g, count: func(x ending.Cause) { got = append(got, x) }, log: zerolog.Nop()})
			o := &clientConn{Conn: &scriptedConn{errs: c.errs}, ends: r}
			x := &exchange{}
			o.begin(x)
			for _, want := range c.errs {
				if _, err := o.Read(nil); !errors.Is(err, want) {
					t.Fatalf("read: %v, want %v", err, want)
				}
			}
			x.end(t.Context(), refuse.New(refuse.BadRequest, refuse.NotRun, "read the body: %v", io.ErrUnexpectedEOF))
			o.stateChanged(http.StateClosed)
			if !slices.Equal(got, c.want) {
				t.Errorf("counted %v, want %v", got, c.want)
			}
		})
	}
}
