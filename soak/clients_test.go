package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

const (
	// bodyTime is the longest time over which a body in chunks is sent, lastChunkWait that from its last data until
	// its end where that has a segment of its own.
	bodyTime      = time.Second
	lastChunkWait = 50 * time.Millisecond
	// maxBodyChunks is the largest number of chunks in a body.
	maxBodyChunks = 4
	// clientPatience bounds the time in which a client waits for the whole response.
	clientPatience = plannedTimeout + 5*time.Second
)

// plannedClient is a client in a run with planned work only, with its connection to a router.
type plannedClient struct {
	*planned
	net.Conn
	random *rand.Rand
	router *router
	reader *bufio.Reader
	// used counts the requests on the connection.
	used int
}

// connect opens a connection to the client's router unless there is one.
func (c *plannedClient) connect() error {
	if c.Conn != nil {
		return nil
	}
	k, err := net.DialTimeout("tcp", c.router.clients, time.Second)
	if err != nil {
		return err
	}
	c.Conn, c.reader, c.used = k, bufio.NewReader(k), 0
	return nil
}

// disconnect closes the client's connection if there is one.
func (c *plannedClient) disconnect() {
	if c.Conn != nil {
		c.Close()
	}
	c.Conn = nil
}

// runClient sends requests until ctx ends. It uses a connection until the router closes it, whatever its answers say
// about that, or opens a new one to the same router at times. From a closed connection it goes to the next router.
func (p *planned) runClient(ctx context.Context, n int) {
	at := n % routerCount
	c := plannedClient{planned: p, random: rand.New(rand.NewPCG(p.seed, uint64(200+n)))}
	defer c.disconnect()
	for i := 0; ctx.Err() == nil; i++ {
		c.router = p.routers[at]
		if err := c.connect(); err != nil {
			at = (at + 1) % routerCount
			time.Sleep(20 * time.Millisecond)
			continue
		}
		kind := []string{"read", "order", "chat", "chat"}[c.random.IntN(4)]
		closes, ok := c.exchange(fmt.Sprintf("%d-%d-%d", p.seed, n, i), kind, bodyTime)
		switch {
		case !ok:
			c.disconnect()
			at = (at + 1) % routerCount
		case c.random.IntN(4) == 0 || (closes && c.random.IntN(2) == 0):
			c.disconnect()
		}
		time.Sleep(time.Duration(c.random.IntN(20)) * time.Millisecond)
	}
}

// lateMark is in the ids of late requests.
const lateMark = "-late-"

// id returns a new id with a mark.
func (c *plannedClient) id(mark string) string {
	return fmt.Sprintf("%d%s%x", c.seed, mark, c.random.Uint64())
}

// keep opens a connection and sends a look-up on it, so that it is a kept one.
func (c *plannedClient) keep() {
	if c.connect() != nil {
		return
	}
	if closes, ok := c.exchange(c.id("-kept-"), "read", 0); closes || !ok {
		c.disconnect()
	}
}

// sendLate sends a stream or an order late in a stop that began at term, on the kept connection if there is one.
func (c *plannedClient) sendLate(term time.Time) {
	defer c.disconnect()
	time.Sleep(time.Until(term.Add(lateRequest + time.Duration(c.random.Int64N(int64(listenerOpen-lateRequest))))))
	if c.connect() == nil {
		c.exchange(c.id(lateMark), []string{"chat", "chat", "order"}[c.random.IntN(3)], aimSpread)
	}
}

// sendAimed sends one order or look-up on a new connection, near the time at which the router closes its listener in
// a stop that began at term.
func (c *plannedClient) sendAimed(term time.Time) {
	defer c.disconnect()
	time.Sleep(time.Until(term.Add(listenerOpen - aimSpread + time.Duration(c.random.Int64N(int64(2*aimSpread))))))
	if c.connect() == nil {
		c.exchange(c.id("-aimed-"), []string{"read", "order", "order"}[c.random.IntN(3)], aimSpread)
	}
}

// exchange sends a request, its body over up to limit, and reads and records its response. With limit 0 the body has
// a length, after which a connection can be kept. It returns ok false if the connection can't be used any more, and
// closes true if the router says that it ends.
func (c *plannedClient) exchange(id, kind string, limit time.Duration) (closes, ok bool) {
	key := []string{"key-a", "key-b"}[c.random.IntN(2)]
	c.checker.recordSend(id, kind, key, c.router.name)
	// A failure shows when the response is read.
	_ = c.SetDeadline(time.Now().Add(clientPatience))
	c.used++
	form := fmt.Sprintf("%s, request %d of its connection", c.writeRequest(id, kind, key, limit), c.used)
	a, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.recordLost(id, form, err)
		return false, false
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		c.recordLost(id, form, err)
		return false, false
	}
	if a.StatusCode != http.StatusUnauthorized || !c.keysChanged() {
		c.checker.recordResponse(id, a.StatusCode, string(b), false, a.Header.Get("Tarragonvalve-Server-Signature"))
	}
	return a.Close, true
}

// writeRequest writes a request whose body has a length or is in chunks, and returns which. Errors of writing show
// when the response is read: a router may answer before the body has been sent.
func (c *plannedClient) writeRequest(id, kind, key string, limit time.Duration) string {
	method := http.MethodPost
	if kind == "read" {
		method = http.MethodGet
	}
	body := "body of " + id
	deadline := map[string]time.Duration{"read": routeTimeout, "order": plannedOrderTimeout, "chat": plannedTimeout}[kind]
	head := fmt.Sprintf("%s /%s/1 HTTP/1.1\r\nHost: shop.example\r\nTarragonvalve-Attempt-Id: %s\r\nTarragonvalve-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, kind, id, deadline.Milliseconds(), key)
	if limit == 0 || c.random.IntN(2) == 0 {
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return "body with a length"
	}
	n, pause := 1+c.random.IntN(maxBodyChunks), time.Duration(0)
	if c.random.IntN(3) == 0 {
		pause = time.Duration(c.random.Int64N(int64(limit))) / maxBodyChunks
	}
	segments := bodySegments(body, n, c.random.IntN(2) == 0)
	segments[0] = head + "Transfer-Encoding: chunked\r\n\r\n" + segments[0]
	for i, x := range segments {
		if i == n {
			pause = time.Duration(c.random.Int64N(int64(lastChunkWait)))
		}
		if i > 0 {
			time.Sleep(pause)
		}
		io.WriteString(c, x)
	}
	return fmt.Sprintf("body in %d chunks", n)
}

// bodySegments returns a body in n chunks, one in each segment. The last chunk, which is empty, has a segment of its
// own if alone is true.
func bodySegments(body string, n int, alone bool) []string {
	var out []string
	for i := range n {
		d := body[i*len(body)/n : (i+1)*len(body)/n]
		out = append(out, fmt.Sprintf("%x\r\n%s\r\n", len(d), d))
	}
	if alone {
		return append(out, "0\r\n\r\n")
	}
	out[n-1] += "0\r\n\r\n"
	return out
}
