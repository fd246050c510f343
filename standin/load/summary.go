package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/client"
)

// Summary aggregates the responses to a load. It is safe for concurrent use.
type Summary struct {
	mu       sync.Mutex
	kinds    map[Kind]*kindCounts
	refusals map[string]int
	versions map[string]int
	skipped  int
	// wrong counts complete answers whose text differs from that of the version they name.
	wrong int
	last  ident.RequestID
}

type kindCounts struct {
	sent, ok, refused, broken, failed int
	first, total                      []time.Duration
}

func newSummary() *Summary {
	return &Summary{kinds: map[Kind]*kindCounts{}, refusals: map[string]int{}, versions: map[string]int{}}
}

func (s *Summary) skip() {
	s.mu.Lock()
	s.skipped++
	s.mu.Unlock()
}

func (s *Summary) add(k Kind, p *client.Reply, wrong bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.kinds[k]
	if !ok {
		t = &kindCounts{}
		s.kinds[k] = t
	}
	t.sent++
	if wrong {
		s.wrong++
	}
	switch {
	case p.OK():
		t.ok++
		t.first = append(t.first, p.TimeToFirstText)
		t.total = append(t.total, p.Total)
		if p.Version.Model != "" {
			s.versions[p.Version.String()]++
			s.last = p.Request
		}
	case p.Code != "" && p.Status/100 == 2:
		t.broken++
		s.refusals[fmt.Sprintf("%s (%s)", p.Code, p.Ran)]++
	case p.Code != "":
		t.refused++
		s.refusals[fmt.Sprintf("%s (%s)", p.Code, p.Ran)]++
	default:
		t.failed++
		s.refusals[fmt.Sprintf("no answer (status %d)", p.Status)]++
	}
}

// LastRequest returns the id of the last model request that got a complete answer.
func (s *Summary) LastRequest() ident.RequestID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last
}

// WrongTexts returns how many complete answers have another text than that of the version
// they name.
func (s *Summary) WrongTexts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.wrong
}

// OK returns the number of complete responses to requests of a kind.
func (s *Summary) OK(k Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.kinds[k]; ok {
		return t.ok
	}
	return 0
}

// Write writes the summary as text.
func (s *Summary) Write(w io.Writer) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "kind\tsent\twhole\trefused\tbroken\tno answer\tfirst p50\tfirst p95\ttotal p50\ttotal p95\t")
	for _, k := range slices.Sorted(maps.Keys(s.kinds)) {
		v := s.kinds[k]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t\n", k, v.sent, v.ok, v.refused, v.broken, v.failed,
			roundedQuantile(v.first, 0.5), roundedQuantile(v.first, 0.95), roundedQuantile(v.total, 0.5), roundedQuantile(v.total, 0.95))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range slices.Sorted(maps.Keys(s.refusals)) {
		fmt.Fprintf(w, "%6d  %s\n", s.refusals[r], r)
	}
	for _, v := range slices.Sorted(maps.Keys(s.versions)) {
		fmt.Fprintf(w, "%6d  answered by %s\n", s.versions[v], v)
	}
	_, err := fmt.Fprintf(w, "%6d  answers with a wrong text\n%6d  not sent, too many in flight\n", s.wrong, s.skipped)
	return err
}

// roundedQuantile returns the q-quantile of d, rounded to milliseconds; 0 if d is empty.
func roundedQuantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	c := slices.Sorted(slices.Values(d))
	return c[min(len(c)-1, int(q*float64(len(c))))].Round(time.Millisecond)
}
