package main

import (
	"net"
	"sync"
	"sync/atomic"
)

// Proxy forwards connections to another address.
type Proxy struct {
	Address string

	target string
	mu     sync.Mutex
	open   map[*pair]struct{}
}

// pair is a connection through a proxy.
type pair struct {
	near, far net.Conn
	// silent is true once what arrives at either end is dropped.
	silent atomic.Bool
}

// newProxy starts a proxy on a free port.
func newProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target, open: map[*pair]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Silence makes all open connections silent for good: they stay open and carry nothing more. New ones work. It returns
// how many there were.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for x := range p.open {
		if x.silent.CompareAndSwap(false, true) {
			n++
		}
	}
	return n
}

func (p *Proxy) serve(near net.Conn) {
	defer near.Close()
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer far.Close()
	x := &pair{near: near, far: far}
	p.mu.Lock()
	p.open[x] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, x)
		p.mu.Unlock()
	}()
	var w sync.WaitGroup
	w.Go(func() { x.copy(far, near) })
	w.Go(func() { x.copy(near, far) })
	w.Wait()
}

// copy passes on bytes until one end closes. The end of a silent connection isn't passed on either.
func (x *pair) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if !x.silent.Load() && n > 0 {
			if _, werr := to.Write(b[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !x.silent.Load() {
				to.(*net.TCPConn).CloseWrite()
			}
			return
		}
	}
}
