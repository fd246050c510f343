package crash_test

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/call"
	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/fleet"
)

// recorder records verdicts as request ids, with ! for answers that had begun.
type recorder struct{ crashed, survived []string }

func (r *recorder) Crashed(x crash.Report, _ time.Time) {
	for _, s := range x.Suspects {
		id := string(s.ID)
		if s.Began {
			id += "!"
		}
		r.crashed = append(r.crashed, id)
	}
	slices.Sort(r.crashed)
}

func (r *recorder) Survived(p crash.Prompt, _ time.Time) {
	r.survived = append(r.survived, string(p.ID))
	slices.Sort(r.survived)
}

func ignore(error) {}

func onTime() time.Duration { return 0 }

func prompt(id string) crash.Prompt {
	return crash.NewPrompt("llm", call.Request{ID: call.ID(id), Prefix: []call.PromptPart{{ID: "p"}, {ID: id}}}, crash.Content{})
}

// Guards against crashes that are related to requests whose upstream went on for long after it began
// to answer them, and against requests that are left out because the router had given them up or
// had lost their connection before.
func TestMonitor(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	at := start.Add
	u := fleet.Incarnation{ID: "u", StartedMs: 1}
	tests := map[string]struct {
		run               func(m *crash.Monitor)
		crashed, survived string
	}{
		"begun shortly before": {func(m *crash.Monitor) {
			m.Start(u, prompt("a"), ignore).Began(at(0))
			m.Down("u", at(200*ms))
		}, "a!", ""},
		"given up for a larger model": {func(m *crash.Monitor) {
			a := m.Start(u, prompt("a"), ignore)
			a.Began(at(0))
			a.End(at(1 * ms))
			m.Down("u", at(200*ms))
		}, "a!", ""},
		"waiting": {func(m *crash.Monitor) {
			m.Start(u, prompt("a"), ignore)
			m.Down("u", at(200*ms))
		}, "a", ""},
		"waiting, connection lost before": {func(m *crash.Monitor) {
			a := m.Start(u, prompt("a"), ignore)
			a.Lost(at(100 * ms))
			a.End(at(100 * ms))
			m.Down("u", at(200*ms))
		}, "a", ""},
		"waiting, canceled": {func(m *crash.Monitor) {
			m.Start(u, prompt("a"), ignore).End(at(100 * ms))
			m.Down("u", at(200*ms))
		}, "", ""},
		"survived by its own events": {func(m *crash.Monitor) {
			a := m.Start(u, prompt("a"), ignore)
			a.Began(at(0))
			a.Received(at(1100 * ms))
			m.Down("u", at(1200*ms))
		}, "", "a"},
		"survived by another answer": {func(m *crash.Monitor) {
			a := m.Start(u, prompt("a"), ignore)
			a.Began(at(0))
			a.End(at(1 * ms))
			m.Start(u, prompt("b"), ignore).Began(at(1500 * ms))
			m.Down("u", at(1600*ms))
		}, "b!", "a"},
		"crash noticed late": {func(m *crash.Monitor) {
			m.Start(u, prompt("a"), ignore).Began(at(0))
			m.Down("u", at(5000*ms))
		}, "a!", ""},
		"complete before the crash": {func(m *crash.Monitor) {
			a := m.Start(u, prompt("a"), ignore)
			a.Began(at(0))
			a.Completed()
			a.End(at(100 * ms))
			m.Down("u", at(200*ms))
		}, "", "a"},
		"long stream": {func(m *crash.Monitor) {
			a := m.Start(u, prompt("a"), ignore)
			a.Began(at(0))
			b := m.Start(u, prompt("b"), ignore)
			b.Began(at(1900 * ms))
			b.Lost(at(2000 * ms))
			m.Down("u", at(2100*ms))
		}, "b!", "a"},
		"another upstream": {func(m *crash.Monitor) {
			m.Start(u, prompt("a"), ignore).Began(at(0))
			m.Down("v", at(200*ms))
		}, "", ""},
		"no verdict for long": {func(m *crash.Monitor) {
			a := m.Start(u, prompt("a"), ignore)
			a.Began(at(0))
			a.End(at(1 * ms))
			m.Expire(at(time.Minute))
			m.Down("u", at(time.Minute))
		}, "", ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r := &recorder{}
			c.run(crash.New(r, onTime, zerolog.New(io.Discard)))
			if got := strings.Join(r.crashed, " "); got != c.crashed {
				t.Errorf("crashed under %q, want %q", got, c.crashed)
			}
			if got := strings.Join(r.survived, " "); got != c.survived {
				t.Errorf("survived %q, want %q", got, c.survived)
			}
		})
	}
}

func ExampleNewPrompt() {
	p := crash.NewPrompt("llm", call.Request{ID: "9c41", Prefix: []call.PromptPart{{ID: "5c1e"}, {ID: "91bd"}, {ID: "e440"}}}, crash.Content{Target: "/plan"})
	fmt.Println(p.ID, p.Labels(), len(p.Parts), p.Content.IsContent())
	// Output: 9c41 5c1e,91bd 2 true
}

// Guards against a quarantine that lets requests crash upstreams that are in their queues already,
// and against one that ends sound requests.
func TestCancelWaiting(t *testing.T) {
	m := crash.New(&recorder{}, onTime, zerolog.New(io.Discard))
	u := fleet.Incarnation{ID: "u", StartedMs: 1}
	var canceled []string
	start := func(id string) *crash.Attempt {
		return m.Start(u, prompt(id), func(error) { canceled = append(canceled, id) })
	}
	start("waiting")
	start("other")
	start("begun").Began(time.Unix(1000, 0))
	start("ended").End(time.Unix(1000, 0))
	m.CancelWaiting(func(p crash.Prompt) bool { return p.ID != "other" }, io.EOF)
	if got := strings.Join(canceled, " "); got != "waiting" {
		t.Errorf("canceled %q, want the waiting one", got)
	}
}
