package share_test

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"tarragonvalve.example/router/gossip"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/pins"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/poison"
	"tarragonvalve.example/router/share"
	"tarragonvalve.example/router/uplink"
)

// Guards against samples for other routers that fill the link of a small router, and against a bound that takes away from
// a large one, or from one whose link is not known.
func TestTradeWithinLimit(t *testing.T) {
	const (
		peers = 60
		// settled is when the first messages of all peers, which come at once, no longer count.
		settled = 4 * time.Second
		span    = 10 * time.Second
		mbps    = 125_000 // bytes a second
	)
	send := func(rate float64) float64 {
		var mu sync.Mutex
		var peering sync.WaitGroup
		var n int
		synctest.Test(t, func(t *testing.T) {
			x := gossip.New("hub", place.New("a"), notice.New(), poison.New(zerolog.New(io.Discard)), pins.New(), nil, zerolog.New(io.Discard))
			s := share.NewServer(nil, nil, x)
			began := time.Now()
			s.SetLimit(uplink.New(func() time.Duration { return time.Since(began) }, rate, zerolog.Nop()).Control())
			for i := range peers {
				peering.Go(func() {
					for time.Since(began) < span {
						q := &share.TradeRequest{From: fmt.Sprintf("r%d", i)}
						for k := range 10 {
							q.Samples = append(q.Samples, &share.Sample{Upstream: fmt.Sprintf("i-%08x", (i*10+k)%300), Answers: 1, Domain: "ege-a"})
						}
						m, err := s.Trade(t.Context(), q)
						if err != nil {
							t.Error(err)
							return
						}
						mu.Lock()
						if time.Since(began) >= settled {
							n += proto.Size(m)
						}
						mu.Unlock()
						time.Sleep(time.Duration(m.GetPauseMs()) * time.Millisecond)
					}
				})
			}
			peering.Wait()
		})
		return float64(n) / (span - settled).Seconds()
	}
	unbounded := send(0)
	t.Logf("without a limit: %.0f bytes a second", unbounded)
	for name, c := range map[string]struct{ rate, low, high float64 }{
		"4 Mbit/s":     {4 * mbps, 0, 0.25 * 4 * mbps},
		"1,000 Mbit/s": {1000 * mbps, 0.9 * unbounded, 1.1 * unbounded},
	} {
		t.Run(name, func(t *testing.T) {
			if got := send(c.rate); got < c.low || got > c.high {
				t.Errorf("%.0f bytes a second, want %.0f to %.0f", got, c.low, c.high)
			} else {
				t.Logf("%.0f bytes a second", got)
			}
		})
	}
}
