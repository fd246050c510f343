package probe

import (
	"net"
	"os/exec"
	"syscall"
	"testing"
)

// Guards against an upstream that counts as silent because this process was stopped during its check.
func TestCheckWhileStopped(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	defer func() { dialer.Control = nil }()
	for _, pause := range []string{"0.3", "1", "5"} {
		t.Run(pause+" s", func(t *testing.T) {
			dialer.Control = func(_, _ string, _ syscall.RawConn) error {
				return exec.Command("sh", "-c", "kill -STOP $PPID; sleep "+pause+"; kill -CONT $PPID").Run()
			}
			if err := dial(t.Context(), l.Addr().String()); err != nil {
				t.Fatal(err)
			}
		})
	}
}
