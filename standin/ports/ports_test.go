package ports_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"testing"

	"tarragonvalve.example/standin/ports"
)

const (
	// addresses is how many each process takes. If two processes choose at random, about 12 of 500
	// in a range of 20,000 are the same.
	addresses = 500
	// printsEnv is set in a process that prints addresses and holds them until its input ends.
	printsEnv = "PORTS_TEST_PRINTS"
)

func TestMain(m *testing.M) {
	if os.Getenv(printsEnv) == "" {
		os.Exit(m.Run())
	}
	for range addresses {
		a, err := ports.Free()
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(a)
	}
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// Guards against an address that is returned twice, and against a port in the kernel's
// ephemeral range, which an outgoing connection may take.
func TestFree(t *testing.T) {
	seen := map[string]bool{}
	for range addresses {
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

// Guards against an address that two processes get, as `go test ./...` runs those of several packages
// at once: the clients of one test reach the router of the other while their own starts or has stopped.
func TestFreeInTwoProcesses(t *testing.T) {
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), printsEnv+"=1")
	p.Stderr = os.Stderr
	in, err := p.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := p.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		in.Close()
		if err := p.Wait(); err != nil {
			t.Errorf("the other process: %v", err)
		}
	})
	others := map[string]bool{}
	for lines := bufio.NewScanner(out); len(others) < addresses && lines.Scan(); {
		others[lines.Text()] = true
	}
	if len(others) < addresses {
		t.Fatalf("the other process got %d addresses, want %d", len(others), addresses)
	}
	for range addresses {
		a, err := ports.Free()
		if err != nil {
			t.Fatal(err)
		}
		if others[a] {
			t.Errorf("%s is held by the other process", a)
		}
	}
}
