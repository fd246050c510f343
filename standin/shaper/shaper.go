// Package shaper is a stand-in for the network link of one process: what the process sends on all its connections shares
// one rate, and what the link has not carried stands in the process's send queues.
package shaper

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// segment is the largest number of bytes that one connection sends at its turn.
	segment = 1460
	// receiveBuffer is the size of the receive buffer towards the process, in bytes. What doesn't fit stays unacknowledged.
	// The kernel raises it to its minimum.
	receiveBuffer = 1
	// slack is for how long the link makes up for the time in which this process didn't run.
	slack = 20 * time.Millisecond
)

// Link is a link with a rate. It is safe for concurrent use.
type Link struct {
	rate float64

	mu sync.Mutex
	// free is when the link has sent all that it has taken.
	free time.Time
	// open holds the listeners and connections.
	open  map[io.Closer]bool
	tasks sync.WaitGroup
}

// New returns a link that carries some bytes a second.
func New(rate int) *Link {
	return &Link{rate: float64(rate), open: map[io.Closer]bool{}}
}

// ToProcess returns an address whose connections lead to the process's address. The process's answers use the link.
func (l *Link) ToProcess(process string) (string, error) { return l.forward(process, true) }

// FromProcess returns an address at which the process reaches a peer. The process's requests use the link.
func (l *Link) FromProcess(peer string) (string, error) { return l.forward(peer, false) }

// Close closes all listeners and connections and waits until their goroutines have ended.
func (l *Link) Close() {
	l.mu.Lock()
	for c := range l.open {
		c.Close()
	}
	l.open = nil
	l.mu.Unlock()
	l.tasks.Wait()
}

func (l *Link) forward(target string, answers bool) (string, error) {
	small := func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		}); e != nil {
			return e
		}
		return err
	}
	var accepts net.ListenConfig
	var dials net.Dialer
	if answers {
		dials.Control = small
	} else {
		accepts.Control = small
	}
	i, err := accepts.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.add(i)
	l.tasks.Go(func() {
		for {
			c, err := i.Accept()
			if err != nil {
				return
			}
			l.tasks.Go(func() {
				p, err := dials.Dial("tcp", target)
				if err != nil {
					c.Close()
					return
				}
				if answers {
					l.connect(p, c)
				} else {
					l.connect(c, p)
				}
			})
		}
	})
	return i.Addr().String(), nil
}

// add has Close close c. It closes c if Close has been called.
func (l *Link) add(c io.Closer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		c.Close()
		return
	}
	l.open[c] = true
}

// remove closes c.
func (l *Link) remove(c io.Closer) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// connect passes bytes between the process and a peer until both directions have ended.
func (l *Link) connect(process, peer net.Conn) {
	l.add(process)
	l.add(peer)
	defer l.remove(process)
	defer l.remove(peer)
	var back sync.WaitGroup
	back.Go(func() {
		if _, err := io.Copy(process, peer); err != nil {
			process.Close()
		}
		closeWrite(process)
	})
	b := make([]byte, segment)
	for {
		n, err := process.Read(b)
		if n > 0 {
			l.carry(n)
			if _, err := peer.Write(b[:n]); err != nil {
				process.Close()
			}
		}
		if err != nil {
			break
		}
	}
	closeWrite(peer)
	back.Wait()
}

// closeWrite ends the sending side of a TCP connection.
func closeWrite(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite() //nolint:errcheck,gosec // a failure means that the connection is closed
	}
}

// carry waits until the link has sent n bytes after those that it has taken before.
func (l *Link) carry(n int) {
	l.mu.Lock()
	if t := time.Now().Add(-slack); l.free.Before(t) {
		l.free = t
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	end := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(end))
}
