package accept

import (
	"context"
	"encoding/json"
	"time"

	"github.com/samber/oops"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
)

// maxHaltTries bounds the tries to store a halt whose row other instances change
// meanwhile.
const maxHaltTries = 8

// Trial records that a document was tested before its promotion.
type Trial struct {
	Digest   envdoc.Digest
	Operator ident.OperatorID
	At       time.Time
}

// trialBody is the body of a trial row.
type trialBody struct {
	Operator ident.OperatorID `json:"operator"`
	At       time.Time        `json:"at"`
}

// haltBody is the body of a halt row.
type haltBody struct {
	Generation ident.Generation `json:"generation"`
	Reason     string           `json:"reason"`
	Instance   ident.InstanceID `json:"instance"`
	At         time.Time        `json:"at"`
}

func (s *Store) trialKey(d envdoc.Digest) table.Key {
	return table.Key{Partition: s.trialPartition(), Sort: trialPrefix + string(d)}
}

// SaveTrial records a trial. When a trial of the digest is already recorded, it changes
// nothing and returns nil.
func (s *Store) SaveTrial(ctx context.Context, t Trial) error {
	b, err := json.Marshal(trialBody{Operator: t.Operator, At: t.At.UTC()})
	if err != nil {
		return oops.In("accept").Wrapf(err, "encode trial of %s", t.Digest)
	}
	err = s.client.PutWithRetry(ctx, table.Write{Key: s.trialKey(t.Digest), Token: table.NewWriteToken(), Body: b})
	if _, ok := table.AsConflict(err); ok {
		return nil
	}
	if err != nil {
		return oops.In("accept").Wrapf(err, "store trial of %s", t.Digest)
	}
	return nil
}

// HasTrial reports whether a trial of the document with this digest is recorded.
func (s *Store) HasTrial(ctx context.Context, d envdoc.Digest) (bool, error) {
	_, err := s.client.Get(ctx, s.trialKey(d))
	if table.IsMissing(err) {
		return false, nil
	}
	if err != nil {
		return false, oops.In("accept").Wrapf(err, "read trial of %s", d)
	}
	return true, nil
}

// Halts returns the stored halts, one for each halted version.
func (s *Store) Halts(ctx context.Context) ([]spread.Halt, error) {
	rows, err := s.client.List(ctx, table.Query{Partition: s.haltPartition(), Prefix: haltPrefix})
	if err != nil {
		return nil, oops.In("accept").Wrapf(err, "read halts")
	}
	out := make([]spread.Halt, 0, len(rows))
	for _, r := range rows {
		h, err := decodeHalt(r)
		if err != nil {
			return nil, err
		}
		out = append(out, h)
	}
	return out, nil
}

// SaveHalt stores a halt unless one of the same version and of the same or a higher
// generation is stored.
func (s *Store) SaveHalt(ctx context.Context, h spread.Halt) error {
	k := table.Key{Partition: s.haltPartition(), Sort: haltPrefix + h.Version.String()}
	b, err := json.Marshal(haltBody{Generation: h.Generation, Reason: h.Reason, Instance: h.Instance, At: h.At.UTC()})
	if err != nil {
		return oops.In("accept").Wrapf(err, "encode halt of %s", h.Version)
	}
	for range maxHaltTries {
		r, err := s.client.Get(ctx, k)
		if err != nil && !table.IsMissing(err) {
			return oops.In("accept").Wrapf(err, "read halt of %s", h.Version)
		}
		if err == nil {
			if old, err := decodeHalt(r); err == nil && old.Generation >= h.Generation {
				return nil
			}
		}
		err = s.client.PutWithRetry(ctx, table.Write{Key: k, Expect: r.Revision, Token: table.NewWriteToken(), Body: b})
		if err == nil {
			return nil
		}
		if _, ok := table.AsConflict(err); !ok {
			return oops.In("accept").Wrapf(err, "store halt of %s", h.Version)
		}
	}
	return oops.In("accept").Errorf("store halt of %s: row changed %d times", h.Version, maxHaltTries)
}

func decodeHalt(r table.Row) (spread.Halt, error) {
	ref, err := ident.ParseRef(r.Key.Sort[len(haltPrefix):])
	if err != nil {
		return spread.Halt{}, oops.In("accept").Wrapf(err, "decode halt row %s", r.Key.Sort)
	}
	var b haltBody
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return spread.Halt{}, oops.In("accept").Wrapf(err, "decode halt of %s", ref)
	}
	return spread.Halt{Version: ref, Generation: b.Generation, Reason: b.Reason, Instance: b.Instance, At: b.At}, nil
}
