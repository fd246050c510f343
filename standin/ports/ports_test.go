package ports_test

import (
	"net"
	"testing"

	"tarragonvalve.example/standin/ports"
)

// Guards against an address that is returned twice, and against a port in the kernel's
// ephemeral range, which an outgoing connection may take.
func TestFree(t *testing.T) {
	seen := map[string]bool{}
	for range 500 {
		a, err := ports.Free()
		if err != nil {
			t.Fatal(err)
		}
		p, err := net.ResolveTCPAddr("tcp", a)
		if err != nil || p.Port >= 32768 || seen[a] {
			t.Fatalf("got %s, %v, seen before: %v", a, err, seen[a])
		}
		seen[a] = true
	}
}
