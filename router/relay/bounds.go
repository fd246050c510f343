package relay

import (
	"errors"

	"tarragonvalve.example/router/fleet"
	"tarragonvalve.example/router/link"
	"tarragonvalve.example/router/quota"
)

// readAll reads an answer that is passed on when it is complete.
func (t *try) readAll(a *link.Answer, m *quota.Reservation) ([]byte, error) {
	if a.Length > maxWhole {
		return nil, &quota.TooLongError{What: "answer", Limit: maxWhole}
	}
	return m.ReadAll(a, "answer", maxWhole)
}

// exceeded records that an upstream sent more than it may.
func (t *try) exceeded(err error, u *fleet.Upstream) {
	var l *quota.TooLongError
	var f *quota.MemoryLimitError
	switch {
	case errors.As(err, &l):
		t.Meter.Exceeded(l.What)
	case errors.As(err, &f):
		t.Meter.Exceeded("memory")
	default:
		return
	}
	t.Log.Warn().Err(err).Str("request", string(t.Meta.ID)).Str("upstream", string(u.ID)).Msg("answer given up at a bound")
}
