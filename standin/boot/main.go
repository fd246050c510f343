package boot

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

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

type upstreamsCommand struct {
	Control string `arg:"--control,required" help:"address of the running stand-ins' control API"`
}

type registerCommand struct {
	Control  string `arg:"--control,required" help:"address of the running stand-ins' control API"`
	Instance string `arg:"--instance,required" help:"id of the instance"`
	Address  string `arg:"--address,required" help:"IP:PORT of the instance"`
	Role     string `arg:"--role,required" help:"entry or agent"`
	Upstream string `arg:"--upstream" help:"upstream of an agent"`
	Domain   string `arg:"--domain" help:"failure domain"`
	Kind     string `arg:"--kind" help:"kind of the upstream"`
	State    string `arg:"--state" default:"live" help:"live or leaving"`
}

type arguments struct {
	Run  *runCommand  `arg:"subcommand:run" help:"run the stand-ins and print their addresses as JSON"`
	Load *loadCommand `arg:"subcommand:load" help:"send a mixed load to running entries and print a summary"`

	Upstreams *upstreamsCommand `arg:"subcommand:upstreams" help:"list engines and plain services: id, address, domain, slots, kind or -, service or -"`
	Register  *registerCommand  `arg:"subcommand:register" help:"put an instance on the instance list"`
}

// Main runs the program and returns its exit code: 0 for success, 1 for a failed command and
// 2 for wrong arguments.
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
		err = runLoad(ctx, a.Load, out)
	case a.Upstreams != nil:
		err = upstreams(ctx, a.Upstreams, out)
	case a.Register != nil:
		err = register(ctx, a.Register)
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
