package probe

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/router/fleet"
)

// marks records which upstreams were marked as unresponsive.
type marks struct {
	mu sync.Mutex
	m  map[ident.UpstreamID]bool
}

func (k *marks) SetUnresponsive(id ident.UpstreamID, unresponsive bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.m[id] = unresponsive
}

func (k *marks) unresponsive(id ident.UpstreamID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.m[id]
}

// Guards against requests that wait for a machine without power, and against ending
// attempts at an upstream that is only busy.
func TestUnresponsive(t *testing.T) {
	tests := map[string]struct {
		// every is the time between bytes until the upstream stops; 0 means that it sends
		// none.
		every time.Duration
		dead  bool
		// pause is how long the content may pause.
		pause time.Duration
		// ended is the longest time from the last byte until the attempt must end; 0
		// means that it must not.
		ended time.Duration
	}{
		"dead before the response": {0, true, 0, 1100 * time.Millisecond},
		"dead in the stream":       {50 * time.Millisecond, true, 0, 900 * time.Millisecond},
		"busy before the response": {0, false, 0, 0},
		"stalled connection":       {50 * time.Millisecond, false, 0, 1300 * time.Millisecond},
		"slow but healthy":         {1900 * time.Millisecond, false, 2 * time.Second, 2200 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				u := &fleet.Upstream{ID: "u", Address: "10.0.0.1:1"}
				list := fleet.New(map[ident.UpstreamID]*fleet.Upstream{"u": u})
				k := &marks{m: map[ident.UpstreamID]bool{}}
				m := New(k, func() *fleet.List { return list }, zerolog.New(io.Discard))
				m.dial = func(ctx context.Context, _ string) error {
					if !c.dead {
						return nil
					}
					ctx, stop := context.WithTimeout(ctx, checkTimeout)
					defer stop()
					<-ctx.Done()
					return ctx.Err()
				}
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- m.Run(ctx) }()
				ended := make(chan time.Time, 100)
				w := m.Start(u, c.pause, func(err error) {
					if !errors.Is(err, ErrUnresponsive) {
						t.Errorf("ended with %v", err)
					}
					select {
					case ended <- time.Now():
					default:
					}
				}, time.Now())
				last := time.Now()
				if c.every > 0 {
					for range 20 {
						time.Sleep(c.every)
						last = time.Now()
						w.BodyReceived(last)
						if len(ended) > 0 {
							t.Fatal("ended between two events")
						}
					}
				}
				time.Sleep(3 * time.Second)
				select {
				case at := <-ended:
					if c.ended == 0 || at.Sub(last) > c.ended {
						t.Errorf("ended %v after the last byte, want at most %v", at.Sub(last), c.ended)
					}
				default:
					if c.ended != 0 {
						t.Error("not ended")
					}
				}
				if k.unresponsive("u") != c.dead {
					t.Errorf("marked unresponsive: %v", k.unresponsive("u"))
				}
				w.Done()
				stop()
				if err := <-done; err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against an upstream that isn't used again after it recovered.
func TestRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &fleet.Upstream{ID: "u", Address: "10.0.0.1:1"}
		list := fleet.New(map[ident.UpstreamID]*fleet.Upstream{"u": u})
		k := &marks{m: map[ident.UpstreamID]bool{}}
		m := New(k, func() *fleet.List { return list }, zerolog.New(io.Discard))
		m.dial = func(context.Context, string) error { return nil }
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		m.ConnectFailed(u)
		if !k.unresponsive("u") {
			t.Error("an upstream that accepted no connection is still used")
		}
		time.Sleep(2 * recheckPause)
		if k.unresponsive("u") {
			t.Error("an upstream that accepts connections again is not used")
		}
		stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
