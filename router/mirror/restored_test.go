package mirror

import "testing"

// Guards against a peer that hands on the changes of a new era of the store as a continuation of the
// history before it: removals would be missing.
func TestLogOfNewEra(t *testing.T) {
	var l recordLog
	l.add(ReadResult{Snapshot: true, Revision: NewRevision(1, 57), Records: []Record{{Key: "a", Revision: NewRevision(1, 50)}, {Key: "b", Revision: NewRevision(1, 57)}}}, 0)
	l.add(ReadResult{Snapshot: true, Revision: NewRevision(2, 40), Records: []Record{{Key: "a", Revision: NewRevision(2, 12)}}}, 0)
	if _, _, _, err := l.read(TopicOrders, NewRevision(1, 57), false); err == nil {
		t.Error("a peer of the era before gets changes, want a HistoryLostError")
	}
	p, _, _, err := l.read(TopicOrders, NewRevision(2, 39), false)
	if err == nil {
		t.Errorf("a peer of the copy's time gets %+v, want a HistoryLostError", p)
	}
	if p, _, _, err = l.read(TopicOrders, NewRevision(2, 40), false); err != nil || len(p.Records) > 0 {
		t.Errorf("a peer that knows the snapshot gets %+v, %v", p, err)
	}
	if p, _, _, err = l.read(TopicOrders, 0, true); err != nil || len(p.Records) != 1 {
		t.Errorf("a snapshot is %+v, %v", p, err)
	}
}

// Guards against positions of a later era that count as earlier.
func TestRevision(t *testing.T) {
	tests := map[string]struct{ earlier, later Revision }{
		"one era":            {NewRevision(1, 57), NewRevision(1, 58)},
		"restored":           {NewRevision(1, 57), NewRevision(2, 12)},
		"before any restore": {NewRevision(0, 57), NewRevision(1, 1)},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if c.earlier >= c.later {
				t.Errorf("%d is not before %d", c.earlier, c.later)
			}
		})
	}
	if r := NewRevision(3, 57); r.Era() != 3 || r.Version() != 57 {
		t.Errorf("era %d, version %d", r.Era(), r.Version())
	}
}
