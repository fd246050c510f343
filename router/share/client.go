// Package share passes what one router read from the store on to others: each
// call of the store has a price, and calls would grow with the routers.
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

	"tarragonvalve.example/router/known"
)

const (
	// connectLimit bounds the set-up of a connection to a peer.
	connectLimit = 300 * time.Millisecond
	// reconnectMost bounds the pause between attempts to connect.
	reconnectMost = 2 * time.Second
	// maxReply bounds a reply; a configuration may have hundreds of routes.
	maxReply = 8 << 20
)

// Client speaks to one peer; it implements known.Source and gossip.Peer.
type Client struct {
	address string
	conn    *grpc.ClientConn
	rpc     ShareClient
}

// NewClient returns a client of the peer at an address IP:PORT. It connects when
// it is first used.
func NewClient(address string) (*Client, error) {
	b := backoff.DefaultConfig
	b.BaseDelay, b.MaxDelay = connectLimit, reconnectMost
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: b, MinConnectTimeout: connectLimit}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReply)))
	if err != nil {
		return nil, fmt.Errorf("prepare the connection to peer %s: %w", address, err)
	}
	return &Client{address: address, conn: c, rpc: NewShareClient(c)}, nil
}

// Snapshot returns all that the peer knows of a topic. It is compressed: the rows of
// 3,000 upstreams take about a megabyte, and each of 300 routers reads them at its
// start, most of them from another failure domain.
func (c *Client) Snapshot(ctx context.Context, t known.Topic) (known.ReadResult, error) {
	return c.read(ctx, t, 0, 0, grpc.UseCompressor(gzip.Name))
}

// Watch returns the changes after a revision.
func (c *Client) Watch(ctx context.Context, t known.Topic, after known.Revision, wait time.Duration) (known.ReadResult, error) {
	return c.read(ctx, t, after, wait)
}

func (c *Client) read(ctx context.Context, t known.Topic, after known.Revision, wait time.Duration, os ...grpc.CallOption) (known.ReadResult, error) {
	r, err := c.rpc.Read(ctx, &ReadRequest{Topic: int32(t), After: uint64(after), WaitMs: uint32(wait.Milliseconds())}, os...)
	if status.Code(err) == codes.OutOfRange {
		return known.ReadResult{}, &known.HistoryLostError{Topic: t, After: after}
	}
	if err != nil {
		return known.ReadResult{}, fmt.Errorf("read %s from a peer: %w", t, err)
	}
	p := known.ReadResult{
		Snapshot: r.GetSnapshot(), Revision: known.Revision(r.GetRevision()),
		StoreClock: time.Duration(r.GetClockMs()) * time.Millisecond, Age: time.Duration(r.GetAgeMs()) * time.Millisecond,
	}
	for _, x := range r.GetRecords() {
		p.Records = append(p.Records, known.Record{Key: x.GetKey(), Revision: known.Revision(x.GetRevision()), Data: x.GetData(), Removed: x.GetGone()})
	}
	return p, nil
}

// Close ends the connection.
func (c *Client) Close() error {
	return c.conn.Close()
}
