package relay

import (
	"errors"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/router/quota"
)

// readBody reads the body of a response that is buffered before it is passed on. It
// returns a *quota.TooLongError if the body is longer than maxBuffered, and a
// *quota.MemoryLimitError if the memory for messages in progress is used up.
func (t *request) readBody(a *link.Response, m *quota.Reservation) ([]byte, error) {
	if a.Length > maxBuffered {
		return nil, &quota.TooLongError{What: "answer", Limit: maxBuffered}
	}
	m.SetOwner(quota.Owner(a.Address()))
	return m.ReadAll(a, "answer", maxBuffered)
}

// withoutRoom returns the outcome of an attempt that isn't made, as err says that there is no room for
// its answer.
func (t *request) withoutRoom(err error) outcome {
	t.Meter.LimitExceeded("memory")
	t.Log.Warn().Err(err).Str("request", string(t.Meta.ID)).Msg("request not sent without room for its answer")
	return inadmissible{err: refuse.New(refuse.Overloaded, t.ran(), "%v", err).WithRetryAfter(retryAfterRejection)}
}

// excessBound names, among the bounds of the metrics, bytes that belong to no answer.
const excessBound = "bytes after an answer"

// recordExcess counts and logs that the upstream was newly found to send bytes that belong to no answer.
func (t *request) recordExcess(a answered) {
	if !a.TakeExcess() {
		return
	}
	t.Meter.LimitExceeded(excessBound)
	t.Log.Warn().Str("request", string(t.Meta.ID)).Str("upstream", string(a.upstream.ID)).
		Msg("upstream sent bytes that belong to no answer, its connections are closed after one answer")
}

// malformedBound names, among the bounds of the metrics, answers that HTTP doesn't allow.
const malformedBound = "malformed answer"

// recordLimit counts and logs an err that reports a response over a size or memory limit, a malformed
// one, or bytes that belong to no answer; it ignores other errors.
func (t *request) recordLimit(err error, u *fleet.Upstream) {
	var l *quota.TooLongError
	var f *quota.MemoryLimitError
	var x *link.ExcessError
	var m *inlet.MalformedError
	message := "answer given up at a bound"
	switch {
	case errors.As(err, &l):
		t.Meter.LimitExceeded(l.What)
	case errors.As(err, &f):
		t.Meter.LimitExceeded("memory")
	case errors.As(err, &x):
		t.Meter.LimitExceeded(excessBound)
	case errors.As(err, &m):
		t.Meter.LimitExceeded(malformedBound)
		message = "upstream sent a malformed answer"
	default:
		return
	}
	t.Log.Warn().Err(err).Str("request", string(t.Meta.ID)).Str("upstream", string(u.ID)).Msg(message)
}
