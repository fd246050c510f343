package boot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/ctrl"
	"tarragonvalve.example/standin/load"
	"tarragonvalve.example/standin/setup"
)

type runCommand struct {
	Config string `arg:"-c,--config,required" help:"settings file (INI)"`
}

type loadCommand struct {
	Config   string        `arg:"-c,--config,required" help:"settings file of the running stand-ins"`
	Control  string        `arg:"--control,required" help:"address of the running stand-ins' control API"`
	Entries  string        `arg:"--entries,required" help:"addresses of the entries' callers' API, separated by commas"`
	Document string        `arg:"--document,required" help:"environment document in force"`
	Rate     float64       `arg:"--rate" default:"20" help:"requests per second"`
	Duration time.Duration `arg:"--duration" default:"10s" help:"how long to send"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of texts and choices"`
}

type arguments struct {
	Run  *runCommand  `arg:"subcommand:run" help:"run the stand-ins and print their addresses as JSON"`
	Load *loadCommand `arg:"subcommand:load" help:"send a mixed load to running entries and print a summary"`
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "standin"}, &a)
	if err != nil {
		fmt.Fprintln(errs, "standin:", err)
		return 2
	}
	if err := p.Parse(args); err != nil {
		return usage(p, err, errs)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	switch {
	case a.Run != nil:
		err = run(ctx, a.Run, out)
	case a.Load != nil:
		err = send(ctx, a.Load, out)
	default:
		return usage(p, errors.New("a command is missing"), errs)
	}
	if err != nil {
		fmt.Fprintln(errs, "standin:", err)
		return 1
	}
	return 0
}

func usage(p *arg.Parser, err error, errs io.Writer) int {
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(errs)
		return 0
	}
	p.WriteUsage(errs)
	fmt.Fprintln(errs, "standin:", err)
	return 2
}

func run(ctx context.Context, a *runCommand, out io.Writer) error {
	s, err := setup.Read(a.Config, os.Environ())
	if err != nil {
		return err
	}
	r, err := Start(ctx, s)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(r.Addresses); err != nil {
		return err
	}
	<-ctx.Done()
	r.Stop()
	return nil
}

// RepeatedError reports calls that may run only once and ran more often.
type RepeatedError struct {
	// Keys are in the form of plain.KeyID.
	Keys []string
}

func (e *RepeatedError) Error() string {
	return fmt.Sprintf("check runs per key: %d keys ran more than once: %s", len(e.Keys), strings.Join(e.Keys, ", "))
}

// WrongTextError reports answers whose text is not that of the version they name.
type WrongTextError struct {
	Count int
}

func (e *WrongTextError) Error() string {
	return fmt.Sprintf("check answers: %d have a wrong text", e.Count)
}

func send(ctx context.Context, a *loadCommand, out io.Writer) error {
	s, err := setup.Read(a.Config, os.Environ())
	if err != nil {
		return err
	}
	b, err := os.ReadFile(a.Document)
	if err != nil {
		return err
	}
	d, err := envdoc.Parse(b)
	if err != nil {
		return err
	}
	sum, err := load.Run(ctx, load.Options{
		Entries:  strings.Split(a.Entries, ","),
		Document: d,
		Versions: s.Versions,
		Rate:     a.Rate,
		Duration: a.Duration,
		Seed:     a.Seed,
	})
	if err != nil {
		return err
	}
	if err := sum.Write(out); err != nil {
		return err
	}
	return judge(ctx, a.Control, sum, out)
}

// judge compares the answers with what the stand-ins counted.
func judge(ctx context.Context, control string, sum *load.Summary, out io.Writer) error {
	var c ctrl.Counters
	if err := fetch(ctx, control+"/counters", &c); err != nil {
		return err
	}
	starts := 0
	var ids []ident.UpstreamID
	for id, e := range c.Engines {
		starts += e.Started
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		e := c.Engines[id]
		fmt.Fprintf(out, "%6d  started on %s, %d tokens, %d cached\n", e.Started, id, e.Tokens, e.Cached)
	}
	var repeated []string
	for k, n := range c.Runs {
		if n > 1 {
			repeated = append(repeated, k)
		}
	}
	fmt.Fprintf(out, "%6d  starts on all engines\n%6d  keys that ran, %d of them more than once\nlast-request %s\n", starts, len(c.Runs), len(repeated), sum.Last())
	if len(repeated) > 0 {
		slices.Sort(repeated)
		return &RepeatedError{Keys: repeated}
	}
	if n := sum.Wrong(); n > 0 {
		return &WrongTextError{Count: n}
	}
	return nil
}

func fetch(ctx context.Context, url string, v any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+url, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(v)
}
