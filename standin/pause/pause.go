// Package pause stops processes for a part of the time, as a busy machine does.
package pause

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Self stops this process for d. A shell continues it.
func Self(d time.Duration) error {
	return exec.Command("sh", "-c", fmt.Sprintf("kill -STOP $PPID; sleep %g; kill -CONT $PPID", d.Seconds())).Run()
}

// Throttle lets a process run for a part of each period until end is called, which returns an error if the process had
// ended before.
func Throttle(p *os.Process, runs, period time.Duration) (end func() error) {
	stop, done := make(chan struct{}), make(chan error, 1)
	go func() {
		for {
			select {
			case <-stop:
				done <- nil
				return
			default:
			}
			if err := step(p, runs, period); err != nil {
				done <- err
				return
			}
		}
	}()
	return func() error { close(stop); return <-done }
}

// step stops a process for the rest of a period and then lets it run.
func step(p *os.Process, runs, period time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(period - runs)
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	time.Sleep(runs)
	return nil
}
