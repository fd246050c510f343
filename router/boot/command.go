package boot

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/alexflint/go-arg"

	"tarragonvalve.example/core/inlet"
	"tarragonvalve.example/core/launch"
)

const (
	// commandTimeout bounds a call to a running router.
	commandTimeout = 5 * time.Second
	// maxListBytes bounds the list of quarantines, in bytes. A quarantine takes some hundred.
	maxListBytes = 4 << 20
)

// commands are the verbs that ask a running router on this machine.
type commands struct {
	Quarantines *listCommand `arg:"subcommand:quarantines" help:"list the requests and parts of prompts that are held off, with their evidence"`
	Lift        *liftCommand `arg:"subcommand:lift" help:"end a quarantine at all routers"`
}

type listCommand struct {
	Admin string `arg:"--admin,required" placeholder:"IP:PORT" help:"the router's admin address"`
}

type liftCommand struct {
	Admin string `arg:"--admin,required" placeholder:"IP:PORT" help:"the router's admin address"`
	Key   string `arg:"positional,required" help:"key of the quarantine, as the list shows it"`
	Who   string `arg:"--who,required" help:"who lifts it, for the log"`
	Why   string `arg:"--why,required" help:"reason, for the log"`
}

// isCommand reports whether the arguments name a verb.
func isCommand(args []string) bool {
	return len(args) > 0 && (args[0] == "quarantines" || args[0] == "lift")
}

// runCommand runs a verb and returns the exit code.
func runCommand(args []string, out, errs io.Writer) int {
	var c commands
	p, err := arg.NewParser(arg.Config{Program: "router"}, &c)
	if err != nil {
		fmt.Fprintln(errs, err)
		return launch.ExitUsage
	}
	if err := p.Parse(args); err != nil {
		if errors.Is(err, arg.ErrHelp) {
			p.WriteHelp(out)
			return launch.ExitOK
		}
		fmt.Fprintln(errs, "router:", err)
		return launch.ExitUsage
	}
	ctx, stop := context.WithTimeout(context.Background(), commandTimeout)
	defer stop()
	switch {
	case c.Lift != nil:
		b, _ := json.Marshal(lift{Who: c.Lift.Who, Why: c.Lift.Why}) //nolint:errchkjson // two strings
		err = ask(ctx, http.MethodPost, c.Lift.Admin, "/quarantines/"+url.PathEscape(c.Lift.Key)+"/lift", b, out)
	default:
		err = ask(ctx, http.MethodGet, c.Quarantines.Admin, "/quarantines", nil, out)
	}
	if err != nil {
		fmt.Fprintln(errs, "router:", err)
		return launch.ExitFailed
	}
	return launch.ExitOK
}

// ask calls a router and copies its answer to out.
func ask(ctx context.Context, method, address, path string, body []byte, out io.Writer) error {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("ask the router at %s: %w", address, err)
	}
	c := &http.Client{Transport: inlet.NewTransport(new(net.Dialer).DialContext)} //nolint:forbidigo // the field, not the type
	defer c.CloseIdleConnections()
	a, err := c.Do(q)
	if err != nil {
		return fmt.Errorf("ask the router at %s: %w", address, err)
	}
	defer a.Body.Close()
	if a.StatusCode >= http.StatusMultipleChoices {
		b, err := inlet.ReadAll(a.Body, address, maxLiftBytes)
		return errors.Join(fmt.Errorf("the router at %s answered %d: %s", address, a.StatusCode, bytes.TrimSpace(b)), err)
	}
	_, err = io.Copy(out, inlet.LimitBody(a.Body, address, maxListBytes))
	return err
}
