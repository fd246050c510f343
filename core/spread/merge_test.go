package spread

import (
	"flag"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1201")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var epoch = time.UnixMilli(1_800_000_000_000)

func acceptedOf(g int) *AcceptedDocument {
	return &AcceptedDocument{Generation: ident.Generation(g), Document: &envdoc.Document{Digest: envdoc.DigestOf([]byte{byte(g)})}}
}

func drawInput(r *rapid.T) input {
	g := ident.Generation(rapid.IntRange(1, 5).Draw(r, "generation"))
	switch rapid.IntRange(0, 4).Draw(r, "kind") {
	case 0:
		e := tableRead{after: g - 1, accepted: acceptedOf(int(g)), at: epoch.Add(time.Duration(g) * time.Second)}
		if rapid.Bool().Draw(r, "empty") {
			e = tableRead{after: g, at: e.at}
		}
		return e
	case 1:
		return offered{accepted: acceptedOf(int(g))}
	case 2:
		age := time.Duration(rapid.IntRange(0, 9).Draw(r, "age")) * time.Second
		return confirmed{generation: g, digest: acceptedOf(int(g)).Document.Digest, at: epoch.Add(age)}
	case 3:
		return halted{halts: []Halt{{
			Version:    ident.VersionRef{Model: "m", Version: rapid.SampledFrom([]ident.VersionID{"a", "b"}).Draw(r, "version")},
			Generation: g,
			Instance:   rapid.SampledFrom([]ident.InstanceID{"i", "j"}).Draw(r, "instance"),
			At:         epoch.Add(time.Duration(rapid.IntRange(0, 2).Draw(r, "at")) * time.Second),
		}}}
	default:
		k := stepKey{generation: g, rollout: rapid.SampledFrom([]ident.RolloutID{"r", "s"}).Draw(r, "rollout")}
		return stepped{steps: map[stepKey]int{k: rapid.IntRange(0, 4).Draw(r, "step")}}
	}
}

// shared returns the part of the state on which all instances eventually agree.
func shared(s state) any {
	m := s.toWire(epoch.Add(time.Hour))
	m.ConfirmedAgeMs = 0
	return m.String()
}

// Guards against a generation, halt or step that goes back, and against a state that
// depends on the order of updates or on how often they arrive.
func TestApplyIsMonotone(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		es := rapid.SliceOfN(rapid.Custom(drawInput), 1, 30).Draw(r, "inputs")
		again := rapid.SliceOf(rapid.SampledFrom(es)).Draw(r, "repeats")
		other := rapid.Permutation(append(append([]input{}, es...), again...)).Draw(r, "order")
		var a, b state
		for _, e := range es {
			next, _ := apply(a, e)
			checkMonotone(r, a, next)
			a = next
		}
		for _, e := range other {
			b, _ = apply(b, e)
		}
		if !reflect.DeepEqual(shared(a), shared(b)) {
			r.Errorf("states differ:\n%s\n%s", shared(a), shared(b))
		}
	})
}

func checkMonotone(r *rapid.T, before, after state) {
	if after.generation() < before.generation() {
		r.Fatalf("generation went from %d to %d", before.generation(), after.generation())
	}
	for v, h := range before.halts {
		if after.halts[v].Generation < h.Generation {
			r.Fatalf("halt of %s went from generation %d to %d", v, h.Generation, after.halts[v].Generation)
		}
	}
	for k, n := range before.steps {
		if k.generation >= after.generation() && after.steps[k] < n {
			r.Fatalf("rollout %s went from step %d to %d", k.rollout, n, after.steps[k])
		}
	}
	if after.generation() == before.generation() && after.confirmedAt.Before(before.confirmedAt) {
		r.Fatalf("confirmation went from %s to %s", before.confirmedAt, after.confirmedAt)
	}
}

// Guards against instances whose states still differ after each has merged the state of
// the next one in a ring, in as many rounds as there are instances.
func TestExchangeConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var states [3]state
		for i := range states {
			for _, e := range rapid.SliceOfN(rapid.Custom(drawInput), 0, 10).Draw(r, "inputs") {
				states[i], _ = apply(states[i], e)
			}
		}
		for range len(states) {
			for i := range states {
				from := states[(i+1)%len(states)]
				states[i] = receive(states[i], from.toWire(epoch))
				if from.accepted != nil {
					states[i], _ = apply(states[i], offered{accepted: from.accepted})
				}
			}
		}
		for i := range states[1:] {
			if shared(states[i]) != shared(states[i+1]) {
				r.Errorf("states %d and %d differ:\n%s\n%s", i, i+1, shared(states[i]), shared(states[i+1]))
			}
		}
	})
}

// receive returns the state after a peer's state was merged.
func receive(s state, m *wire.State) state {
	for _, e := range inputsFromWire(m, epoch) {
		s, _ = apply(s, e)
	}
	return s
}

// Guards against a table read that confirms a document which arrived from a peer
// while the read was running.
func TestReadDoesNotConfirmLaterOffer(t *testing.T) {
	s, _ := apply(state{}, offered{accepted: acceptedOf(6)})
	s, _ = apply(s, tableRead{after: 5, at: epoch})
	if s.confirmed != ConfirmedPeers || !s.confirmedAt.IsZero() {
		t.Errorf("confirmed by %s at %s, want by peers only", s.confirmed, s.confirmedAt)
	}
}

// Guards against peers whose halts or steps use memory without a bound.
func TestBounds(t *testing.T) {
	var s state
	for i := range maxHalts + 5 {
		v := ident.VersionRef{Model: "m", Version: ident.VersionID(time.Duration(i).String())}
		s, _ = apply(s, halted{halts: []Halt{{Version: v}}})
		s, _ = apply(s, stepped{steps: map[stepKey]int{{rollout: ident.RolloutID(v.Version)}: 1}})
	}
	if len(s.halts) != maxHalts || len(s.steps) != maxSteps || s.rejected != 10 {
		t.Errorf("%d halts, %d steps, %d rejected", len(s.halts), len(s.steps), s.rejected)
	}
}
