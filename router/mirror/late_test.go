package mirror

import (
	"context"
	"os/exec"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a peer, or the store, that counts as unavailable because this process was stopped while it waited for the
// answer: all routers that stop for a moment would turn to the store at once.
func TestReadWhileStopped(t *testing.T) {
	// respond stops the process for the given seconds, and returns when the process has had time to read an answer.
	respond := func(ctx context.Context, pause string) (ReadResult, error) {
		if err := exec.Command("sh", "-c", "kill -STOP $PPID; sleep "+pause+"; kill -CONT $PPID").Run(); err != nil {
			return ReadResult{}, err
		}
		select {
		case <-ctx.Done():
			return ReadResult{}, ctx.Err()
		case <-time.After(5 * time.Millisecond):
			return ReadResult{Revision: 1}, nil
		}
	}
	for _, pause := range []string{"0.5", "2"} {
		t.Run(pause+" s", func(t *testing.T) {
			s := &fakeStore{
				snapshot: func(Topic) (ReadResult, error) { return ReadResult{}, nil },
				watch:    func(ctx context.Context, _ Topic, _ Revision) (ReadResult, error) { return respond(ctx, pause) },
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
