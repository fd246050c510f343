package accept

import (
	"context"
	"fmt"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
)

// Promotion describes a document that is to become the generation after Seen.
type Promotion struct {
	// Seen is the latest generation that the operator saw, 0 for none. Another
	// promotion since then makes this one fail.
	Seen     ident.Generation
	Body     []byte
	Operator ident.OperatorID
	Reason   string
	At       time.Time
	// Token identifies the promotion: a repeat with the same token succeeds if the
	// promotion did. An empty token is replaced by a new one.
	Token table.WriteToken
}

// ConflictError reports that another promotion created the generation first.
type ConflictError struct {
	Seen ident.Generation
	// Winner is the document accepted as the generation after Seen.
	Winner *spread.AcceptedDocument
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("promote generation %d: already accepted from operator %s with digest %s",
		e.Winner.Generation, e.Winner.Operator, e.Winner.Document.Digest)
}

// Promote stores a document as the generation after p.Seen. It returns a *ConflictError
// when another promotion created that generation, and refusals: DocumentInvalid,
// GenerationConflict when generation p.Seen does not exist, TableUnavailable when
// nothing was written, and OutcomeUnknown when ctx ended before the outcome was known.
func (s *Store) Promote(ctx context.Context, p Promotion) (*spread.AcceptedDocument, error) {
	d, err := envdoc.Parse(p.Body)
	if err != nil {
		return nil, refuse.New(refuse.DocumentInvalid, refuse.NotRun, "promote document: %v", err)
	}
	if p.Token == "" {
		p.Token = table.NewWriteToken()
	}
	if err := s.checkSeen(ctx, p.Seen); err != nil {
		return nil, err
	}
	body, err := encode(p, d)
	if err != nil {
		return nil, err
	}
	k := s.generationKey(p.Seen + 1)
	err = s.client.PutWithRetry(ctx, table.Write{Key: k, Token: p.Token, Body: body})
	if err == nil {
		return &spread.AcceptedDocument{
			Generation: p.Seen + 1,
			Document:   d,
			Operator:   p.Operator,
			Reason:     p.Reason,
			At:         p.At,
		}, nil
	}
	return nil, promoteError(p, err)
}

// checkSeen refuses a promotion on top of a generation that does not exist. It would
// leave a gap, and two promotions could then both count as the latest.
func (s *Store) checkSeen(ctx context.Context, seen ident.Generation) error {
	if seen == 0 {
		return nil
	}
	_, err := s.client.Get(ctx, s.generationKey(seen))
	if err == nil {
		return nil
	}
	if table.IsMissing(err) {
		return refuse.New(refuse.GenerationConflict, refuse.NotRun,
			"promote generation %d: generation %d does not exist", seen+1, seen)
	}
	return refuse.New(refuse.TableUnavailable, refuse.NotRun, "promote generation %d: %v", seen+1, err)
}

// promoteError converts the error of a promotion's write to the errors that Promote
// returns.
func promoteError(p Promotion, err error) error {
	if c, ok := table.AsConflict(err); ok && c.Current != nil {
		w, err := decode(*c.Current)
		if err != nil {
			return err
		}
		return &ConflictError{Seen: p.Seen, Winner: w}
	}
	if table.NotApplied(err) {
		return refuse.New(refuse.TableUnavailable, refuse.NotRun, "promote generation %d: %v", p.Seen+1, err)
	}
	return refuse.New(refuse.OutcomeUnknown, refuse.Unknown, "promote generation %d: %v", p.Seen+1, err)
}
