// Package ports finds addresses for the processes of tests.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and count are the ports to choose from. They lie below those that the
	// kernel gives to outgoing connections (from 32768 on), one of which took a port
	// between its choice and the start of a process.
	firstPort = 12_000
	portCount = 20_000
	// maxAttempts bounds the search.
	maxAttempts = 100
)

// FullError reports that no port was free.
type FullError struct{}

func (*FullError) Error() string {
	return fmt.Sprintf("find a port: none of %d tried from %d to %d is free", maxAttempts, firstPort, firstPort+portCount-1)
}

// handedOut are the addresses returned so far: a process that was killed needs its own again.
var handedOut sync.Map

// Free returns a loopback address that nobody listens on and that was not returned
// before. Its error is a *FullError.
func Free() (string, error) {
	for range maxAttempts {
		a := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if _, used := handedOut.LoadOrStore(a, true); used {
			continue
		}
		if l, err := net.Listen("tcp", a); err == nil {
			l.Close()
			return a, nil
		}
	}
	return "", &FullError{}
}
