package share_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragonvalve.example/router/canary"
	"tarragonvalve.example/router/mirror"
	"tarragonvalve.example/router/poison"
)

// rows is a store with that many similar rows.
type rows int

func (r rows) Snapshot(context.Context, mirror.Topic) (mirror.ReadResult, error) {
	p := mirror.ReadResult{Snapshot: true, Revision: 1, StoreClock: time.Hour}
	for i := range int(r) {
		p.Records = append(p.Records, mirror.Record{
			Key: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Revision: 1,
			Data: fmt.Appendf(nil, `{"service":"llm","address":"10.1.%d.%d:8080","zone":"a","version":"v1","slots":64,"state":"ready","born":%d}`, i/250, i%250, i*7919),
		})
	}
	return p, nil
}

func (r rows) Watch(ctx context.Context, _ mirror.Topic, _ mirror.Revision, _ time.Duration) (mirror.ReadResult, error) {
	<-ctx.Done()
	return mirror.ReadResult{}, ctx.Err()
}

func (rows) Decode(mirror.Topic, []mirror.Record) []mirror.Change { return nil }

func (rows) SaveProgress(context.Context, canary.Progress, mirror.Revision) error {
	return errors.New("not expected")
}

func (rows) SaveTally(context.Context, canary.Tally) error { return errors.New("not expected") }

// counter counts the bytes that its connections write.
type counter struct {
	net.Listener
	written atomic.Int64
}

func (c *counter) Accept() (net.Conn, error) {
	x, err := c.Listener.Accept()
	return &counted{Conn: x, counter: c}, err
}

type counted struct {
	net.Conn
	counter *counter
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.written.Add(int64(n))
	return n, err
}

// Guards against snapshots that take more bandwidth than all requests: uncompressed, 300
// routers that each read 3,000 rows from another failure domain transferred 0.17 GB.
func TestSnapshotIsCompressed(t *testing.T) {
	const count = 1000
	began := time.Now()
	syncer := mirror.New(rows(count), nil, func() time.Duration { return time.Since(began) }, zerolog.New(io.Discard))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	wire := &counter{Listener: l}
	ctx, c := serve(t, wire, syncer, syncer.Run)
	var p mirror.ReadResult
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		before := wire.written.Load()
		if p, err = c.Snapshot(ctx, mirror.TopicUpstreams); err != nil {
			// The syncer has not read the topic yet.
			continue
		}
		raw := 0
		for _, r := range p.Records {
			raw += len(r.Key) + len(r.Data)
		}
		if n := wire.written.Load() - before; len(p.Records) != count || n > int64(raw)/4 {
			t.Errorf("%d rows of %d bytes took %d bytes on the wire", len(p.Records), raw, n)
		}
		return
	}
	t.Fatalf("no snapshot: %v", err)
}

func (rows) SaveTrials(context.Context, poison.Trials, mirror.Revision) error {
	return errors.New("not expected")
}
