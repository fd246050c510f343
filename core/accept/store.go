// Package accept keeps accepted environment documents in the table. Each
// generation is an immutable row; a promotion creates the next one, so exactly one
// of several racing promotions wins.
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

// Sort keys. Numbers are padded so that they sort as numbers.
const (
	generationPrefix = "generation/"
	haltPrefix       = "halt/"
	trialPrefix      = "trial/"
	rolloutPrefix    = "rollout/"
)

// Store reads and writes the accepted documents of one environment.
type Store struct {
	client      table.Client
	environment string
}

var _ spread.Store = (*Store)(nil)

// New returns a store of an environment's documents.
func New(c table.Client, environment string) *Store {
	return &Store{client: c, environment: environment}
}

// The documents have a partition of their own: a read of what is newer than the
// newest document then reads no row at all.
func (s *Store) documents() string { return "environment/" + s.environment }
func (s *Store) halts() string     { return s.documents() + "/halts" }
func (s *Store) trials() string    { return s.documents() + "/trials" }
func (s *Store) rollouts() string  { return s.documents() + "/rollouts" }

func (s *Store) generationKey(g ident.Generation) table.Key {
	return table.Key{Partition: s.documents(), Sort: fmt.Sprintf("%s%020d", generationPrefix, g)}
}

// Latest returns the newest document above a generation, nil when there is none.
func (s *Store) Latest(ctx context.Context, after ident.Generation) (*spread.AcceptedDocument, error) {
	rows, err := s.client.List(ctx, table.Query{
		Partition:  s.documents(),
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

// Get returns the document of a generation. It returns a refusal NotFound when there is none.
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

// History returns the newest documents, the newest first, at most limit.
func (s *Store) History(ctx context.Context, limit int) ([]spread.AcceptedDocument, error) {
	rows, err := s.client.List(ctx, table.Query{
		Partition:  s.documents(),
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
