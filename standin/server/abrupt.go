package server

import (
	"io"
	"net"
	"time"
)

// Abrupt sends a text as it is, after a delay and before it reads the request body, and ends the connection.
type Abrupt struct {
	Text  string
	Delay time.Duration
	End   End
}

func (Abrupt) reply() {}

// End is how a connection ends.
type End int

const (
	// ByReset ends it without the request body being read.
	ByReset End = iota
	// ByEnd ends the sending side, and the connection once the request body has been read.
	ByEnd
	// ByEndThenReset ends the sending side, and then the connection without the request body being read.
	ByEndThenReset
)

// abruptPause is the time from the text of an Abrupt reply to the reset.
const abruptPause = 20 * time.Millisecond

// sendAbrupt carries out an Abrupt reply.
func sendAbrupt(c net.Conn, body io.Reader, a Abrupt) {
	time.Sleep(a.Delay)
	t, ok := c.(*net.TCPConn)
	if !ok || !write(c, a.Text) {
		return
	}
	if a.End != ByReset && t.CloseWrite() != nil {
		return
	}
	if a.End == ByEnd {
		drainBody(body)
		return
	}
	// Without a pause the reset could overtake the text within the client's process.
	time.Sleep(abruptPause)
	// The close of the connection, by the caller, resets it. An error means that it is closed already.
	_ = t.SetLinger(0)
}
