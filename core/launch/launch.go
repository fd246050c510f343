// Package launch is the command line that the system's processes share: a
// settings file, overrides, a check of the settings, and a run until a signal.
package launch

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
)

// Exit codes of a process.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// Program is one process with its settings S.
type Program[S any] struct {
	Name  string
	About string
	// Read reads a settings file, the environment and overrides named SECTION.KEY.
	Read func(path string, env []string, flags map[string]string) (S, error)
	// Run runs until the context ends and the drain is over. It writes one JSON
	// line with the addresses that the process listens on to out.
	Run func(ctx context.Context, s S, out, logs io.Writer) error
}

type arguments struct {
	Config string   `arg:"-c,--config,required" help:"settings file (INI)"`
	Check  bool     `arg:"--check" help:"check the settings and exit"`
	Set    []string `arg:"--set,separate" placeholder:"SECTION.KEY=VALUE" help:"override a setting; may be repeated"`

	About string `arg:"-"`
}

// Description implements the description of go-arg's help.
func (a arguments) Description() string {
	return a.About
}

// Main runs the program until SIGINT or SIGTERM and returns its exit code.
func (p Program[S]) Main(args []string, out, errs io.Writer) int {
	a := arguments{About: p.About}
	c, err := arg.NewParser(arg.Config{Program: p.Name}, &a)
	if err != nil {
		fmt.Fprintln(errs, err)
		return ExitUsage
	}
	if err := c.Parse(args); err != nil {
		return p.usage(c, err, errs)
	}
	flags, err := overrides(a.Set)
	if err != nil {
		return p.usage(c, err, errs)
	}
	s, err := p.Read(a.Config, os.Environ(), flags)
	if err != nil {
		fmt.Fprintf(errs, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	if a.Check {
		fmt.Fprintln(out, "settings are valid")
		return ExitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := p.Run(ctx, s, out, errs); err != nil {
		fmt.Fprintf(errs, "%s: %v\n", p.Name, err)
		return ExitFailed
	}
	return ExitOK
}

func (p Program[S]) usage(c *arg.Parser, err error, errs io.Writer) int {
	if errors.Is(err, arg.ErrHelp) {
		c.WriteHelp(errs)
		return ExitOK
	}
	c.WriteUsage(errs)
	fmt.Fprintf(errs, "%s: %v\n", p.Name, err)
	return ExitUsage
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

// NewInstanceID returns an id for a process with a readable part. The rest is random,
// since a restart is a new instance: the rows of its receipts must not meet those
// of the one before.
func NewInstanceID(name string) ident.InstanceID {
	return ident.InstanceID(name + "-" + strings.ToLower(rand.Text()[:8]))
}
