// Package proc builds the programs and runs them as real processes for tests:
// it starts, pauses, kills and drains them and reads the addresses that they
// print. It ends only processes that it started, by their ids.
package proc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// WaitTimeout bounds every wait for a condition. It is far above what any condition
	// needs, so that a busy machine does not change the verdict.
	WaitTimeout = 90 * time.Second
	// pollInterval is the pause between two looks at a condition.
	pollInterval = 20 * time.Millisecond
	// maxLogLines is how much of a process's log a failed test prints.
	maxLogLines = 60
)

// binDir is the folder of the built programs.
var binDir string

// Main builds the programs once into a temporary folder and runs the tests.
func Main(m *testing.M, programs ...string) int {
	dir, err := os.MkdirTemp("", "proof-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make folder for programs:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, p := range programs {
		// The module's folder lies beside the one of the tests.
		c := exec.Command("go", "build", "-o", dir+string(filepath.Separator), ".")
		c.Dir = filepath.Join("..", p)
		if out, err := c.CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build %s: %v\n%s", p, err, out)
			return 1
		}
	}
	binDir = dir
	return m.Run()
}

// Program returns the path of a built program.
func Program(name string) string {
	return filepath.Join(binDir, name)
}

// Process is one running process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *logBuffer
	done chan struct{}
}

// Start starts a program and decodes the JSON line that it prints when it is
// ready. The process is killed at the end of the test if it still runs.
func Start(t *testing.T, name, program string, ready any, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, log: &logBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(Program(program), args...)
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	t.Cleanup(func() {
		p.Kill()
		if t.Failed() {
			t.Logf("last log lines of %s:\n%s", name, p.log.tail(maxLogLines))
		}
	})
	line := make(chan []byte, 1)
	go p.watch(out, line)
	select {
	case b := <-line:
		if err := json.Unmarshal(b, ready); err != nil {
			t.Fatalf("read addresses of %s from %q: %v\n%s", name, b, err, p.log.tail(maxLogLines))
		}
	case <-time.After(WaitTimeout):
		t.Fatalf("start %s: no addresses within %s\n%s", name, WaitTimeout, p.log.tail(maxLogLines))
	}
	return p
}

// watch passes the first line of standard output on, drains the rest and waits for the end.
func (p *Process) watch(out io.Reader, line chan<- []byte) {
	r := bufio.NewReader(out)
	b, _ := r.ReadBytes('\n')
	line <- b
	_, _ = io.Copy(p.log, r)
	// The exit code is read from the process's state.
	_ = p.cmd.Wait()
	close(p.done)
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (p *Process) Resume() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	if p.Ended() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate asks the process to shut down with SIGTERM.
func (p *Process) Terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// ExitCode waits for the end and returns the exit code, -1 after a signal.
func (p *Process) ExitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(WaitTimeout):
		t.Fatalf("%s has not ended within %s", p.Name, WaitTimeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// Log returns the last lines of the process's log.
func (p *Process) Log() string {
	return p.log.tail(maxLogLines)
}

// Run runs a program to its end and returns its exit code and output.
func Run(ctx context.Context, program string, args ...string) (code int, out, errs string) {
	c := exec.CommandContext(ctx, Program(program), args...)
	var o, e bytes.Buffer
	c.Stdout, c.Stderr = &o, &e
	err := c.Run()
	var x *exec.ExitError
	switch {
	case errors.As(err, &x):
		code = x.ExitCode()
	case err != nil:
		return -1, "", err.Error()
	}
	return code, o.String(), e.String()
}

// Eventually polls a condition until it holds. The text says what was waited for.
func Eventually(t *testing.T, text string, cond func() bool) {
	t.Helper()
	end := time.Now().Add(WaitTimeout)
	for !cond() {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", WaitTimeout, text)
		}
		time.Sleep(pollInterval)
	}
}

// logBuffer keeps the log of one process. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *logBuffer) tail(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(strings.TrimRight(l.b.String(), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}
