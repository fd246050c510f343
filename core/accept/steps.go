package accept

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/samber/oops"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/table"
)

// StepConflictError reports that a roll-out was not advanced since it is not at the
// expected step.
type StepConflictError struct {
	Rollout ident.RolloutID
	// Expected is the step that the writer expected, Current the one in the table.
	Expected, Current int
}

func (e *StepConflictError) Error() string {
	return fmt.Sprintf("advance rollout %s: expected step %d, found step %d", e.Rollout, e.Expected, e.Current)
}

// stepBody is the body of a roll-out row.
type stepBody struct {
	Step int `json:"step"`
}

// stepPrefix returns the prefix of the sort keys of a generation's roll-out rows.
func (s *Store) stepPrefix(g ident.Generation) string {
	return fmt.Sprintf("%s%020d/", rolloutPrefix, g)
}

// Steps returns the step that each roll-out of a generation has reached. A roll-out
// that is still at its first step, 0, has no entry.
func (s *Store) Steps(ctx context.Context, g ident.Generation) (map[ident.RolloutID]int, error) {
	prefix := s.stepPrefix(g)
	rows, err := s.client.List(ctx, table.Query{Partition: s.rolloutPartition(), Prefix: prefix})
	if err != nil {
		return nil, oops.In("accept").Wrapf(err, "read steps of generation %d", g)
	}
	out := make(map[ident.RolloutID]int, len(rows))
	for _, r := range rows {
		n, err := decodeStep(r)
		if err != nil {
			return nil, err
		}
		out[ident.RolloutID(r.Key.Sort[len(prefix):])] = n
	}
	return out, nil
}

// AdvanceStep moves a roll-out from the expected step to a higher one. The write is
// conditional on the expected step, so only one of several writers advances the
// roll-out. The others, and a lease holder that was paused meanwhile, get a
// *StepConflictError. A repeat with the token of the stored step returns nil.
func (s *Store) AdvanceStep(ctx context.Context, g ident.Generation, r ident.RolloutID, expected, to int, token table.WriteToken) error {
	if to <= expected {
		return oops.In("accept").Errorf("advance rollout %s: step %d is not above step %d", r, to, expected)
	}
	k := table.Key{Partition: s.rolloutPartition(), Sort: s.stepPrefix(g) + string(r)}
	row, err := s.client.Get(ctx, k)
	if err != nil && !table.IsMissing(err) {
		return oops.In("accept").Wrapf(err, "read step of rollout %s", r)
	}
	current := 0
	if err == nil {
		if row.Token == token {
			return nil
		}
		if current, err = decodeStep(row); err != nil {
			return err
		}
	}
	if current != expected {
		return &StepConflictError{Rollout: r, Expected: expected, Current: current}
	}
	b, err := json.Marshal(stepBody{Step: to})
	if err != nil {
		return oops.In("accept").Wrapf(err, "encode step of rollout %s", r)
	}
	err = s.client.PutWithRetry(ctx, table.Write{Key: k, Expect: row.Revision, Token: token, Body: b})
	if err == nil {
		return nil
	}
	c, ok := table.AsConflict(err)
	if !ok {
		return oops.In("accept").Wrapf(err, "advance rollout %s to step %d", r, to)
	}
	if c.Current != nil {
		if current, err = decodeStep(*c.Current); err != nil {
			return err
		}
	}
	return &StepConflictError{Rollout: r, Expected: expected, Current: current}
}

func decodeStep(r table.Row) (int, error) {
	var b stepBody
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return 0, oops.In("accept").Wrapf(err, "decode step row %s", r.Key.Sort)
	}
	return b.Step, nil
}
