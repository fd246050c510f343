package notice_test

import (
	"testing"
	"time"

	"tarragonvalve.example/router/notice"
)

// Guards against a limit that outlasts its end, and against one that a delayed response or an old
// statement from another instance sets or ends.
func TestLimitOrder(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	at := func(s int) time.Time { return now.Add(time.Duration(s) * time.Second) }
	limited := func(s int) notice.Limit { return notice.Limit{Rate: 2, At: at(s)} }
	lifted := func(s int) notice.Limit { return notice.Limit{Lifted: true, At: at(s)} }
	tests := map[string]struct {
		statements []notice.Limit
		want       int
	}{
		"no limit":                       {[]notice.Limit{lifted(1)}, 0},
		"limit":                          {[]notice.Limit{lifted(1), limited(2)}, 1},
		"limit ends":                     {[]notice.Limit{limited(2), lifted(3)}, 0},
		"request sent before":            {[]notice.Limit{limited(2), lifted(1)}, 1},
		"old statement after the end":    {[]notice.Limit{limited(2), lifted(4), limited(3)}, 0},
		"limit starts again":             {[]notice.Limit{limited(2), lifted(4), limited(5)}, 1},
		"the limit is stated repeatedly": {[]notice.Limit{limited(2), limited(4), lifted(3)}, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			b := notice.New()
			u := upstream("u", 1)
			for _, l := range c.statements {
				b.RecordLimit(u.Incarnation(), l, at(6))
			}
			if got := b.LimitedCount(); got != c.want {
				t.Errorf("%d upstreams with a limit, want %d", got, c.want)
			}
			b.Expire(at(3600))
			if got := b.LimitedCount(); got != 0 {
				t.Error("an hour later the limit still holds")
			}
		})
	}
}
