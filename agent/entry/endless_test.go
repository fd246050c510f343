package entry_test

import (
	"strings"
	"testing"

	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/refuse"
)

// Reported by operators of similar systems: a faulty server sends bytes without end.
// Guards against an event without end that is resumed from the start or refused without its
// cause, and against one that costs another attempt of the agent its answer.
func TestEndlessEventBesideSoundStream(t *testing.T) {
	f := newFakeEngine()
	f.endless = "r1-1"
	r := start(t, f)
	other := startAccepted(t, r, "r2")
	g := nextFrame(t, startAccepted(t, r, "r1"))
	wantRefusal(t, g, refuse.UpstreamFailed, refuse.Unknown)
	if m := g.GetRefusal().GetMessage(); !strings.Contains(m, "the event of the answer of http://127.0.0.1:") {
		t.Errorf("the message %q does not name the part and the peer", m)
	}
	if _, n, _ := f.counts(); n != 0 {
		t.Errorf("the stream was resumed %d times", n)
	}
	if c := r.receipts.only(t); c.Request != "r1" || c.Outcome != ledger.OutcomeFailed {
		t.Errorf("receipt %+v", c)
	}
	close(f.release)
	if text, end := readRest(t, other, 0); text != fullText || end.GetEnd() == nil {
		t.Errorf("the sound attempt got %q and %v", text, end)
	}
}
