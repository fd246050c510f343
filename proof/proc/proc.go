// Package proc builds the programs and runs them as processes for tests: it starts, pauses,
// terminates and kills them and reads the addresses that they print. It signals only processes
// that it started, by their ids.
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
	// WaitTimeout bounds every wait for a condition. It is far above the time that any condition
	// needs, so that a test doesn't fail because the machine is busy.
	WaitTimeout = 90 * time.Second
	// pollInterval is the pause between two checks of a condition.
	pollInterval = 20 * time.Millisecond
	// maxLogLines is the number of log lines of a process that a failed test prints.
	maxLogLines = 60
)

// binDir is the directory of the built programs; Main sets it.
var binDir string

// Main builds the programs into a temporary directory, runs the tests and returns the exit code
// for TestMain. Each program is the main package of the module of its name.
func Main(m *testing.M, programs ...string) int {
	dir, err := os.MkdirTemp("", "proof-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "create directory for programs:", err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	for _, p := range programs {
		// The modules are in sibling directories of the tests' module.
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

// Process is a process that Start started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *logBuffer
	// logs is the end of the pipe from which the log is read.
	logs *os.File
	done chan struct{}
}

// Start starts a program and decodes the JSON line that it prints when it is ready into ready.
// The process is killed at the end of the test if it still runs; if the test failed, the end
// of its log is printed.
func Start(t *testing.T, name, program string, ready any, args ...string) *Process {
	t.Helper()
	p := &Process{Name: name, log: &logBuffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(Program(program), args...)
	logs, w, err := os.Pipe()
	if err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	p.logs, p.cmd.Stderr = logs, w
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	_ = w.Close() // the process has its own
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

// watch sends the first line of standard output to line, copies the rest to the log and waits
// for the process to end.
func (p *Process) watch(out io.Reader, line chan<- []byte) {
	var logged sync.WaitGroup
	logged.Go(func() { _, _ = io.Copy(p.log, p.logs) })
	r := bufio.NewReader(out)
	b, _ := r.ReadBytes('\n')
	line <- b
	_, _ = io.Copy(p.log, r)
	// The error is not needed: ExitCode reads the exit code from ProcessState.
	_ = p.cmd.Wait()
	logged.Wait()
	_ = p.logs.Close()
	close(p.done)
}

// CloseLog closes the pipe to which the process writes its log, as when the process that reads it ends.
func (p *Process) CloseLog() {
	_ = p.logs.Close()
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (p *Process) Resume() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// Kill kills the process with SIGKILL and waits for its end. It does nothing if the process has
// ended.
func (p *Process) Kill() {
	if p.Ended() {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Terminate sends SIGTERM, on which the process drains and shuts down.
func (p *Process) Terminate() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) {
	_ = p.cmd.Process.Signal(s)
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

// ExitCode waits for the end of the process and returns its exit code, -1 if a signal ended it.
// It fails the test after WaitTimeout.
func (p *Process) ExitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(WaitTimeout):
		t.Fatalf("%s has not ended within %s", p.Name, WaitTimeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// PeakMemory returns the most memory that the process has had resident, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	return PeakMemory(p.cmd.Process.Pid)
}

// PeakMemory returns the most memory that a process has had resident, in bytes. It returns an error if the process
// has ended.
func PeakMemory(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb << 10, nil
		}
	}
	return 0, fmt.Errorf("process %d has no peak of memory: it has ended", pid)
}

// Log returns the last maxLogLines lines of the process's log.
func (p *Process) Log() string {
	return p.log.tail(maxLogLines)
}

// Run runs a program to its end and returns its exit code, standard output and standard error.
// If the program can't be run, the code is -1 and errs the reason.
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

// Eventually polls a condition until it holds and fails the test after WaitTimeout. The text
// describes the condition.
func Eventually(t *testing.T, text string, cond func() bool) {
	t.Helper()
	end := time.Now().Add(WaitTimeout)
	for !cond() {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %s: %s", WaitTimeout, text)
		}
		time.Sleep(pollInterval)
	}
}

// logBuffer collects the log of one process. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// tail returns the last n lines.
func (l *logBuffer) tail(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	lines := strings.Split(strings.TrimRight(l.b.String(), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}
