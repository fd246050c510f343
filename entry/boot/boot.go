// Package boot holds the entry program's commands and wires its parts.
package boot

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/entry/setup"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type arguments struct {
	Config string   `arg:"-c,--config,required" help:"settings file (INI)"`
	Check  bool     `arg:"--check" help:"check the settings and exit"`
	Set    []string `arg:"--set,separate" placeholder:"SECTION.KEY=VALUE" help:"override a setting; may be repeated"`
}

func (arguments) Description() string {
	return "The entry serves callers and operators and routes requests to the agents beside the upstreams."
}

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "entry"}, &a)
	if err != nil {
		fmt.Fprintln(errs, err)
		return exitUsage
	}
	if err := p.Parse(args); err != nil {
		return usage(p, err, errs)
	}
	flags, err := overrides(a.Set)
	if err != nil {
		return usage(p, err, errs)
	}
	s, err := setup.Read(a.Config, os.Environ(), flags)
	if err != nil {
		fmt.Fprintln(errs, "entry:", err)
		return exitUsage
	}
	if a.Check {
		fmt.Fprintln(out, "settings are valid")
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := Run(ctx, s, out, errs); err != nil {
		fmt.Fprintln(errs, "entry:", err)
		return exitFailed
	}
	return exitOK
}

func usage(p *arg.Parser, err error, errs io.Writer) int {
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(errs)
		return exitOK
	}
	p.WriteUsage(errs)
	fmt.Fprintln(errs, "entry:", err)
	return exitUsage
}

// OverrideError reports a --set that is not SECTION.KEY=VALUE.
type OverrideError struct {
	Text string
}

func (e *OverrideError) Error() string {
	return fmt.Sprintf("read --set %q: want SECTION.KEY=VALUE", e.Text)
}

func overrides(sets []string) (map[string]string, error) {
	out := make(map[string]string, len(sets))
	for _, s := range sets {
		k, v, ok := strings.Cut(s, "=")
		if !ok || !strings.Contains(k, ".") {
			return nil, &OverrideError{Text: s}
		}
		out[k] = v
	}
	return out, nil
}

// Run runs an entry until the context ends and its drain is over. It writes one
// JSON line with the addresses that it listens on to out.
func Run(ctx context.Context, s *setup.Settings, out, logs io.Writer) error {
	s.Entry.Instance = instance(s.Entry)
	steps, err := build(s, out, logs)
	if err != nil {
		return err
	}
	return serve.Run(ctx, steps)
}

// instance returns the id of this process. It has a random part, since a restart
// is a new instance: the rows of its receipts must not meet those of the one before.
func instance(e setup.Entry) ident.InstanceID {
	name := string(e.Instance)
	if name == "" {
		name = "entry-" + string(e.Domain)
	}
	return ident.InstanceID(name + "-" + strings.ToLower(rand.Text()[:8]))
}
