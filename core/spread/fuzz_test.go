package spread

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/wire"
)

// Guards against bytes from a peer that crash an instance, lower its generation, remove
// a halt, or make its state exceed the bounds.
func FuzzPeerBytes(f *testing.F) {
	body := []byte("[environment]\nname = x\n\n[end]\n")
	for _, m := range []proto.Message{
		&wire.State{Generation: 7, Digest: "d", ConfirmedAgeMs: -1, Halts: []*wire.Halt{{Model: "m", Version: "a", Generation: 1 << 63}}},
		&wire.State{ConfirmedAgeMs: 1 << 62, Steps: []*wire.RolloutStep{{Generation: 3, Rollout: "r", Step: 1 << 31}}},
		&wire.Document{Generation: 9, Digest: string(envdoc.DigestOf(body)), Body: body},
		&wire.Document{Generation: 1, Digest: "short", Body: []byte{0xff}},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := state{accepted: acceptedWithSteps(3, nil)}
		s, _ = apply(s, halted{halts: []Halt{{Version: ident.VersionRef{Model: "m", Version: "a"}, Generation: 3}}})
		before := s
		var m wire.State
		if proto.Unmarshal(b, &m) == nil {
			for _, i := range inputsFromWire(&m, epoch) {
				s, _ = apply(s, i)
			}
		}
		var d wire.Document
		if proto.Unmarshal(b, &d) == nil {
			if a, err := acceptedFromWire(&d); err == nil {
				s, _ = apply(s, offered{accepted: a})
			}
		}
		if s.generation() < before.generation() {
			t.Fatalf("generation %d after %d", s.generation(), before.generation())
		}
		h, ok := s.halts[ident.VersionRef{Model: "m", Version: "a"}]
		if !ok || h.Generation < 3 || len(s.halts) > maxHalts || len(s.steps) > maxSteps {
			t.Fatalf("halts %v, %d steps", s.halts, len(s.steps))
		}
		_ = s.view()
	})
}
