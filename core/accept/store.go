// Package accept stores accepted environment documents, halts, trials and roll-out
// steps in the table. Each accepted document is an immutable row with a generation
// number. A promotion creates the row of the next generation, so exactly one of several
// concurrent promotions succeeds.
package accept

import (
	"context"
	"fmt"
	"strings"

	"github.com/samber/oops"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
)

// Prefixes of sort keys. Generations follow with leading zeros, so that they sort as
// numbers.
const (
	generationPrefix = "generation/"
	haltPrefix       = "halt/"
	trialPrefix      = "trial/"
	rolloutPrefix    = "rollout/"
)

// Store reads and writes the rows of one environment.
type Store struct {
	client      table.Client
	environment string
}

var _ spread.Store = (*Store)(nil)

// New returns a store of an environment's rows in the table that c reads and writes.
func New(c table.Client, environment string) *Store {
	return &Store{client: c, environment: environment}
}

// documentPartition returns the partition that holds only documents. A read of what is
// newer than the newest document therefore reads no row at all.
func (s *Store) documentPartition() string { return "environment/" + s.environment }
func (s *Store) haltPartition() string     { return s.documentPartition() + "/halts" }
func (s *Store) trialPartition() string    { return s.documentPartition() + "/trials" }
func (s *Store) rolloutPartition() string  { return s.documentPartition() + "/rollouts" }

func (s *Store) generationKey(g ident.Generation) table.Key {
	return table.Key{Partition: s.documentPartition(), Sort: fmt.Sprintf("%s%020d", generationPrefix, g)}
}

// Latest returns the newest document above a generation, or nil when there is none.
func (s *Store) Latest(ctx context.Context, after ident.Generation) (*spread.AcceptedDocument, error) {
	rows, err := s.client.List(ctx, table.Query{
		Partition:  s.documentPartition(),
		After:      s.generationKey(after).Sort,
		Limit:      1,
		Descending: true,
	})
	if err != nil {
		return nil, oops.In("accept").Wrapf(err, "read documents above generation %d", after)
	}
	if len(rows) == 0 {
		return nil, nil
	}
	return decode(rows[0])
}

// Get returns the document of a generation. It returns a refusal NotFound when there is
// none.
func (s *Store) Get(ctx context.Context, g ident.Generation) (*spread.AcceptedDocument, error) {
	r, err := s.client.Get(ctx, s.generationKey(g))
	if table.IsMissing(err) {
		return nil, refuse.New(refuse.NotFound, refuse.NotRun, "read generation %d: no such generation", g)
	}
	if err != nil {
		return nil, oops.In("accept").Wrapf(err, "read generation %d", g)
	}
	return decode(r)
}

// History returns up to limit of the newest documents, the newest first.
func (s *Store) History(ctx context.Context, limit int) ([]spread.AcceptedDocument, error) {
	rows, err := s.client.List(ctx, table.Query{
		Partition:  s.documentPartition(),
		Prefix:     generationPrefix,
		Limit:      limit,
		Descending: true,
	})
	if err != nil {
		return nil, oops.In("accept").Wrapf(err, "read history")
	}
	out := make([]spread.AcceptedDocument, 0, len(rows))
	for _, r := range rows {
		a, err := decode(r)
		if err != nil {
			return nil, err
		}
		out = append(out, *a)
	}
	return out, nil
}

// generationOf returns the generation in a row's sort key.
func generationOf(k table.Key) (ident.Generation, error) {
	var g ident.Generation
	n, ok := strings.CutPrefix(k.Sort, generationPrefix)
	if !ok {
		return 0, oops.In("accept").Errorf("decode row %s/%s: not a generation", k.Partition, k.Sort)
	}
	if _, err := fmt.Sscanf(n, "%d", &g); err != nil {
		return 0, oops.In("accept").Wrapf(err, "decode row %s/%s", k.Partition, k.Sort)
	}
	return g, nil
}
