package excess_test

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"tarragonvalve.example/agent/excess"
	"tarragonvalve.example/core/inlet"
)

// counts returns the values of the counter by part.
func counts(t *testing.T, r *excess.Reporter) map[string]float64 {
	t.Helper()
	g := prometheus.NewRegistry()
	g.MustRegister(r)
	fs, err := g.Gather()
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]float64{}
	for _, f := range fs {
		for _, m := range f.GetMetric() {
			out[m.GetLabel()[0].GetValue()] = m.GetCounter().GetValue()
		}
	}
	return out
}

// Guards against a bound that is hit without a line or a count, against lines without the
// request, the upstream and the part, and against a faulty upstream that fills the log.
func TestReport(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(100, 0)
	r := excess.New(excess.Options{Upstream: "e1", Log: zerolog.New(&out), Now: func() time.Time { return now }})
	head := fmt.Errorf("call the service: %w", &inlet.TooLongError{Part: inlet.Head, Limit: 10, Peer: "http://127.0.0.1:1"})
	for range 1000 {
		r.Report("r1", head)
	}
	r.Report("", &inlet.TooLongError{Part: inlet.Event, Limit: 20, Peer: "http://127.0.0.1:1"})
	r.Report("r2", fmt.Errorf("call the service: %w", &inlet.MalformedError{Part: inlet.Head, Reason: "status 000", Peer: "http://127.0.0.1:1"}))
	r.Report("r2", errors.New("other"))
	r.Report("r2", nil)
	now = now.Add(time.Second)
	r.Report("r3", head)
	want := []string{
		`{"level":"warn","part":"head","limit":10,"peer":"http://127.0.0.1:1","upstream":"e1","request":"r1","message":"answer of the upstream exceeds a bound"}`,
		`{"level":"warn","part":"event","limit":20,"peer":"http://127.0.0.1:1","upstream":"e1","message":"answer of the upstream exceeds a bound"}`,
		`{"level":"warn","part":"head","reason":"status 000","peer":"http://127.0.0.1:1","upstream":"e1","request":"r2","message":"answer of the upstream is malformed"}`,
		`{"level":"warn","part":"head","limit":10,"peer":"http://127.0.0.1:1","upstream":"e1","request":"r3","left-out":999,"message":"answer of the upstream exceeds a bound"}`,
	}
	if got := strings.TrimSpace(out.String()); got != strings.Join(want, "\n") {
		t.Errorf("got lines\n%s\nwant\n%s", got, strings.Join(want, "\n"))
	}
	got := counts(t, r)
	if got["head"] != 1001 || got["event"] != 1 || got["body"] != 0 || got["malformed"] != 1 || len(got) != len(inlet.Parts())+1 {
		t.Errorf("got counts %v", got)
	}
	var none *excess.Reporter
	none.Report("r1", head)
}
