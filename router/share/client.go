// Package share serves what one router read from the store, and samples of upstreams, to
// other routers over gRPC. Each call of the store has a price, and without sharing the
// number of calls would grow with the number of routers.
package share

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/status"

	"tarragonvalve.example/router/mirror"
)

const (
	// connectTimeout bounds the set-up of a connection to a peer and is the first pause
	// after a failure.
	connectTimeout = 300 * time.Millisecond
	// maxReconnectPause bounds the pause between attempts to connect.
	maxReconnectPause = 2 * time.Second
	// maxReply bounds a reply, in bytes; a configuration may have hundreds of routes.
	maxReply = 8 << 20
)

// Client reads topics from one peer and exchanges samples with it. It implements
// mirror.Source and gossip.Peer.
type Client struct {
	address string
	conn    *grpc.ClientConn
	rpc     ShareClient
}

// NewClient returns a client of the peer at an address IP:PORT. It connects at the first
// call.
func NewClient(address string) (*Client, error) {
	b := backoff.DefaultConfig
	b.BaseDelay, b.MaxDelay = connectTimeout, maxReconnectPause
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: b, MinConnectTimeout: connectTimeout}),
		grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReply)))
	if err != nil {
		return nil, fmt.Errorf("prepare the connection to peer %s: %w", address, err)
	}
	return &Client{address: address, conn: c, rpc: NewShareClient(c)}, nil
}

// Snapshot returns all rows of a topic that the peer has. The reply is compressed: the
// rows of 3,000 upstreams take about a megabyte, and each of 300 routers reads them when
// it starts, most of them from another failure domain.
func (c *Client) Snapshot(ctx context.Context, t mirror.Topic) (mirror.ReadResult, error) {
	return c.read(ctx, t, 0, 0, grpc.UseCompressor(gzip.Name))
}

// Watch returns the changes of a topic after a revision. The peer waits for the first
// one, at most for wait. It returns a *mirror.HistoryLostError if the peer no longer has
// the changes.
func (c *Client) Watch(ctx context.Context, t mirror.Topic, after mirror.Revision, wait time.Duration) (mirror.ReadResult, error) {
	return c.read(ctx, t, after, wait)
}

func (c *Client) read(ctx context.Context, t mirror.Topic, after mirror.Revision, wait time.Duration, os ...grpc.CallOption) (mirror.ReadResult, error) {
	r, err := c.rpc.Read(ctx, &ReadRequest{Topic: int32(t), After: uint64(after), WaitMs: uint32(wait.Milliseconds())}, os...)
	if status.Code(err) == codes.OutOfRange {
		return mirror.ReadResult{}, &mirror.HistoryLostError{Topic: t, After: after}
	}
	if err != nil {
		return mirror.ReadResult{}, fmt.Errorf("read %s from peer %s: %w", t, c.address, err)
	}
	p := mirror.ReadResult{
		Snapshot: r.GetSnapshot(), Revision: mirror.Revision(r.GetRevision()),
		StoreClock: time.Duration(r.GetClockMs()) * time.Millisecond, Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
	}
	for _, x := range r.GetRecords() {
		p.Records = append(p.Records, mirror.Record{Key: x.GetKey(), Revision: mirror.Revision(x.GetRevision()), Data: x.GetData(), Removed: x.GetGone()})
	}
	return p, nil
}

// Close closes the connection.
func (c *Client) Close() error {
	return c.conn.Close()
}
