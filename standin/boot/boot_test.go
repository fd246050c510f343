package boot_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/answer"
	"tarragonvalve.example/standin/boot"
	"tarragonvalve.example/standin/ctrl"
	"tarragonvalve.example/standin/setup"
)

const anyPort = "127.0.0.1:0"

var ref = ident.VersionRef{Model: "deep", Version: "1"}

func start(t *testing.T) *boot.Running {
	t.Helper()
	s := &setup.Settings{
		Control:   anyPort,
		Table:     setup.Table{Addr: anyPort, Writes: 400, Reads: 2000},
		Instances: setup.Instances{Addr: anyPort},
		Rating:    setup.Rating{Addr: anyPort, Rate: 50},
		Weights:   setup.Weights{Addr: anyPort, BytesPerSecond: 1 << 20, VersionBytes: 1},
		Versions:  map[ident.VersionRef]setup.Version{ref: {Quality: 0.9, MeanTokens: 40, Slowness: 1}},
		Engines: []setup.Engine{
			{
				ID: "e1", Addr: anyPort, Loaded: []ident.VersionRef{ref}, Slots: 4, QueueLimit: 8,
				TokenTime: time.Millisecond, PrefillRate: 1e6, CacheTokens: 1000, Grace: time.Minute, Keep: time.Minute, ChecksFencing: true,
			},
			{
				ID: "e2", Addr: anyPort, Loaded: []ident.VersionRef{ref}, Slots: 4, QueueLimit: 8,
				TokenTime: time.Millisecond, PrefillRate: 1e6, CacheTokens: 1000, Keep: time.Minute,
			},
		},
		Plains: []setup.Plain{{ID: "orders-1", Addr: anyPort, Service: "orders", Slots: 4}},
	}
	r, err := boot.Start(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	return r
}

func do(t *testing.T, method, url, body string, header ...string) (int, string, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, "http://"+url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

func counters(t *testing.T, r *boot.Running) ctrl.Counters {
	t.Helper()
	_, b, err := do(t, http.MethodGet, r.Addresses.Control+"/counters", "")
	if err != nil {
		t.Fatal(err)
	}
	var c ctrl.Counters
	if err := json.Unmarshal([]byte(b), &c); err != nil {
		t.Fatal(err)
	}
	return c
}

func client(r *boot.Running) *dynamodb.Client {
	return dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String("http://" + r.Addresses.Table),
		Region:       "local",
		Credentials:  credentials.NewStaticCredentialsProvider("id", "secret", ""),
		Retryer:      aws.NopRetryer{},
	})
}

func put(ctx context.Context, c *dynamodb.Client, sk, rev, expect string) error {
	in := &dynamodb.PutItemInput{
		TableName: aws.String("t"),
		Item: map[string]types.AttributeValue{
			"pk":   &types.AttributeValueMemberS{Value: "p"},
			"sk":   &types.AttributeValueMemberS{Value: sk},
			"rev":  &types.AttributeValueMemberN{Value: rev},
			"tok":  &types.AttributeValueMemberS{Value: "w" + rev},
			"body": &types.AttributeValueMemberB{Value: []byte("b" + rev)},
		},
		ConditionExpression:                 aws.String("attribute_not_exists(pk)"),
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}
	if expect != "" {
		in.ConditionExpression = aws.String("rev = :rev")
		in.ExpressionAttributeValues = map[string]types.AttributeValue{":rev": &types.AttributeValueMemberN{Value: expect}}
	}
	_, err := c.PutItem(ctx, in)
	return err
}

// Guards against a table that ignores a condition, or whose errors the SDK doesn't recognize:
// with it, every test of concurrent writers would pass.
func TestTableConditions(t *testing.T) {
	r := start(t)
	c := client(r)
	ctx := t.Context()
	if err := put(ctx, c, "a", "1", ""); err != nil {
		t.Fatal(err)
	}
	var failed *types.ConditionalCheckFailedException
	if err := put(ctx, c, "a", "1", ""); !errors.As(err, &failed) {
		t.Fatalf("second create: %v", err)
	}
	if tok, ok := failed.Item["tok"].(*types.AttributeValueMemberS); !ok || tok.Value != "w1" {
		t.Fatalf("item of the failed condition: %v", failed.Item)
	}
	if err := put(ctx, c, "a", "2", "1"); err != nil {
		t.Fatal(err)
	}
	if err := put(ctx, c, "a", "2", "1"); !errors.As(err, &failed) {
		t.Fatalf("write with an old revision: %v", err)
	}
	if err := put(ctx, c, "new", "2", "1"); !errors.As(err, &failed) {
		t.Fatalf("conditional write of an absent row: %v", err)
	}
}

// Guards against wrong ranges, prefixes, limits and directions of queries, on which the readers
// of generations and batches depend.
func TestTableQueries(t *testing.T) {
	r := start(t)
	c := client(r)
	for _, sk := range []string{"x/3", "x/1", "y/1", "x/2"} {
		if err := put(t.Context(), c, sk, "1", ""); err != nil {
			t.Fatal(err)
		}
	}
	tests := map[string]struct {
		cond, value string
		limit       int32
		backward    bool
		want        string
	}{
		"all":      {cond: "pk = :pk", want: "x/1 x/2 x/3 y/1"},
		"after":    {cond: "pk = :pk AND sk > :v", value: "x/1", want: "x/2 x/3 y/1"},
		"prefix":   {cond: "pk = :pk AND begins_with(sk, :v)", value: "x/", want: "x/1 x/2 x/3"},
		"limit":    {cond: "pk = :pk", limit: 2, want: "x/1 x/2"},
		"backward": {cond: "pk = :pk AND begins_with(sk, :v)", value: "x/", limit: 1, backward: true, want: "x/3"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			in := &dynamodb.QueryInput{
				TableName:                 aws.String("t"),
				KeyConditionExpression:    aws.String(tc.cond),
				ExpressionAttributeValues: map[string]types.AttributeValue{":pk": &types.AttributeValueMemberS{Value: "p"}},
				ScanIndexForward:          aws.Bool(!tc.backward),
			}
			if tc.value != "" {
				in.ExpressionAttributeValues[":v"] = &types.AttributeValueMemberS{Value: tc.value}
			}
			if tc.limit > 0 {
				in.Limit = aws.Int32(tc.limit)
			}
			out, err := c.Query(t.Context(), in)
			if err != nil {
				t.Fatal(err)
			}
			var got []string
			for _, i := range out.Items {
				got = append(got, i["sk"].(*types.AttributeValueMemberS).Value)
			}
			if s := strings.Join(got, " "); s != tc.want {
				t.Fatalf("got %q, want %q", s, tc.want)
			}
		})
	}
}

// Guards against a lost answer whose request had no effect: with it, no test would cover
// unknown outcomes.
func TestResponseLostAfterEffect(t *testing.T) {
	r := start(t)
	a := r.Addresses
	for part, send := range map[string]func() error{
		"table": func() error { return put(t.Context(), client(r), "lost", "1", "") },
		"orders-1": func() error {
			_, _, err := do(t, http.MethodPost, a.Plains["orders-1"]+"/runs", "{}", "Idempotency-Key", "k")
			return err
		},
	} {
		if s, _, err := do(t, http.MethodPut, a.Control+"/faults/"+part, `{"lost":1}`); err != nil || s != http.StatusNoContent {
			t.Fatal(s, err)
		}
		if err := send(); err == nil {
			t.Fatalf("%s: the response arrived although it was to be lost", part)
		}
	}
	c := counters(t, r)
	if c.Table.Rows["p"] != 1 || c.Runs["orders/k"] != 1 {
		t.Fatalf("rows %v and runs %v, want 1 row of p and 1 run of orders/k", c.Table.Rows, c.Runs)
	}
}

// Guards against a component that answers while it is down, or that doesn't answer again once
// the fault is cleared.
func TestDownFaultClears(t *testing.T) {
	r := start(t)
	a := r.Addresses
	_, _, _ = do(t, http.MethodPut, a.Control+"/faults/e1", `{"down":true}`)
	if _, _, err := do(t, http.MethodGet, a.Engines["e1"]+"/load", ""); err == nil {
		t.Fatal("an engine that is down answered")
	}
	_, _, _ = do(t, http.MethodDelete, a.Control+"/faults/e1", "")
	if s, _, err := do(t, http.MethodGet, a.Engines["e1"]+"/load", ""); err != nil || s != http.StatusOK {
		t.Fatal(s, err)
	}
}

type sse struct {
	text, finish string
	events       int
	done         bool
}

func parse(t *testing.T, body string) sse {
	t.Helper()
	var out sse
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			out.done = true
			continue
		}
		var m struct {
			Choices []struct {
				Delta        answer.Message `json:"delta"`
				FinishReason string         `json:"finish_reason"`
			}
		}
		if err := json.Unmarshal([]byte(data), &m); err != nil {
			t.Fatal(err)
		}
		for _, c := range m.Choices {
			out.text += c.Delta.Content
			out.finish += c.FinishReason
			out.events++
		}
	}
	return out
}

// Guards against streams and resumed streams that differ from the computed text, with which
// other tests compare them byte by byte.
func TestStreamAndResume(t *testing.T) {
	r := start(t)
	e := r.Addresses.Engines["e1"]
	ms := []answer.Message{{Role: "user", Content: "check the satin density"}}
	want := answer.Compute(answer.Settings{Ref: ref, Quality: 0.9, MeanTokens: 40}, ms, 0)
	b, _ := json.Marshal(map[string]any{"model": "deep@1", "messages": ms, "stream": true})
	_, body, err := do(t, http.MethodPost, e+"/v1/chat/completions", string(b), "X-Request-Id", "r-1")
	if err != nil {
		t.Fatal(err)
	}
	got := parse(t, body)
	if got.text != want.Text() || got.finish != want.Finish || !got.done {
		t.Fatalf("got %+v, want %q", got, want.Text())
	}
	_, body, err = do(t, http.MethodGet, e+"/v1/streams/r-1?from=5", "")
	if err != nil {
		t.Fatal(err)
	}
	tail := ""
	for _, k := range want.Tokens[5:] {
		tail += k.Text
	}
	if got := parse(t, body); got.text != tail || !got.done {
		t.Fatalf("resumed %+v, want %q", got, tail)
	}
	if s, _, _ := do(t, http.MethodPost, e+"/v1/chat/completions", string(b), "X-Request-Id", "r-1"); s != http.StatusConflict {
		t.Fatalf("a request with the id of a known stream got status %d, want 409", s)
	}
}

// Guards against streams that can still be read after a crash of their engine.
func TestCrashLosesStreams(t *testing.T) {
	r := start(t)
	e := r.Addresses.Engines["e1"]
	body := `{"model":"deep@1","messages":[{"role":"user","content":"x"}],"stream":true}`
	if _, b, err := do(t, http.MethodPost, e+"/v1/chat/completions", body, "X-Request-Id", "c-1"); err != nil || !parse(t, b).done {
		t.Fatal(b, err)
	}
	if s, _, err := do(t, http.MethodPost, r.Addresses.Control+"/crash/e1", ""); err != nil || s != http.StatusNoContent {
		t.Fatal(s, err)
	}
	if s, _, err := do(t, http.MethodGet, e+"/v1/streams/c-1", ""); err != nil || s != http.StatusNotFound {
		t.Fatal(s, err)
	}
}

// Guards against an engine that checks fencing tokens but accepts an outdated one, and against
// one that doesn't check them but rejects it.
func TestFencingTokens(t *testing.T) {
	r := start(t)
	for id, want := range map[ident.UpstreamID]int{"e1": http.StatusConflict, "e2": http.StatusAccepted} {
		at := r.Addresses.Engines[id] + "/v1/orders"
		if s, _, err := do(t, http.MethodPost, at, `{"kind":"role","role":"decode","lease":"l","token":7}`); err != nil || s != http.StatusAccepted {
			t.Fatal(s, err)
		}
		if s, _, err := do(t, http.MethodPost, at, `{"kind":"role","role":"prefill","lease":"l","token":6}`); err != nil || s != want {
			t.Fatalf("%s: outdated token got status %d, want %d (%v)", id, s, want, err)
		}
	}
	if n := counters(t, r).Engines["e2"].StaleOrders; n != 1 {
		t.Fatalf("%d stale orders counted, want 1", n)
	}
}

// Guards against an instance list that isn't in the format of Prometheus HTTP service discovery.
func TestInstanceList(t *testing.T) {
	r := start(t)
	a := r.Addresses
	_, _, _ = do(t, http.MethodPut, a.Control+"/instances/i1", `{"address":"127.0.0.1:9","role":"agent","upstream":"e1","domain":"d"}`)
	_, b, err := do(t, http.MethodGet, a.Instances, "")
	if err != nil {
		t.Fatal(err)
	}
	want := `[{"targets":["127.0.0.1:9"],"labels":{"domain":"d","instance":"i1","role":"agent","state":"live","upstream":"e1"}}]`
	if got := string(bytes.TrimSpace([]byte(b))); got != want {
		t.Fatalf("got %s", got)
	}
}
