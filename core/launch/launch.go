// Package launch implements the command line that the system's processes share: it
// reads the settings file and its overrides, checks the settings, and runs the
// process until a signal.
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
	ExitOK = 0
	// ExitFailed means that the process stopped with an error.
	ExitFailed = 1
	// ExitUsage means an invalid command line or invalid settings.
	ExitUsage = 2
)

// Program is a program with settings of type S.
type Program[S any] struct {
	// Name is shown in the usage text and before errors.
	Name        string
	Description string
	// Read reads and validates the settings from a file, the environment, in the form
	// of os.Environ, and overrides by SECTION.KEY.
	Read func(path string, env []string, flags map[string]string) (S, error)
	// Run runs until the context ends and the process has drained. It writes one JSON
	// line with the addresses that the process listens on to out.
	Run func(ctx context.Context, s S, out, logs io.Writer) error
}

type arguments struct {
	Config string   `arg:"-c,--config,required" help:"settings file (INI)"`
	Check  bool     `arg:"--check" help:"check the settings and exit"`
	Set    []string `arg:"--set,separate" placeholder:"SECTION.KEY=VALUE" help:"override a setting; may be repeated"`

	About string `arg:"-"`
}

// Description implements arg.Described; the help starts with it.
func (a arguments) Description() string {
	return a.About
}

// Main parses the command line without the program's name, runs the program until
// SIGINT or SIGTERM and returns its exit code. A closed output doesn't end it. With --check it only validates the settings.
func (p Program[S]) Main(args []string, out, errs io.Writer) int {
	a := arguments{About: p.Description}
	c, err := arg.NewParser(arg.Config{Program: p.Name}, &a)
	if err != nil {
		fmt.Fprintln(errs, err)
		return ExitUsage
	}
	if err := c.Parse(args); err != nil {
		return p.usage(c, err, errs)
	}
	flags, err := parseOverrides(a.Set)
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
	// Unless it is ignored, the runtime ends the process by this signal when the reader of its log has gone.
	signal.Ignore(syscall.SIGPIPE)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := p.Run(ctx, s, out, errs); err != nil {
		fmt.Fprintf(errs, "%s: %v\n", p.Name, err)
		return ExitFailed
	}
	return ExitOK
}

// usage writes the help if it was asked for, and otherwise the usage text and the error.
func (p Program[S]) usage(c *arg.Parser, err error, errs io.Writer) int {
	if errors.Is(err, arg.ErrHelp) {
		c.WriteHelp(errs)
		return ExitOK
	}
	c.WriteUsage(errs)
	fmt.Fprintf(errs, "%s: %v\n", p.Name, err)
	return ExitUsage
}

// OverrideError reports a value of --set that is not SECTION.KEY=VALUE.
type OverrideError struct {
	Text string
}

func (e *OverrideError) Error() string {
	return fmt.Sprintf("read --set %q: want SECTION.KEY=VALUE", e.Text)
}

// parseOverrides returns the values of --set by SECTION.KEY. If a key is repeated, the
// last value wins.
func parseOverrides(sets []string) (map[string]string, error) {
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

// NewInstanceID returns an id for a process: a readable name and a random suffix. A
// restarted process is a new instance, whose receipts must not share table rows with
// those of its predecessor.
func NewInstanceID(name string) ident.InstanceID {
	return ident.InstanceID(name + "-" + strings.ToLower(rand.Text()[:8]))
}
