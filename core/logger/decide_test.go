package logger_test

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/logger"
)

// blocked is an output that no one reads until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// Guards against a log that blocks requests, one without a bound, and one that
// hides that lines are missing.
func TestDecisionsBounded(t *testing.T) {
	w := &blocked{release: make(chan struct{})}
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
		t.Errorf("%d lines of 50,001 written", len(lines))
	}
	var last map[string]any
	if err := json.Unmarshal(lines[len(lines)-1], &last); err != nil {
		t.Fatal(err)
	}
	if last["level"] != "warn" || last["instance"] != "r1" || last["time"] == nil {
		t.Errorf("the failure is not the last line: %s", lines[len(lines)-1])
	}
}

// Guards against omissions that the next line of the kind doesn't tell.
func TestDecisionsTellLeftOut(t *testing.T) {
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
			Left int `json:"left-out"`
		}
		if err := json.Unmarshal(lines[len(lines)-1], &x); err != nil {
			t.Fatal(err)
		}
		if x.Left+len(lines) != 1001 {
			t.Errorf("%d lines and %d left out of 1001", len(lines), x.Left)
		}
	})
}
