// Package cmds implements the command line of the experiment tool.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"tarragonvalve.example/bench/drive"
	"tarragonvalve.example/bench/report"
	"tarragonvalve.example/bench/scene"
	"tarragonvalve.example/bench/world"
	"tarragonvalve.example/standin/setup"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// args is the command line. Without a subcommand, the tool runs the experiments.
type args struct {
	Capacity *capacityArgs `arg:"subcommand:capacity" help:"measure how costs grow with the size of a deployment"`

	Scenes string   `arg:"--scenes" default:"all" help:"experiments to run, separated by commas"`
	Seeds  []uint64 `arg:"--seeds" help:"seeds of the load; each runs every policy once [default: 1]"`
	Root   string   `arg:"--root" default:"." help:"folder of the repository"`
	Bin    string   `arg:"--bin" default:"bin" help:"folder of the built programs"`
	Out    string   `arg:"--out" help:"folder for the table, the plot and the raw figures"`
	List   bool     `arg:"--list" help:"list the experiments"`
}

func (args) Description() string {
	return "Compares the routing policy with baselines on real processes and stand-ins.\n" +
		"All policies of an experiment run interleaved, on the same load for each seed."
}

// Main runs a command line without the program's name and returns the exit code.
func Main(argv []string, out, errs io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "bench"}, &a)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	switch err := p.Parse(argv); {
	case err == nil:
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(out)
		return exitOK
	default:
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if a.Capacity != nil {
		return exit(capacity(ctx, a, out), errs)
	}
	return runExperiments(ctx, a, out, errs)
}

// runExperiments runs or lists the chosen experiments and returns the exit code.
func runExperiments(ctx context.Context, a args, out, errs io.Writer) int {
	if len(a.Seeds) == 0 {
		a.Seeds = []uint64{1}
	}
	ss, err := selectExperiments(a.Scenes)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	if a.List {
		for _, s := range ss {
			fmt.Fprintf(out, "%-24s %s\n", s.Name, s.About)
		}
		return exitOK
	}
	return exit(run(ctx, a, ss, out), errs)
}

func exit(err error, errs io.Writer) int {
	if err != nil {
		fmt.Fprintln(errs, "bench:", err)
		return exitFailed
	}
	return exitOK
}

// selectExperiments returns the experiments of a comma-separated list of names, or all.
func selectExperiments(names string) ([]*scene.Experiment, error) {
	if names == "all" {
		return scene.All, nil
	}
	var out []*scene.Experiment
	for n := range strings.SplitSeq(names, ",") {
		s, ok := scene.ByName(n)
		if !ok {
			return nil, fmt.Errorf("choose experiment %q: no such name; --list shows them", n)
		}
		out = append(out, s)
	}
	return out, nil
}

// run runs all variants of each experiment for each seed in turn. It prints the figures of
// each run and a table, and writes the table and the plot to the folder of
// --out if it is set.
func run(ctx context.Context, a args, ss []*scene.Experiment, out io.Writer) error {
	var rows []report.Row
	for _, s := range ss {
		for _, seed := range a.Seeds {
			for _, v := range s.Variants {
				f, err := runVariant(ctx, a, s, v, seed)
				if err != nil {
					return fmt.Errorf("run %s with %s, seed %d: %w", s.Name, v.Name(), seed, err)
				}
				fmt.Fprintf(out, "raw %s seed %d %s %s\n", s.Name, seed, v.Name(), f.JSON())
				rows = append(rows, report.Row{Scene: s.Name, Variant: v.Name(), Seed: seed, Figures: f})
			}
		}
	}
	t := report.Table(rows)
	fmt.Fprint(out, t)
	if a.Out == "" {
		return nil
	}
	if err := os.WriteFile(filepath.Join(a.Out, "table.txt"), []byte(t), 0o644); err != nil {
		return err
	}
	return report.Plot(rows, filepath.Join(a.Out, "cost-latency.png"))
}

// runVariant runs one variant of an experiment on a fresh deployment.
func runVariant(ctx context.Context, a args, s *scene.Experiment, v scene.Variant, seed uint64) (scene.Figures, error) {
	var f scene.Figures
	dir, err := os.MkdirTemp("", "bench")
	if err != nil {
		return f, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	o, vs, err := options(a, s, v, dir)
	if err != nil {
		return f, err
	}
	w, err := world.Start(ctx, o)
	if err != nil {
		return f, err
	}
	defer w.Stop()
	var actions []drive.Action
	if s.Actions != nil {
		actions = s.Actions(w)
	}
	begin := time.Now()
	rs := drive.Run(ctx, s.Options(v, w, seed), actions)
	// Receipts are stored in batches every 2 s; wait for the last batch.
	time.Sleep(3 * time.Second)
	return scene.Measure(ctx, s, w, rs, begin, vs)
}

// options returns the deployment of an experiment, with its settings in dir, and the
// stand-ins' settings of all versions.
func options(a args, s *scene.Experiment, v scene.Variant, dir string) (world.Options, scene.Versions, error) {
	var o world.Options
	p, ok := scene.PolicyByName(v.Policy)
	if !ok {
		return o, nil, fmt.Errorf("no policy %q", v.Policy)
	}
	standin, err := os.ReadFile(filepath.Join(a.Root, "scripts", "deploy", s.Deployment+".ini"))
	if err != nil {
		return o, nil, err
	}
	document, err := os.ReadFile(filepath.Join(a.Root, "examples", s.Deployment+".ini"))
	if err != nil {
		return o, nil, err
	}
	o = world.Options{Bin: a.Bin, Dir: dir, Standin: s.StandinText(string(standin)), Document: string(document), Entry: p.Entry}
	if s.EditDocument != nil {
		o.Document = s.EditDocument(o.Document)
	}
	f := filepath.Join(dir, "settings.ini")
	if err := os.WriteFile(f, []byte(o.Standin), 0o600); err != nil {
		return o, nil, err
	}
	x, err := setup.Read(f, nil)
	if err != nil {
		return o, nil, err
	}
	return o, x.Versions, nil
}
