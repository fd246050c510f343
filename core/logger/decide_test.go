package logger_test

import (
	"bytes"
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/logger"
)

// blockingWriter is an output whose writes block until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Guards against a log that blocks on a slow output or is unbounded, and against
// losing a warning whose message has reached its rate limit at a lower level.
func TestDecisionsBounded(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	l, flush := logger.Decisions(w, zerolog.InfoLevel, "r1")
	for i := range 50_000 {
		l.Info().Int("n", i).Msg("success")
	}
	l.Warn().Msg("success")
	close(w.release)
	if err := flush(); err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSpace(w.b.Bytes()), []byte("\n"))
	if len(lines) < 50 || len(lines) > 2000 {
		t.Errorf("%d lines of 50,001 written, want 50 to 2000", len(lines))
	}
	var last map[string]any
	if err := json.Unmarshal(lines[len(lines)-1], &last); err != nil {
		t.Fatal(err)
	}
	if last["level"] != "warn" || last["instance"] != "r1" || last["time"] == nil {
		t.Errorf("the last line is not the warning with its instance and time: %s", lines[len(lines)-1])
	}
}

// Guards against omitted lines that the next line of the same kind doesn't count.
func TestDecisionsReportOmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b bytes.Buffer
		l, flush := logger.Decisions(&b, zerolog.InfoLevel, "r1")
		for range 1000 {
			l.Info().Msg("success")
		}
		time.Sleep(time.Second)
		l.Info().Msg("success")
		if err := flush(); err != nil {
			t.Fatal(err)
		}
		lines := bytes.Split(bytes.TrimSpace(b.Bytes()), []byte("\n"))
		var x struct {
			Omitted int `json:"left-out"`
		}
		if err := json.Unmarshal(lines[len(lines)-1], &x); err != nil {
			t.Fatal(err)
		}
		if x.Omitted+len(lines) != 1001 {
			t.Errorf("%d lines written and %d reported as omitted, want a sum of 1001", len(lines), x.Omitted)
		}
	})
}

// Guards against a line that stays in the buffer until the next line is logged: the
// wake-up of the goroutine that writes lines was lost if it came between that
// goroutine's look at the empty buffer and its wait.
func TestDecisionsLastLine(t *testing.T) {
	w := make(lineSink)
	l, flush := logger.Decisions(w, zerolog.InfoLevel, "r1")
	for i := range 2_000_000 {
		// Different messages have different rate limits.
		l.Info().Msg(strconv.Itoa(i % 100_000))
		select {
		case <-w:
		case <-time.After(2 * time.Second):
			go func() { <-w }()
			if err := flush(); err != nil {
				t.Error(err)
			}
			t.Fatalf("line %d was not written within 2 s", i)
		}
	}
	if err := flush(); err != nil {
		t.Fatal(err)
	}
}

// lineSink passes each write on to a reader.
type lineSink chan struct{}

func (s lineSink) Write(p []byte) (int, error) {
	s <- struct{}{}
	return len(p), nil
}

// sizes is an output that records its writes. The first one blocks until release is closed.
type sizes struct {
	release chan struct{}
	writes  [][]byte
}

func (s *sizes) Write(p []byte) (int, error) {
	<-s.release
	s.writes = append(s.writes, bytes.Clone(p))
	return len(p), nil
}

// Guards against a call for each line while many wait, and against lines that are cut, which a call beyond what a pipe
// takes as a whole may leave when the process is killed.
func TestDecisionsWrittenTogether(t *testing.T) {
	const lines, pipeBuffer = 100, 4096
	w := &sizes{release: make(chan struct{})}
	l, flush := logger.Decisions(w, zerolog.InfoLevel, "r1")
	for i := range lines {
		l.Info().Int("n", i).Msg("success")
	}
	close(w.release)
	if err := flush(); err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, b := range w.writes {
		n += bytes.Count(b, []byte("\n"))
		if len(b) > pipeBuffer || !bytes.HasSuffix(b, []byte("\n")) {
			t.Errorf("a write of %d bytes ends with %q", len(b), b[len(b)-1:])
		}
	}
	if n != lines || len(w.writes) > lines/10 {
		t.Errorf("%d lines in %d writes, want %d in %d at most", n, len(w.writes), lines, lines/10)
	}
}
