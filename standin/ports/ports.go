// Package ports selects free loopback addresses for the processes of tests.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and portCount give the range to choose from. It lies below the kernel's
	// ephemeral ports (from 32768 on): an outgoing connection took a port between its
	// selection and the start of the process.
	firstPort = 12_000
	portCount = 20_000
	// blockSize is the number of ports that a process reserves at once. It costs one open
	// listener for each block.
	blockSize  = 50
	blockCount = portCount / blockSize
)

// FullError reports that Free found no free port.
type FullError struct{}

func (*FullError) Error() string {
	return fmt.Sprintf("find a port: all %d from %d on are in use or reserved", portCount, firstPort)
}

// reserved holds what this process has reserved. No port is returned twice, because a killed
// process needs its own address when it restarts.
var reserved struct {
	sync.Mutex
	// locks listen on the first port of each block until the process ends, so that no other
	// process reserves the block. Without a reference they would be closed by the garbage collector.
	locks []net.Listener
	// next and end bound the ports of the latest block that were not returned yet.
	next, end int
}

// Free returns a loopback address on which no process listens and that no process has got from
// Free or Listen before, except one that has ended. Its error is a *FullError. A process that is
// being started may hold the address for a moment longer.
func Free() (string, error) {
	l, err := Listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// Listen returns a listener on an address as that of Free.
func Listen() (net.Listener, error) {
	r := &reserved
	r.Lock()
	defer r.Unlock()
	for {
		for r.next < r.end {
			a := address(r.next)
			r.next++
			if l, err := net.Listen("tcp", a); err == nil {
				return l, nil
			}
		}
		if !reserveBlock() {
			return nil, &FullError{}
		}
	}
}

// reserveBlock reserves another block and reports whether it found one. The caller holds the lock.
func reserveBlock() bool {
	// At random, as blocks of a process that has ended may still be called by others.
	for _, b := range rand.Perm(blockCount) {
		first := firstPort + b*blockSize
		if l, err := net.Listen("tcp", address(first)); err == nil {
			reserved.locks = append(reserved.locks, l)
			reserved.next, reserved.end = first+1, first+blockSize
			return true
		}
	}
	return false
}

func address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
