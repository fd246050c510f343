// Package scale measures how the resource use and the delays of a deployment of real
// processes grow with its size and with the load.
package scale

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"tarragonvalve.example/bench/world"
)

// Size is the size of a deployment.
type Size struct {
	Entries int
	Agents  int
	// Subset is the number of agents that each entry links to; 0 means all.
	Subset int
}

// String returns the size in the form that ParseSize reads.
func (s Size) String() string {
	return fmt.Sprintf("%dx%dx%d", s.Entries, s.Agents, s.Subset)
}

// Links returns the number of links to agents per entry, and the mean number of entries
// that are linked to an agent.
func (s Size) Links() (perEntry, perAgent float64) {
	n := s.Agents
	if s.Subset > 0 {
		n = min(n, s.Subset)
	}
	return float64(n), float64(s.Entries*n) / float64(s.Agents)
}

// SizeError reports an invalid size, or one of too many processes.
type SizeError struct {
	Text string
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("read size %q: want ENTRIESxAGENTS or ENTRIESxAGENTSxSUBSET, at most %d processes", e.Text, maxProcesses)
}

// maxProcesses limits the processes of a deployment, which then needs at most half of the
// memory of a machine with 32 GB.
const maxProcesses = 250

// ParseSize parses ENTRIESxAGENTS or ENTRIESxAGENTSxSUBSET. It returns a *SizeError for any
// other text and for maxProcesses or more.
func ParseSize(t string) (Size, error) {
	var n [3]int
	ps := strings.Split(t, "x")
	if len(ps) < 2 || len(ps) > 3 {
		return Size{}, &SizeError{Text: t}
	}
	for i, p := range ps {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 || i < 2 && v == 0 {
			return Size{}, &SizeError{Text: t}
		}
		n[i] = v
	}
	if n[0]+n[1] >= maxProcesses {
		return Size{}, &SizeError{Text: t}
	}
	return Size{Entries: n[0], Agents: n[1], Subset: n[2]}, nil
}

// Options holds the options that all measurements share.
type Options struct {
	// Bin is the folder of the built programs.
	Bin string
	// Document is the text of the first document.
	Document string
	// Window is the time over which processor time and counters are measured.
	Window time.Duration
	// Settle is the pause between the start of a deployment and its first window.
	Settle time.Duration
	// Rounds is the number of repetitions per size.
	Rounds int
	Out    io.Writer
}

// Engines holds the settings of the stand-in engines.
type Engines struct {
	Slots     int
	TokenTime time.Duration
	// Tokens is the mean length of an answer in tokens.
	Tokens int
}

// idleEngines are the engines of measurements without requests.
var idleEngines = Engines{Slots: 16, TokenTime: 5 * time.Millisecond, Tokens: 40}

// versions lists all versions of the example document. Each engine has loaded all of them.
const versions = "ipek@2.1, ipek@2.2, pamuk@1.4, pamuk@1.5, keten@3.0, keten@2.9"

// failureDomains is the number of failure domains at the two-year size.
const failureDomains = 5

// standin returns the settings of the stand-ins.
func standin(agents int, e Engines) string {
	var b strings.Builder
	b.WriteString("[table]\nwrites-per-second = 4000\nreads-per-second = 20000\n\n[instances]\nlag = 100ms\n\n")
	for v := range strings.SplitSeq(versions, ", ") {
		fmt.Fprintf(&b, "[version %s]\nquality = 0.9\nmean-tokens = %d\n\n", v, e.Tokens)
	}
	for i := range agents {
		fmt.Fprintf(&b, "[engine engine-%d]\ndomain = domain-%d\nkind = fenced-engine\nchecks-fencing = yes\nversions = %s\nslots = %d\ntoken-time = %s\nbatch-slope = 0.001\n\n",
			i+1, i%failureDomains+1, versions, e.Slots, e.TokenTime)
	}
	return b.String()
}

// deploy starts a deployment, waits for o.Settle and returns a function that stops it.
func deploy(ctx context.Context, o Options, s Size, e Engines, othersPoll time.Duration) (*world.Deployment, func(), error) {
	dir, err := os.MkdirTemp("", "capacity")
	if err != nil {
		return nil, nil, err
	}
	w, err := world.Start(ctx, world.Options{
		Bin: o.Bin, Dir: dir, Standin: standin(s.Agents, e), Document: o.Document,
		Entry:   fmt.Sprintf("[links]\nsubset-size = %d\n", s.Subset),
		Entries: s.Entries, ProductIntervals: true, OtherPollInterval: othersPoll,
	})
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, nil, err
	}
	stop := func() {
		w.Stop()
		_ = os.RemoveAll(dir)
	}
	if err := pause(ctx, o.Settle); err != nil {
		stop()
		return nil, nil, err
	}
	return w, stop, nil
}

// pause waits for d or until ctx ends, whose error it returns.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
