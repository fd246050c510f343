package verbs

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/refuse"
	"tarragonvalve.example/tarragonvalve/client"
	"tarragonvalve.example/tarragonvalve/text"
	"tarragonvalve.example/tarragonvalve/trace"
)

// usageError reports an invalid command line or input file.
type usageError struct {
	message string
}

func (e *usageError) Error() string { return e.message }

// exitError sets the exit code of a command whose result was already printed.
type exitError struct {
	code int
}

func (e *exitError) Error() string { return fmt.Sprintf("exit code %d", e.code) }

// command is a run of the program. Its streams and clock are replaced in tests.
type command struct {
	arguments
	api *client.Client
	out io.Writer
	err io.Writer
	in  io.Reader
	now func() time.Time
}

// Main runs a command line without the program's name and returns the exit code.
func Main(ctx context.Context, argv []string, out, errs io.Writer) int {
	c := &command{out: out, err: errs, in: os.Stdin, now: time.Now}
	return c.main(ctx, argv)
}

func (c *command) main(ctx context.Context, argv []string) int {
	p, err := arg.NewParser(arg.Config{Program: "tarragonvalve", Out: c.err}, &c.arguments)
	if err != nil {
		return c.exit(err)
	}
	err = p.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(c.out, p.SubcommandNames()...)
		return exitOK
	case err != nil:
		_ = p.WriteUsageForSubcommand(c.err, p.SubcommandNames()...)
		return c.exit(&usageError{message: err.Error()})
	case p.Subcommand() == nil:
		p.WriteHelp(c.err)
		return exitUsage
	}
	if c.Trace != nil {
		return c.exit(c.trace())
	}
	if c.Check != nil {
		return c.exit(c.check(ctx))
	}
	if err := c.configureClient(); err != nil {
		return c.exit(err)
	}
	return c.exit(c.run(ctx))
}

// trace prints the log lines that concern a request. It reads the logs from standard
// input and needs no entry.
func (c *command) trace() error {
	ls, err := trace.Read(c.in)
	if err != nil {
		return &usageError{message: err.Error()}
	}
	s := trace.ForRequest(ls, c.Trace.Request)
	if s == nil {
		fmt.Fprintf(c.err, "no log line names request %s\n", c.Trace.Request)
		return &exitError{code: exitRefused}
	}
	return trace.Write(c.out, s)
}

// maxTimeout is the longest deadline that the API accepts.
const maxTimeout = time.Minute

// checkTimeout checks the option --timeout.
func (c *command) checkTimeout() error {
	if c.Timeout < time.Second || c.Timeout > maxTimeout {
		return &usageError{message: fmt.Sprintf("--timeout must be from 1s to %s", maxTimeout)}
	}
	return nil
}

// configureClient checks the common options and creates the client of the API.
func (c *command) configureClient() error {
	if err := c.checkTimeout(); err != nil {
		return err
	}
	if c.KeyFile != "" {
		b, err := os.ReadFile(c.KeyFile)
		if err != nil {
			return &usageError{message: fmt.Sprintf("read the operator key: %v", err)}
		}
		c.Key = strings.TrimSpace(string(b))
	}
	var addresses []string
	for a := range strings.SplitSeq(c.API, ",") {
		if a = strings.TrimRight(strings.TrimSpace(a), "/"); a != "" {
			addresses = append(addresses, a)
		}
	}
	n, err := client.New(client.Options{Addresses: addresses, Key: c.Key, Timeout: c.Timeout, CAFile: c.CA, Unencrypted: c.Unencrypted})
	if err != nil {
		return &usageError{message: err.Error()}
	}
	c.api = n
	return nil
}

// run runs the chosen subcommand.
func (c *command) run(ctx context.Context) error {
	switch {
	case c.Document != nil:
		return c.document(ctx)
	case c.Validate != nil:
		return c.validate(ctx)
	case c.Diff != nil:
		return c.diff(ctx)
	case c.Trial != nil:
		return c.trial(ctx)
	case c.Promote != nil:
		return c.promote(ctx)
	case c.Wait != nil:
		return c.wait(ctx)
	case c.History != nil:
		return c.history(ctx)
	case c.Rollback != nil:
		return c.rollback(ctx)
	case c.Withdraw != nil:
		return c.withdraw(ctx)
	case c.Halt != nil:
		return c.halt(ctx)
	case c.Status != nil:
		return c.status(ctx)
	case c.Events != nil:
		return c.events(ctx)
	case c.Explain != nil:
		return c.explain(ctx)
	default:
		return c.bill(ctx)
	}
}

// exit prints an error, unless its result was already printed, and returns its exit code.
func (c *command) exit(err error) int {
	var quiet *exitError
	var refused *client.RefusedError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &quiet):
		return quiet.code
	case errors.As(err, &refused):
		if c.JSON {
			_ = printJSON(c.err, refused.Refusal)
		} else {
			text.Refusal(c.err, refused.Refusal)
		}
		return refusalExitCode(refused)
	}
	fmt.Fprintf(c.err, "tarragonvalve: %v\n", err)
	var usage *usageError
	var unknown *client.UnknownOutcomeError
	var unreachable *client.UnreachableError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &unknown):
		return exitUnknown
	case errors.As(err, &unreachable):
		return exitUnreachable
	default:
		return exitUsage
	}
}

// refusalExitCode returns the exit code of a refusal.
func refusalExitCode(e *client.RefusedError) int {
	if e.OutcomeUnknown() {
		return exitUnknown
	}
	switch e.Refusal.Code {
	case refuse.BadRequest, refuse.DocumentInvalid, refuse.BodyTooLarge:
		return exitUsage
	default:
		return exitRefused
	}
}

// printReply prints a reply as JSON with --json, and otherwise with f.
func printReply[T any](c *command, v T, f func(io.Writer, T)) error {
	if c.JSON {
		return printJSON(c.out, v)
	}
	var b bytes.Buffer
	f(&b, v)
	_, err := c.out.Write(b.Bytes())
	return err
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	e.SetEscapeHTML(false)
	return e.Encode(v)
}

// maxDocumentBytes limits what is read from a file. It is far above the maximum size of a
// document, which the entry checks.
const maxDocumentBytes = 4 << 20

// readDocument returns the text of a document from a file, or from standard input for "-".
func (c *command) readDocument(file string) (string, error) {
	r := c.in
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return "", &usageError{message: fmt.Sprintf("read the document: %v", err)}
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	b, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1)) //nolint:forbidigo // bounded
	if err != nil {
		return "", &usageError{message: fmt.Sprintf("read the document: %v", err)}
	}
	if len(b) > maxDocumentBytes {
		return "", &usageError{message: fmt.Sprintf("read the document: more than %d bytes", maxDocumentBytes)}
	}
	return string(b), nil
}

// parseTime parses the value of a flag, a time or an age, and returns the time in RFC
// 3339, as the API expects it. An empty value stays empty.
func (c *command) parseTime(flag, s string) (string, error) {
	if s == "" {
		return "", nil
	}
	if d, err := time.ParseDuration(s); err == nil && d >= 0 {
		return c.now().Add(-d).UTC().Format(time.RFC3339), nil
	}
	t, err := time.Parse(time.RFC3339, s)
	if err != nil {
		return "", &usageError{message: fmt.Sprintf("%s must be a time such as 2026-01-31T12:00:00Z or an age such as 10m", flag)}
	}
	return t.UTC().Format(time.RFC3339), nil
}

// expectedLatest returns the value of --seen, or without it the latest generation that
// the API reports.
func (c *command) expectedLatest(ctx context.Context, seen *uint64) (ident.Generation, error) {
	if seen != nil {
		return ident.Generation(*seen), nil
	}
	s, err := getStatus(ctx, c)
	if err != nil {
		return 0, err
	}
	return cmp.Or(s.Latest, s.Generation), nil
}
