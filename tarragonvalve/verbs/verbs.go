package verbs

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/tarragonvalve/client"
	"tarragonvalve.example/tarragonvalve/lanes"
	"tarragonvalve.example/tarragonvalve/text"
)

// pageMode makes the page readable by the operator only, since events name accounts and
// requests.
const pageMode = 0o600

func getStatus(ctx context.Context, c *command) (opsapi.StatusReply, error) {
	return client.Get[opsapi.StatusReply](ctx, c.api, "/status", nil)
}

func (c *command) document(ctx context.Context) error {
	q := url.Values{}
	if c.Document.Generation > 0 {
		q.Set("generation", strconv.FormatUint(c.Document.Generation, 10))
	}
	r, err := client.Get[opsapi.DocumentReply](ctx, c.api, "/document", q)
	if err != nil {
		return err
	}
	return printReply(c, r, func(w io.Writer, r opsapi.DocumentReply) { fmt.Fprint(w, r.Body) })
}

func (c *command) validate(ctx context.Context) error {
	b, err := c.readDocument(c.Validate.File)
	if err != nil {
		return err
	}
	r, err := client.Post[opsapi.ValidateReply](ctx, c.api, "/document/validate", opsapi.DocumentRequest{Body: b})
	if err != nil {
		return err
	}
	if err := printReply(c, r, text.Validate); err != nil {
		return err
	}
	if !r.Valid {
		return &exitError{code: exitUsage}
	}
	return nil
}

func (c *command) diff(ctx context.Context) error {
	b, err := c.readDocument(c.Diff.File)
	if err != nil {
		return err
	}
	r, err := client.Post[opsapi.DiffReply](ctx, c.api, "/document/diff", opsapi.DocumentRequest{Body: b})
	if err != nil {
		return err
	}
	return printReply(c, r, text.Diff)
}

func (c *command) trial(ctx context.Context) error {
	b, err := c.readDocument(c.Trial.File)
	if err != nil {
		return err
	}
	r, err := client.Post[opsapi.TrialReply](ctx, c.api, "/document/trial", opsapi.DocumentRequest{Body: b})
	if err != nil {
		return err
	}
	return printReply(c, r, text.Trial)
}

func (c *command) promote(ctx context.Context) error {
	b, err := c.readDocument(c.Promote.File)
	if err != nil {
		return err
	}
	return c.change(ctx, "/document/promote", opsapi.PromoteRequest{
		Body:           b,
		Digest:         envdoc.Digest(c.Promote.Digest),
		ExpectedLatest: ident.Generation(c.Promote.ExpectedLatest),
		Reason:         c.Promote.Reason,
		Token:          client.NewToken(),
	})
}

func (c *command) rollback(ctx context.Context) error {
	g, err := c.expectedLatest(ctx, c.Rollback.ExpectedLatest)
	if err != nil {
		return err
	}
	return c.change(ctx, "/rollback", opsapi.RollbackRequest{
		Generation:     ident.Generation(c.Rollback.Generation),
		ExpectedLatest: g,
		Reason:         c.Rollback.Reason,
		Token:          client.NewToken(),
	})
}

func (c *command) withdraw(ctx context.Context) error {
	g, err := c.expectedLatest(ctx, c.Withdraw.ExpectedLatest)
	if err != nil {
		return err
	}
	return c.change(ctx, "/withdraw", opsapi.WithdrawRequest{
		Version:        c.Withdraw.Version,
		ExpectedLatest: g,
		Reason:         c.Withdraw.Reason,
		Token:          client.NewToken(),
	})
}

// change sends a request that creates a generation and prints the reply.
func (c *command) change(ctx context.Context, path string, body any) error {
	r, err := client.Change[opsapi.AcceptedReply](ctx, c.api, path, body)
	if err != nil {
		return err
	}
	return printReply(c, r, text.Accepted)
}

// halt sends a halt. It needs no token to be retried, since repeated halts of a version
// merge into one.
func (c *command) halt(ctx context.Context) error {
	r, err := client.Change[opsapi.HaltReply](ctx, c.api, "/halt", opsapi.HaltRequest{Version: c.Halt.Version, Reason: c.Halt.Reason})
	if err != nil {
		return err
	}
	return printReply(c, r, text.Halt)
}

func (c *command) wait(ctx context.Context) error {
	q := url.Values{"generation": {strconv.FormatUint(c.Wait.Generation, 10)}}
	r, err := client.Get[opsapi.WaitReply](ctx, c.api, "/wait", q)
	if err != nil {
		return err
	}
	if err := printReply(c, r, text.Wait); err != nil {
		return err
	}
	if !r.Done {
		return &exitError{code: exitUnknown}
	}
	return nil
}

func (c *command) history(ctx context.Context) error {
	q := url.Values{"limit": {strconv.Itoa(c.History.Limit)}}
	r, err := client.Get[opsapi.HistoryReply](ctx, c.api, "/history", q)
	if err != nil {
		return err
	}
	return printReply(c, r, text.History)
}

func (c *command) status(ctx context.Context) error {
	r, err := getStatus(ctx, c)
	if err != nil {
		return err
	}
	return printReply(c, r, text.Status)
}

func (c *command) events(ctx context.Context) error {
	since, err := c.parseTime("--since", c.Events.Since)
	if err != nil {
		return err
	}
	q := url.Values{"limit": {strconv.Itoa(c.Events.Limit)}}
	set(q, "request", c.Events.Request)
	set(q, "session", c.Events.Session)
	set(q, "account", c.Events.Account)
	set(q, "version", c.Events.Version)
	set(q, "since", since)
	r, err := client.Get[opsapi.EventsReply](ctx, c.api, "/events", q)
	if err != nil {
		return err
	}
	if c.Events.HTML == "" {
		return printReply(c, r, text.Events)
	}
	var b bytes.Buffer
	if err := lanes.Write(&b, r); err != nil {
		return fmt.Errorf("make the page: %w", err)
	}
	if err := os.WriteFile(c.Events.HTML, b.Bytes(), pageMode); err != nil {
		return &usageError{message: fmt.Sprintf("write the page: %v", err)}
	}
	fmt.Fprintf(c.out, "%d events of %d processes written to %s\n", len(r.Events), len(r.Sources), c.Events.HTML)
	return nil
}

func (c *command) explain(ctx context.Context) error {
	r, err := client.Get[opsapi.ExplainReply](ctx, c.api, "/explain/"+url.PathEscape(c.Explain.Request), nil)
	if err != nil {
		return err
	}
	return printReply(c, r, text.Explain)
}

func (c *command) bill(ctx context.Context) error {
	from, err := c.parseTime("--from", c.Bill.From)
	if err != nil {
		return err
	}
	to, err := c.parseTime("--to", c.Bill.To)
	if err != nil {
		return err
	}
	q := url.Values{}
	set(q, "from", from)
	set(q, "to", to)
	set(q, "account", c.Bill.Account)
	r, err := client.Get[opsapi.BillReply](ctx, c.api, "/bill", q)
	if err != nil {
		return err
	}
	return printReply(c, r, text.Bill)
}

// set sets a parameter of a query unless its value is empty.
func set(q url.Values, key, value string) {
	if value != "" {
		q.Set(key, value)
	}
}
