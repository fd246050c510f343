package boot

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/standin/ctrl"
	"tarragonvalve.example/standin/listed"
	"tarragonvalve.example/standin/load"
	"tarragonvalve.example/standin/setup"
)

// RepeatedError reports idempotency keys whose call ran more than once.
type RepeatedError struct {
	// Keys are the keys as plain.KeyID returns them.
	Keys []string
}

func (e *RepeatedError) Error() string {
	return fmt.Sprintf("check runs per key: %d keys ran more than once: %s", len(e.Keys), strings.Join(e.Keys, ", "))
}

// WrongTextError reports answers whose text differs from that of the version they name.
type WrongTextError struct {
	Count int
}

func (e *WrongTextError) Error() string {
	return fmt.Sprintf("check answers: %d have a wrong text", e.Count)
}

func runLoad(ctx context.Context, a *loadCommand, out io.Writer) error {
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
	return checkRun(ctx, a.Control, sum, out)
}

// checkRun prints the stand-ins' counters. It fails with a *RepeatedError if a key ran more
// than once, otherwise with a *WrongTextError if an answer has a wrong text.
func checkRun(ctx context.Context, control string, sum *load.Summary, out io.Writer) error {
	var c ctrl.Counters
	if err := getJSON(ctx, control+"/counters", &c); err != nil {
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
	fmt.Fprintf(out, "%6d  starts on all engines\n%6d  keys that ran, %d of them more than once\nlast-request %s\n", starts, len(c.Runs), len(repeated), sum.LastRequest())
	if len(repeated) > 0 {
		slices.Sort(repeated)
		return &RepeatedError{Keys: repeated}
	}
	if n := sum.WrongTexts(); n > 0 {
		return &WrongTextError{Count: n}
	}
	return nil
}

func getJSON(ctx context.Context, url string, v any) error {
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

func upstreams(ctx context.Context, a *upstreamsCommand, out io.Writer) error {
	var at ctrl.Addresses
	if err := getJSON(ctx, a.Control+"/addresses", &at); err != nil {
		return err
	}
	for _, u := range at.Upstreams {
		_, err := fmt.Fprintln(out, u.ID, u.Address, u.Domain, u.Slots, cmp.Or(string(u.Kind), "-"), cmp.Or(string(u.Service), "-"))
		if err != nil {
			return err
		}
	}
	return nil
}

// StatusError reports a response of the control API with a status other than 2xx.
type StatusError struct {
	Op     string
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d", e.Op, e.Status)
}

func register(ctx context.Context, a *registerCommand) error {
	i := listed.Instance{
		Instance: a.Instance,
		Address:  a.Address,
		Role:     a.Role,
		Upstream: a.Upstream,
		Domain:   a.Domain,
		State:    a.State,
	}
	if a.Kind != "" {
		i.Labels = map[string]string{"kind": a.Kind}
	}
	b, err := json.Marshal(i)
	if err != nil {
		return err
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+a.Control+"/instances/"+url.PathEscape(a.Instance), bytes.NewReader(b))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode/100 != 2 {
		return &StatusError{Op: "register " + a.Instance, Status: res.StatusCode}
	}
	return nil
}
