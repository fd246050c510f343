package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, out: bufio.NewWriter(f), started: time.Now()}, nil
}

// Add writes a line with the time since the start of the case.
func (r *Record) Add(format string, args ...any) {
	r.AddAt(time.Now(), format, args...)
}

// AddAt writes a line with the time of an event.
func (r *Record) AddAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", t.Sub(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line and shows it.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// sortTimes sorts times in ascending order.
func sortTimes(ts []time.Time) { slices.SortFunc(ts, time.Time.Compare) }
