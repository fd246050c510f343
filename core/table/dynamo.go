package table

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/samber/oops"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inlet"
)

// DefaultTimeout bounds one HTTP call when Options.Timeout is not set. Consistent reads
// and single-row writes of the table take tens of milliseconds.
const DefaultTimeout = time.Second

// Attributes of a stored row.
const (
	attrPartition = "pk"
	attrSort      = "sk"
	attrRevision  = "rev"
	attrToken     = "tok"
	attrBody      = "body"
)

// Options configures a Dynamo client.
type Options struct {
	// Endpoint is the base URL of the table service.
	Endpoint  string
	Table     string
	Region    string
	AccessKey string
	SecretKey string
	// Timeout bounds one HTTP call, so that a connection without answers delays no
	// caller for longer.
	Timeout time.Duration
}

// Dynamo is a Client of a service with the DynamoDB HTTP API. It is safe for concurrent
// use.
type Dynamo struct {
	api     *dynamodb.Client
	table   string
	timeout time.Duration
}

var _ Client = (*Dynamo)(nil)

// NewWriteToken returns a random token for one write. It is unique across processes.
func NewWriteToken() WriteToken {
	return WriteToken(rand.Text())
}

// NewDynamo returns a client of the table o.Table at o.Endpoint.
func NewDynamo(o Options) *Dynamo {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	api := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(o.Endpoint),
		Region:       o.Region,
		Credentials:  credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		HTTPClient:   &http.Client{Transport: limitTransport{bodyCopyTransport{transport(o.Timeout)}}}, //nolint:forbidigo // the field, not the type
		// PutWithRetry repeats writes itself. A repeat inside the SDK could report a
		// conflict with the effect of its own first try.
		Retryer: aws.NopRetryer{},
		// The endpoint is always that of the settings, never one that the service names.
		EndpointDiscovery: dynamodb.EndpointDiscoveryOptions{EnableEndpointDiscovery: aws.EndpointDiscoveryDisabled},
	})
	return &Dynamo{api: api, table: o.Table, timeout: o.Timeout}
}

// transport returns an HTTP/1.1 transport. With HTTP/1.1, a call that times out closes
// its own connection, so a connection without answers is not used again. An HTTP/2
// connection would stay open and be shared by later calls.
func transport(timeout time.Duration) http.RoundTripper {
	d := net.Dialer{Timeout: timeout}
	t := inlet.NewTransport(d.DialContext)
	t.TLSHandshakeTimeout, t.ResponseHeaderTimeout, t.IdleConnTimeout = timeout, timeout, 30*time.Second
	t.MaxIdleConnsPerHost, t.MaxConnsPerHost = 16, 64
	return t
}

// maxAnswerBytes bounds an answer of the service: a page of a query, which the API limits to
// 1 MB, with each byte escaped in JSON by six.
const maxAnswerBytes = 8 << 20

// limitTransport bounds the answers, which the SDK reads to their end.
type limitTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	p.Body = inlet.LimitBody(p.Body, r.URL.Scheme+"://"+r.URL.Host, maxAnswerBytes)
	return p, nil
}

// bodyCopyTransport gives the transport its own copy of the request body. The SDK
// closes the request's body as soon as the response headers arrive. If the transport is
// still writing the body then, the write fails and the transport closes the connection
// while the response is read, which would count as an unavailable table.
type bodyCopyTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t bodyCopyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return t.next.RoundTrip(r)
	}
	b, err := io.ReadAll(r.Body) //nolint:forbidigo // a request of this process
	_ = r.Body.Close()
	if err != nil {
		return nil, err
	}
	c := r.Clone(r.Context())
	c.Body = io.NopCloser(bytes.NewReader(b))
	return t.next.RoundTrip(c)
}

// Get implements Client.
func (d *Dynamo) Get(ctx context.Context, k Key) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	in := &dynamodb.GetItemInput{
		TableName:      aws.String(d.table),
		ConsistentRead: aws.Bool(true),
		Key: map[string]types.AttributeValue{
			attrPartition: text(k.Partition),
			attrSort:      text(k.Sort),
		},
	}
	out, err := d.api.GetItem(ctx, in)
	if closedLocally(ctx, err) {
		out, err = d.api.GetItem(ctx, in)
	}
	if err != nil {
		return Row{}, unavailable("read", k, err)
	}
	if len(out.Item) == 0 {
		return Row{}, &MissingError{Key: k}
	}
	r, err := decode(out.Item)
	if err != nil {
		return Row{}, unavailable("read", k, err)
	}
	return r, nil
}

// Put implements Client.
func (d *Dynamo) Put(ctx context.Context, w Write) error {
	c, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	in := &dynamodb.PutItemInput{
		TableName:                           aws.String(d.table),
		Item:                                encode(w),
		ConditionExpression:                 aws.String("attribute_not_exists(pk)"),
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}
	if w.Expect > 0 {
		in.ConditionExpression = aws.String("rev = :rev")
		in.ExpressionAttributeValues = map[string]types.AttributeValue{":rev": number(w.Expect)}
	}
	_, err := d.api.PutItem(c, in)
	if err == nil {
		return nil
	}
	var failed *types.ConditionalCheckFailedException
	if !errors.As(err, &failed) {
		return unavailable("write", w.Key, err)
	}
	e := &ConflictError{Key: w.Key}
	if len(failed.Item) > 0 {
		if r, err := decode(failed.Item); err == nil {
			e.Current = &r
			return e
		}
	}
	if r, err := d.Get(ctx, w.Key); err == nil {
		e.Current = &r
	}
	return e
}

// PutWithRetry implements Client.
func (d *Dynamo) PutWithRetry(ctx context.Context, w Write) error {
	return PutWithRetry(ctx, d, w)
}

// List implements Client. The service takes one condition on the sort key, so a query
// with both After and Prefix is filtered by prefix after the read.
func (d *Dynamo) List(ctx context.Context, q Query) ([]Row, error) {
	in := d.query(q)
	var rows []Row
	for {
		out, err := d.page(ctx, in)
		if err != nil {
			return nil, unavailable("list", Key{Partition: q.Partition, Sort: q.After + q.Prefix}, err)
		}
		for _, item := range out.Items {
			r, err := decode(item)
			if err != nil {
				return nil, unavailable("list", Key{Partition: q.Partition, Sort: q.After + q.Prefix}, err)
			}
			if !q.Match(r.Key) {
				continue
			}
			rows = append(rows, r)
			if q.Limit > 0 && len(rows) == q.Limit {
				return rows, nil
			}
		}
		if len(out.LastEvaluatedKey) == 0 {
			return rows, nil
		}
		in.ExclusiveStartKey = out.LastEvaluatedKey
	}
}

// page reads one page of a query.
func (d *Dynamo) page(ctx context.Context, in *dynamodb.QueryInput) (*dynamodb.QueryOutput, error) {
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	out, err := d.api.Query(ctx, in)
	if closedLocally(ctx, err) {
		out, err = d.api.Query(ctx, in)
	}
	return out, err
}

// closedLocally reports whether a read failed because this process closed its
// connection while the answer arrived. This can happen while the table works, so such a
// read is repeated once.
func closedLocally(ctx context.Context, err error) bool {
	return ctx.Err() == nil && errors.Is(err, net.ErrClosed)
}

func (d *Dynamo) query(q Query) *dynamodb.QueryInput {
	in := &dynamodb.QueryInput{
		TableName:                 aws.String(d.table),
		ConsistentRead:            aws.Bool(true),
		ScanIndexForward:          aws.Bool(!q.Descending),
		KeyConditionExpression:    aws.String("pk = :pk"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":pk": text(q.Partition)},
	}
	switch {
	case q.After != "":
		in.KeyConditionExpression = aws.String("pk = :pk AND sk > :after")
		in.ExpressionAttributeValues[":after"] = text(q.After)
	case q.Prefix != "":
		in.KeyConditionExpression = aws.String("pk = :pk AND begins_with(sk, :prefix)")
		in.ExpressionAttributeValues[":prefix"] = text(q.Prefix)
	}
	if q.Limit > 0 {
		in.Limit = aws.Int32(int32(min(q.Limit, maxPage)))
	}
	return in
}

// maxPage bounds the rows that one page asks for. The service also ends a page at 1 MB.
const maxPage = 1000

func encode(w Write) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{
		attrPartition: text(w.Key.Partition),
		attrSort:      text(w.Key.Sort),
		attrRevision:  number(w.Expect + 1),
		attrToken:     text(string(w.Token)),
		attrBody:      &types.AttributeValueMemberB{Value: w.Body},
	}
}

func decode(item map[string]types.AttributeValue) (Row, error) {
	p, okP := item[attrPartition].(*types.AttributeValueMemberS)
	s, okS := item[attrSort].(*types.AttributeValueMemberS)
	n, okN := item[attrRevision].(*types.AttributeValueMemberN)
	t, okT := item[attrToken].(*types.AttributeValueMemberS)
	b, okB := item[attrBody].(*types.AttributeValueMemberB)
	if !okP || !okS || !okN || !okT || !okB {
		return Row{}, oops.In("table").Errorf("decode row: want attributes pk, sk, rev, tok and body")
	}
	v, err := strconv.ParseUint(n.Value, 10, 64)
	if err != nil {
		return Row{}, oops.In("table").Wrapf(err, "decode revision of row %s/%s", p.Value, s.Value)
	}
	return Row{
		Key:      Key{Partition: p.Value, Sort: s.Value},
		Revision: ident.Revision(v),
		Token:    WriteToken(t.Value),
		Body:     b.Value,
	}, nil
}

func text(s string) types.AttributeValue {
	return &types.AttributeValueMemberS{Value: s}
}

func number(r ident.Revision) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(uint64(r), 10)}
}

// unavailable wraps the error of a failed call in an *UnavailableError. Calls that
// never reached the service and calls that it throttled are marked as not applied.
func unavailable(op string, k Key, err error) error {
	var (
		dial      *net.OpError
		throttled *types.ProvisionedThroughputExceededException
		limited   *types.RequestLimitExceeded
	)
	if (errors.As(err, &dial) && dial.Op == "dial") || errors.As(err, &throttled) || errors.As(err, &limited) {
		err = &NotAppliedError{Err: err}
	}
	return &UnavailableError{Op: op, Key: k, Err: err}
}
