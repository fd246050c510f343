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
	// maxAttempts bounds the number of ports that Free tries.
	maxAttempts = 100
)

// FullError reports that Free found no free port in maxAttempts attempts.
type FullError struct{}

func (*FullError) Error() string {
	return fmt.Sprintf("find a port: none of %d tried from %d to %d is free", maxAttempts, firstPort, firstPort+portCount-1)
}

// handedOut holds the addresses returned so far. None is returned again, because a killed
// process needs its own address when it restarts.
var handedOut sync.Map

// Free returns a loopback address on which no process listens and that was not returned
// before in this process. Its error is a *FullError.
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
