package relay

import (
	"errors"

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
	return m.ReadAll(a, "answer", maxBuffered)
}

// recordLimit counts and logs an err that reports a response over a size or memory limit;
// it ignores other errors.
func (t *request) recordLimit(err error, u *fleet.Upstream) {
	var l *quota.TooLongError
	var f *quota.MemoryLimitError
	switch {
	case errors.As(err, &l):
		t.Meter.LimitExceeded(l.What)
	case errors.As(err, &f):
		t.Meter.LimitExceeded("memory")
	default:
		return
	}
	t.Log.Warn().Err(err).Str("request", string(t.Meta.ID)).Str("upstream", string(u.ID)).Msg("answer given up at a bound")
}
