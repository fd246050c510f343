package mirror

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/standin/pause"
)

// Guards against a peer, or the store, that counts as unavailable because this process was stopped while it waited for the
// answer: all routers that stop for a moment would turn to the store at once.
func TestReadWhileStopped(t *testing.T) {
	// respond stops the process for d, and returns when the process has had time to read an answer.
	respond := func(ctx context.Context, d time.Duration) (ReadResult, error) {
		if err := pause.Self(d); err != nil {
			return ReadResult{}, err
		}
		select {
		case <-ctx.Done():
			return ReadResult{}, ctx.Err()
		case <-time.After(5 * time.Millisecond):
			return ReadResult{Revision: 1}, nil
		}
	}
	for _, d := range []time.Duration{500 * time.Millisecond, 2 * time.Second} {
		t.Run(d.String(), func(t *testing.T) {
			s := &fakeStore{
				snapshot: func(Topic) (ReadResult, error) { return ReadResult{}, nil },
				watch:    func(ctx context.Context, _ Topic, _ Revision) (ReadResult, error) { return respond(ctx, d) },
			}
			start := time.Now()
			n := New(s, nil, func() time.Duration { return time.Since(start) }, zerolog.Nop())
			f := topicWatcher{Syncer: n, topic: TopicOrders, wait: peerWait, synced: true}
			if _, err := f.queryPeer(t.Context(), Peer{Source: s}); err != nil {
				t.Errorf("peer: %v", err)
			}
			if _, err := f.query(t.Context()); err != nil {
				t.Errorf("store: %v", err)
			}
		})
	}
}
