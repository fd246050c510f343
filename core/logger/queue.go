package logger

import (
	"bytes"
	"io"
	"sync"
)

// maxBatch bounds the bytes of lines that are written with one call. A pipe takes that many as a whole (PIPE_BUF), so
// that a process that is killed leaves no part of a line.
const maxBatch = 4096

// lineQueue is an io.Writer that never waits for its output: a goroutine writes the lines. If more
// than bufferLines wait, the oldest are dropped.
type lineQueue struct {
	out     io.Writer
	lines   chan []byte
	dropped func(n int)
	// closing is closed by Close; done once all lines were written.
	closing, done chan struct{}
	close         func()
	// batch holds lines to be written, and belongs to the goroutine of run.
	batch []byte
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

// write writes a line, and those that wait behind it, with one call for up to maxBatch bytes.
func (q *lineQueue) write(l []byte) {
	q.batch = append(q.batch[:0], l...)
	n := 1
	for {
		select {
		case next := <-q.lines:
			if len(q.batch)+len(next) > maxBatch {
				q.writeBatch(n)
				q.batch, n = q.batch[:0], 0
			}
			q.batch = append(q.batch, next...)
			n++
			continue
		default:
		}
		q.writeBatch(n)
		return
	}
}

// writeBatch writes the batch of n lines. A failure counts as dropped lines, which the next line that can be written
// reports.
func (q *lineQueue) writeBatch(n int) {
	if _, err := q.out.Write(q.batch); err != nil {
		q.dropped(n)
	}
}

// Close writes the lines that are left and waits for that. Lines queued later are not written.
func (q *lineQueue) Close() error {
	q.close()
	<-q.done
	return nil
}
