package logger

import (
	"bytes"
	"io"
	"sync"
)

// lineQueue is an io.Writer that never waits for its output: a goroutine writes the lines. If more
// than bufferLines wait, the oldest are dropped.
type lineQueue struct {
	out     io.Writer
	lines   chan []byte
	dropped func(n int)
	// closing is closed by Close; done once all lines were written.
	closing, done chan struct{}
	close         func()
}

// newLineQueue returns a queue that writes to w. It calls dropped for each line that is dropped.
func newLineQueue(w io.Writer, dropped func(n int)) *lineQueue {
	q := &lineQueue{
		out: w, lines: make(chan []byte, bufferLines), dropped: dropped,
		closing: make(chan struct{}), done: make(chan struct{}),
	}
	q.close = sync.OnceFunc(func() { close(q.closing) })
	go q.run()
	return q
}

// Write queues a copy of a line.
func (q *lineQueue) Write(p []byte) (int, error) {
	l := bytes.Clone(p)
	for {
		select {
		case q.lines <- l:
			return len(p), nil
		default:
		}
		select {
		case <-q.lines:
			q.dropped(1)
		default:
		}
	}
}

// run writes lines until Close is called, and then those that are left.
func (q *lineQueue) run() {
	defer close(q.done)
	for {
		select {
		case l := <-q.lines:
			q.write(l)
			continue
		case <-q.closing:
		}
		for {
			select {
			case l := <-q.lines:
				q.write(l)
			default:
				return
			}
		}
	}
}

// write writes a line. A failure counts as a dropped line, which the next line that can be written
// reports.
func (q *lineQueue) write(l []byte) {
	if _, err := q.out.Write(l); err != nil {
		q.dropped(1)
	}
}

// Close writes the lines that are left and waits for that. Lines queued later are not written.
func (q *lineQueue) Close() error {
	q.close()
	<-q.done
	return nil
}
