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

// closedOnceClient answers the first call with a body whose read fails as on a
// connection that this process closed, and the others with an empty result.
type closedOnceClient struct {
	calls int
}

// closedBody fails like a read of a connection that this process closed.
type closedBody struct{}

func (closedBody) Read([]byte) (int, error) {
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
}

func (closedBody) Close() error { return nil }

func (c *closedOnceClient) Do(r *http.Request) (*http.Response, error) {
	c.calls++
	var b io.ReadCloser = closedBody{}
	if c.calls > 1 {
		b = io.NopCloser(strings.NewReader(`{"Items":[],"Count":0,"ScannedCount":0}`))
	}
	h := http.Header{"Content-Type": {"application/x-amz-json-1.0"}}
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: b, Request: r}, nil
}

// Guards against a working table that is reported as unavailable because this process
// closed the connection while one answer was read.
func TestReadRepeatedAfterClosedConnection(t *testing.T) {
	c := &closedOnceClient{}
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
