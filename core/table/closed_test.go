package table

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
)

// closing answers the first call with a body that fails as a connection does that is closed on this side.
type closing struct {
	calls int
}

type closedBody struct{}

func (closedBody) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
}

func (closedBody) Close() error { return nil }

func (c *closing) Do(r *http.Request) (*http.Response, error) {
	c.calls++
	var b io.ReadCloser = closedBody{}
	if c.calls > 1 {
		b = io.NopCloser(strings.NewReader(`{"Items":[],"Count":0,"ScannedCount":0}`))
	}
	h := http.Header{"Content-Type": {"application/x-amz-json-1.0"}}
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: b, Request: r}, nil
}

// Guards against a table that works being reported as unavailable because one
// answer to a read met a connection that was closed on this side.
func TestReadRepeatedAfterClosedConnection(t *testing.T) {
	c := &closing{}
	d := &Dynamo{table: "t", timeout: time.Second, api: dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String("http://127.0.0.1:1"),
		Region:       "local",
		Credentials:  credentials.NewStaticCredentialsProvider("id", "secret", ""),
		HTTPClient:   c,
		Retryer:      aws.NopRetryer{},
	})}
	if _, err := d.List(t.Context(), Query{Partition: "p"}); err != nil || c.calls != 2 {
		t.Errorf("list: %d calls, %v", c.calls, err)
	}
	c.calls = 0
	var m *MissingError
	if _, err := d.Get(t.Context(), Key{Partition: "p", Sort: "s"}); !errors.As(err, &m) || c.calls != 2 {
		t.Errorf("get: %d calls, %v", c.calls, err)
	}
}
