package dynamo

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"golang.org/x/time/rate"
)

const (
	maxPageBytes    = 1 << 20
	maxRequestBytes = 2 << 20
	typePrefix      = "com.amazonaws.dynamodb.v20120810#"
	targetPrefix    = "DynamoDB_20120810."
)

// Error is a DynamoDB error response.
type Error struct {
	Status  int
	Type    string
	Message string
	// Item is the existing item for which a condition failed, if the request asked for it.
	Item Item
}

func (e *Error) Error() string {
	return e.Type + ": " + e.Message
}

func (e *Error) write(w http.ResponseWriter) {
	m := map[string]any{"__type": typePrefix + e.Type, "message": e.Message}
	if e.Item != nil {
		m["Item"] = e.Item
	}
	writeJSON(w, e.Status, m)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteInjectedError writes the response of an injected error.
func WriteInjectedError(w http.ResponseWriter) {
	e := &Error{Status: http.StatusInternalServerError, Type: "InternalServerError", Message: "error fault"}
	e.write(w)
}

// IsWrite reports whether a request is a PutItem, the only operation that writes.
func IsWrite(r *http.Request) bool {
	return r.Header.Get("X-Amz-Target") == targetPrefix+"PutItem"
}

// request holds the parameters of all supported operations.
type request struct {
	TableName                           string
	Key                                 Item
	Item                                Item
	ConditionExpression                 string
	KeyConditionExpression              string
	ExpressionAttributeNames            map[string]string
	ExpressionAttributeValues           Item
	ReturnValuesOnConditionCheckFailure string
	Limit                               int
	ScanIndexForward                    *bool
	ExclusiveStartKey                   Item
}

// ServeHTTP executes the operation that the header X-Amz-Target names.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	op, ok := strings.CutPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	if !ok || r.Method != http.MethodPost {
		newError("UnknownOperationException", "unknown target").write(w)
		return
	}
	var q request
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q); err != nil {
		newError("SerializationException", "%v", err).write(w)
		return
	}
	out, err := s.execute(op, &q)
	if err != nil {
		err.write(w)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Store) execute(op string, q *request) (any, *Error) {
	switch op {
	case "GetItem":
		return s.getItem(q)
	case "PutItem":
		return s.putItem(q)
	case "Query":
		return s.queryItems(q)
	default:
		return nil, newError("UnknownOperationException", "operation %s", op)
	}
}

// checkRate returns a throttling error if an operation is above its rate limit.
func (s *Store) checkRate(l *rate.Limiter) *Error {
	if l.Allow() {
		return nil
	}
	s.countThrottled()
	return newError("ProvisionedThroughputExceededException", "rate limit of the table exceeded")
}

func (s *Store) getItem(q *request) (any, *Error) {
	if err := s.checkRate(s.reads); err != nil {
		return nil, err
	}
	out := map[string]any{}
	if i, ok := s.get(q.TableName, q.Key.text("pk"), q.Key.text("sk")); ok {
		out["Item"] = i
	}
	return out, nil
}

func (s *Store) putItem(q *request) (any, *Error) {
	cond, err := condition(q)
	if err != nil {
		return nil, err
	}
	if q.Item.text("pk") == "" || q.Item.text("sk") == "" {
		return nil, newError("ValidationException", "the item has no key")
	}
	if q.Item.size() > MaxItemBytes {
		return nil, newError("ValidationException", "Item size has exceeded the maximum allowed size")
	}
	if err := s.checkRate(s.writes); err != nil {
		return nil, err
	}
	old, ok := s.put(q.TableName, q.Item, cond)
	if ok {
		return map[string]any{}, nil
	}
	e := newError("ConditionalCheckFailedException", "The conditional request failed")
	if q.ReturnValuesOnConditionCheckFailure == "ALL_OLD" {
		e.Item = old
	}
	return nil, e
}

func (s *Store) queryItems(q *request) (any, *Error) {
	sel, err := keyCondition(q)
	if err != nil {
		return nil, err
	}
	if err := s.checkRate(s.reads); err != nil {
		return nil, err
	}
	items, more := s.query(sel)
	if items == nil {
		items = []Item{}
	}
	out := map[string]any{"Items": items, "Count": len(items), "ScannedCount": len(items)}
	if more {
		last := items[len(items)-1]
		out["LastEvaluatedKey"] = Item{"pk": last["pk"], "sk": last["sk"]}
	}
	return out, nil
}

// newError returns an error with status 400.
func newError(kind, format string, args ...any) *Error {
	return &Error{Status: http.StatusBadRequest, Type: kind, Message: fmt.Sprintf(format, args...)}
}
