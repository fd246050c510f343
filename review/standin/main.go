// Command standin runs the scripted cases of the review: it starts routers as separate processes and
// plays the platform's store, the servers, the operator and the clients. It exits with 1 if the rule
// of the case was broken, 0 if it held and 2 if the case could not run. With 0 as the last argument it
// leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name.
var cases = map[string]func(e *env) (int, error){
	"revoked":   revoked,
	"stopped":   stopped,
	"emptied":   emptied,
	"preempted": preempted,
	"poisoned":  poisoned,
}

// env is what a case runs in.
type env struct {
	// trouble is false if the disruption is left out.
	trouble bool
	// dir is a temporary folder.
	dir    string
	record *record

	mu sync.Mutex
	// routers are the processes that were started.
	routers []*router
}

// limit is the longest time that a case may take.
const limit = 115 * time.Second

// watch ends the program, with all processes that it started, at a signal or after limit.
func (e *env) watch() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-c:
		case <-time.After(limit):
		}
		e.mu.Lock()
		endAll(e.routers)
		os.RemoveAll(e.dir)
		os.Exit(failed)
	}()
}

// record collects what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

// add adds a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.addAt(time.Now(), format, args...)
}

// addAt adds a line about a given time.
func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%10.6f s  %s", at.Sub(r.began).Seconds(), fmt.Sprintf(format, args...)))
}

// write writes the lines to a file.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for _, l := range r.lines {
		fmt.Fprintln(f, l)
	}
	return f.Close()
}

func main() {
	os.Exit(run())
}

// run runs the case that the arguments name, CASE FOLDER TROUBLE, in the root of the repository.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER TROUBLE")
		return failed
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(dir)
	e := &env{trouble: os.Args[3] != "0", dir: dir, record: &record{began: time.Now()}}
	e.watch()
	code, err := cases[os.Args[1]](e)
	if err != nil {
		e.record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = failed
	}
	e.record.add("exit code %d", code)
	if err := e.record.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return code
}
