package boot

import (
	"strings"
	"testing"
)

// Guards against a router whose threads take turns on a part of one core although the settings say that it has no more.
func TestProcessors(t *testing.T) {
	t.Parallel()
	w, _ := platform(t, standardGrace, always(fine))
	w.router = "processors = 1\n"
	w.writeSettings(w.address, "5000")
	p := w.startProcess()
	w.eventually("readiness", w.ready)
	if s := p.logs.String(); !strings.Contains(s, `"processors":1,"`) {
		t.Errorf("got %s", s)
	}
}
