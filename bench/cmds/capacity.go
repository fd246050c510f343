package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"tarragonvalve.example/bench/scale"
	"tarragonvalve.example/bench/scene"
)

// capacityArgs are the options of the subcommand capacity.
type capacityArgs struct {
	Measure string        `arg:"--measure" default:"idle,force,force-one,ask,load,open" help:"what to measure, separated by commas"`
	Sizes   string        `arg:"--sizes" default:"3x12,10x40,20x120x16,20x120x64,40x120x64,40x120x0" help:"ENTRIESxAGENTS or ENTRIESxAGENTSxSUBSET, separated by commas; subset 0 links to all agents"`
	Window  time.Duration `arg:"--window" default:"10s" help:"time over which counters are compared"`
	Settle  time.Duration `arg:"--settle" default:"5s" help:"pause after the start of a deployment"`
	Rounds  int           `arg:"--rounds" default:"3" help:"windows or promotions per size"`
	Rates   []float64     `arg:"--rates" help:"requests per second of the load [default: 20 60 120]"`
	Tokens  []int         `arg:"--tokens" help:"mean tokens per answer of the load [default: 20 200]"`
	Streams []int         `arg:"--streams" help:"open streams [default: 50 100 200]"`
	Load    string        `arg:"--load-size" default:"3x12" help:"size for the load"`
	Open    string        `arg:"--open-size" default:"1x2" help:"size for open streams"`
}

// capacity runs the chosen measurements. The last two sizes that it parses are those for
// the load and for open streams.
func capacity(ctx context.Context, a args, out io.Writer) error {
	c := a.Capacity
	if len(c.Rates) == 0 {
		c.Rates = []float64{20, 60, 120}
	}
	if len(c.Tokens) == 0 {
		c.Tokens = []int{20, 200}
	}
	if len(c.Streams) == 0 {
		c.Streams = []int{50, 100, 200}
	}
	var sizes []scale.Size
	for t := range strings.SplitSeq(c.Sizes+","+c.Load+","+c.Open, ",") {
		s, err := scale.ParseSize(t)
		if err != nil {
			return err
		}
		sizes = append(sizes, s)
	}
	n := len(sizes) - 2
	b, err := os.ReadFile(filepath.Join(a.Root, "examples", "ilmek.ini"))
	if err != nil {
		return err
	}
	o := scale.Options{Bin: a.Bin, Document: scene.Plain(string(b)), Window: c.Window, Settle: c.Settle, Rounds: c.Rounds, Out: out}
	for m := range strings.SplitSeq(c.Measure, ",") {
		switch m {
		case "idle":
			err = scale.Idle(ctx, o, sizes[:n])
		case "force":
			err = scale.Propagation(ctx, o, sizes[:n], false)
		case "force-one":
			err = scale.Propagation(ctx, o, sizes[:n], true)
		case "ask":
			err = scale.AdminRequests(ctx, o, sizes[:n])
		case "load":
			err = scale.Load(ctx, o, sizes[n], c.Rates, c.Tokens)
		case "open":
			err = scale.OpenStreams(ctx, o, sizes[n+1], c.Streams)
		default:
			err = fmt.Errorf("choose measurement %q: want idle, force, force-one, ask, load or open", m)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
