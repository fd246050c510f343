package table_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"tarragonvalve.example/core/table"
)

// fakeService answers each call with the next of its replies, the last one again when
// they run out, and records the requests.
type fakeService struct {
	replies []reply

	mu       sync.Mutex
	requests []map[string]any
}

// reply is an HTTP answer; with hang there is none until the client gives up.
type reply struct {
	status int
	body   string
	hang   bool
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	var m map[string]any
	_ = json.Unmarshal(b, &m)
	s.mu.Lock()
	s.requests = append(s.requests, m)
	p := s.replies[min(len(s.requests), len(s.replies))-1]
	s.mu.Unlock()
	if p.hang {
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(p.status)
	fmt.Fprint(w, p.body)
}

func (s *fakeService) received() []map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.requests)
}

// dynamo returns a client of a service with the given replies. Only the client of a
// service that does not answer gets a short time-out, which it then always reaches.
func dynamo(t *testing.T, replies ...reply) (*table.Dynamo, *fakeService) {
	timeout := time.Minute
	if replies[0].hang {
		timeout = 20 * time.Millisecond
	}
	s := &fakeService{replies: replies}
	h := httptest.NewServer(s)
	t.Cleanup(h.Close)
	return table.NewDynamo(table.Options{
		Endpoint:  h.URL,
		Table:     "t",
		Region:    "local",
		AccessKey: "a",
		SecretKey: "s",
		Timeout:   timeout,
	}), s
}

// item returns a row of partition p as the service's JSON.
func item(sort string, revision int, token string) string {
	return fmt.Sprintf(`{"pk":{"S":"p"},"sk":{"S":%q},"rev":{"N":"%d"},"tok":{"S":%q},"body":{"B":"aGk="}}`, sort, revision, token)
}

// failedType is the start of the service's answer to a write whose condition failed.
const failedType = `"__type":"com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException","message":"m"`

// Guards against writes without a condition and against a failed condition that is
// decoded wrongly.
func TestPut(t *testing.T) {
	k := table.Key{Partition: "p", Sort: "s"}
	for name, c := range map[string]struct {
		expect    uint64
		replies   []reply
		condition string
		current   table.WriteToken
		err       func(error) bool
	}{
		"create": {replies: []reply{{status: 200, body: "{}"}}, condition: "attribute_not_exists(pk)"},
		"update": {expect: 7, replies: []reply{{status: 200, body: "{}"}}, condition: "rev = :rev"},
		"conflict with row": {
			replies:   []reply{{status: 400, body: "{" + failedType + `,"Item":` + item("s", 3, "x") + "}"}},
			condition: "attribute_not_exists(pk)", current: "x",
		},
		"conflict without row": {
			replies:   []reply{{status: 400, body: "{" + failedType + "}"}, {status: 200, body: `{"Item":` + item("s", 3, "y") + "}"}},
			condition: "attribute_not_exists(pk)", current: "y",
		},
		"server error": {
			replies:   []reply{{status: 500, body: `{"__type":"InternalServerError"}`}},
			condition: "attribute_not_exists(pk)",
			err:       func(err error) bool { return table.IsUnavailable(err) && !table.NotApplied(err) },
		},
		"throttled": {
			replies:   []reply{{status: 400, body: `{"__type":"com.amazonaws.dynamodb.v20120810#ProvisionedThroughputExceededException"}`}},
			condition: "attribute_not_exists(pk)",
			err:       func(err error) bool { return table.IsUnavailable(err) && table.NotApplied(err) },
		},
		"no answer": {
			replies:   []reply{{hang: true}},
			condition: "attribute_not_exists(pk)",
			err:       func(err error) bool { return table.IsUnavailable(err) && !table.NotApplied(err) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, s := dynamo(t, c.replies...)
			w := table.Write{Key: k, Token: "w", Body: []byte("hi")}
			for range c.expect {
				w.Expect++
			}
			err := d.Put(t.Context(), w)
			conflict, isConflict := table.AsConflict(err)
			switch {
			case c.err != nil:
				if !c.err(err) {
					t.Errorf("got %v", err)
				}
			case c.current == "" && err != nil:
				t.Errorf("got %v", err)
			case c.current != "" && (!isConflict || conflict.Current == nil || conflict.Current.Token != c.current):
				t.Errorf("got %v, want a conflict with %s", err, c.current)
			}
			requests := s.received()
			if len(requests) == 0 && c.replies[0].hang {
				// The client may give up before the service has read the request.
				return
			}
			if got := requests[0]["ConditionExpression"]; got != c.condition {
				t.Errorf("condition %v, want %s", got, c.condition)
			}
			if n := requests[0]["Item"].(map[string]any)["rev"].(map[string]any)["N"]; n != fmt.Sprint(c.expect+1) {
				t.Errorf("revision %v, want %d", n, c.expect+1)
			}
			if c.err != nil && len(requests) != 1 {
				t.Errorf("%d requests, want 1: the client must not repeat calls itself", len(requests))
			}
		})
	}
}

// Guards against reads that are not consistent, stop after the first page or use
// expressions that the service need not support.
func TestReads(t *testing.T) {
	page := func(items, next string) reply {
		return reply{status: 200, body: fmt.Sprintf(`{"Items":[%s]%s}`, items, next)}
	}
	for name, c := range map[string]struct {
		query     table.Query
		replies   []reply
		condition string
		want      string
	}{
		"after": {
			query:     table.Query{Partition: "p", After: "a", Limit: 3, Descending: true},
			replies:   []reply{page(item("c", 1, "x"), `,"LastEvaluatedKey":{"pk":{"S":"p"},"sk":{"S":"c"}}`), page(item("b", 1, "x"), "")},
			condition: "pk = :pk AND sk > :after", want: "c b",
		},
		"prefix": {
			query: table.Query{Partition: "p", Prefix: "a/"}, replies: []reply{page(item("a/1", 1, "x"), "")},
			condition: "pk = :pk AND begins_with(sk, :prefix)", want: "a/1",
		},
		"after and prefix": {
			query: table.Query{Partition: "p", After: "a/1", Prefix: "a/"}, replies: []reply{page(item("a/2", 1, "x")+","+item("b", 1, "x"), "")},
			condition: "pk = :pk AND sk > :after", want: "a/2",
		},
		"whole": {
			query: table.Query{Partition: "p", Limit: 1}, replies: []reply{page(item("a", 1, "x")+","+item("b", 1, "x"), "")},
			condition: "pk = :pk", want: "a",
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, s := dynamo(t, c.replies...)
			rows, err := d.List(t.Context(), c.query)
			var got []string
			for _, r := range rows {
				got = append(got, r.Key.Sort)
			}
			if err != nil || strings.Join(got, " ") != c.want {
				t.Errorf("got %v, %v", got, err)
			}
			for i, r := range s.received() {
				if r["KeyConditionExpression"] != c.condition || r["ConsistentRead"] != true || r["ScanIndexForward"] != !c.query.Descending {
					t.Errorf("request %d: %v", i, r)
				}
			}
		})
	}
	d, s := dynamo(t, reply{status: 200, body: "{}"}, reply{status: 200, body: `{"Item":` + item("s", 4, "x") + "}"})
	k := table.Key{Partition: "p", Sort: "s"}
	if _, err := d.Get(t.Context(), k); !table.IsMissing(err) {
		t.Errorf("absent row: %v", err)
	}
	if r, err := d.Get(t.Context(), k); err != nil || r.Revision != 4 || r.Token != "x" || string(r.Body) != "hi" {
		t.Errorf("row: %v, %v", r, err)
	}
	unanswered, _ := dynamo(t, reply{hang: true})
	if _, err := unanswered.Get(t.Context(), k); !table.IsUnavailable(err) {
		t.Errorf("service without answers: %v", err)
	}
	if s.received()[0]["ConsistentRead"] != true {
		t.Error("the read is not consistent")
	}
}

// Guards against a write that was never sent and is reported with an unknown outcome.
func TestNotAppliedWhenUnreachable(t *testing.T) {
	h := httptest.NewServer(http.NotFoundHandler())
	h.Close()
	d := table.NewDynamo(table.Options{Endpoint: h.URL, Table: "t", Region: "local", AccessKey: "a", SecretKey: "s"})
	if err := d.Put(t.Context(), table.Write{Key: table.Key{Partition: "p", Sort: "s"}}); !table.NotApplied(err) {
		t.Errorf("got %v, want proof that nothing was written", err)
	}
}
