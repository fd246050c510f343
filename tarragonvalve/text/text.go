// Package text prints replies of the administration API in human-readable form.
package text

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inidoc"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/tarragonvalve/check"
)

const (
	secondsLayout = "2006-01-02 15:04:05Z"
	millisLayout  = "2006-01-02 15:04:05.000Z"
	// digestPrefixLen is the number of hex digits of a digest in tables. Replies whose
	// digest promote needs print all of it.
	digestPrefixLen = 12
)

// printTable prints aligned columns. Head holds the tab-separated headings.
func printTable(w io.Writer, head string, rows [][]string) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, head)
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t"))
	}
	_ = t.Flush()
}

func shortDigest(d envdoc.Digest) string {
	if len(d) > digestPrefixLen {
		return string(d[:digestPrefixLen])
	}
	return orDash(string(d))
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func formatTime(t time.Time) string {
	return t.UTC().Format(secondsLayout)
}

// Check prints the findings of a check, one a line, and their numbers.
func Check(w io.Writer, r *check.Report) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	if r.Omitted > 0 {
		fmt.Fprintf(w, "%d more finding(s) are not shown\n", r.Omitted)
	}
	fmt.Fprintf(w, "%s: %d error(s), %d warning(s)", r.File, r.Errors, r.Warnings)
	if r.Against != "" {
		fmt.Fprintf(w, ", %d difference(s) from %s", r.Differences, r.Against)
	}
	fmt.Fprintln(w)
}

// Refusal prints a refusal with its problems, the generation accepted instead, the
// latest generation and the time after which to retry, as far as it has them.
func Refusal(w io.Writer, e opsapi.Error) {
	fmt.Fprintf(w, "refused: %s (%s): %s\n", e.Code, e.Ran, e.Message)
	printProblems(w, e.Problems)
	if g := e.Winner; g != nil {
		fmt.Fprintf(w, "accepted instead: generation %d by %s at %s, digest %s, reason: %s\n", g.Generation, g.Operator, formatTime(g.At), g.Digest, g.Reason)
	}
	if e.Latest > 0 {
		fmt.Fprintf(w, "latest generation: %d\n", e.Latest)
	}
	if e.RetryAfterMS > 0 {
		fmt.Fprintf(w, "try again in %s\n", time.Duration(e.RetryAfterMS)*time.Millisecond)
	}
}

func printProblems(w io.Writer, ps []inidoc.Problem) {
	for _, p := range ps {
		fmt.Fprintf(w, "  %s\n", p)
	}
}

// Validate prints whether a document is valid, with its digest or its problems.
func Validate(w io.Writer, r opsapi.ValidateReply) {
	if r.Valid {
		fmt.Fprintf(w, "valid document of environment %s\ndigest %s\n", r.Name, r.Digest)
		return
	}
	fmt.Fprintf(w, "not valid, %d problem(s):\n", len(r.Problems))
	printProblems(w, r.Problems)
}

// Diff prints the changes of a document and its digest.
func Diff(w io.Writer, r opsapi.DiffReply) {
	printChanges(w, r.Generation, r.Changes)
	fmt.Fprintf(w, "digest %s\n", r.Digest)
}

func printChanges(w io.Writer, g ident.Generation, cs []envdoc.Change) {
	if len(cs) == 0 {
		fmt.Fprintf(w, "same meaning as generation %d\n", g)
		return
	}
	fmt.Fprintf(w, "%d change(s) from generation %d:\n", len(cs), g)
	for _, c := range cs {
		fmt.Fprintf(w, "  %s\n", c)
	}
}

// Trial prints the changes of a document, the decisions that would differ, and its digest.
func Trial(w io.Writer, r opsapi.TrialReply) {
	printChanges(w, r.Generation, r.Changes)
	fmt.Fprintf(w, "%d recorded decision(s) taken again:\n", r.Decisions)
	if len(r.Moves) == 0 {
		fmt.Fprintln(w, "  none would differ")
	}
	var rows [][]string
	for _, m := range r.Moves {
		rows = append(rows, []string{"  " + string(m.Account), m.Kind, m.From, m.To, fmt.Sprint(m.Count)})
	}
	if len(rows) > 0 {
		printTable(w, "  ACCOUNT\tDECISION\tNOW\tTRIED\tCOUNT", rows)
	}
	printMissingEvents(w, r.Sources)
	fmt.Fprintf(w, "tried digest %s\n", r.Digest)
}

// Accepted prints a new generation, what was changed for it, and warnings.
func Accepted(w io.Writer, r opsapi.AcceptedReply) {
	fmt.Fprintf(w, "accepted generation %d by %s at %s\ndigest %s\n", r.Generation.Generation, r.Operator, formatTime(r.At), r.Digest)
	for _, d := range r.Actions {
		fmt.Fprintf(w, "  %s\n", d)
	}
	for _, d := range r.Warnings {
		fmt.Fprintf(w, "warning: %s\n", d)
	}
}

// Halt prints a halt and how it is cleared.
func Halt(w io.Writer, r opsapi.HaltReply) {
	fmt.Fprintf(w, "version %s halted in generation %d\n", r.Version, r.Generation)
	fmt.Fprintf(w, "it stays halted until a document sets halts-cleared-at = %d or above for it\n", r.Generation)
}

// Wait prints which instances lack a generation.
func Wait(w io.Writer, r opsapi.WaitReply) {
	if r.Done {
		fmt.Fprintf(w, "generation %d is in force at all %d live instances\n", r.Generation, r.Instances)
		return
	}
	fmt.Fprintf(w, "generation %d is not known to be in force everywhere\n", r.Generation)
	printInstances(w, "behind", r.Behind)
	printInstances(w, "not reached", r.Unreached)
}

func printInstances(w io.Writer, what string, ids []ident.InstanceID) {
	for _, i := range ids {
		fmt.Fprintf(w, "  %s: %s\n", what, i)
	}
}

// History prints accepted generations.
func History(w io.Writer, r opsapi.HistoryReply) {
	var rows [][]string
	for _, g := range r.Generations {
		rows = append(rows, []string{fmt.Sprint(g.Generation), formatTime(g.At), string(g.Operator), shortDigest(g.Digest), g.Reason})
	}
	printTable(w, "GENERATION\tACCEPTED\tOPERATOR\tDIGEST\tREASON", rows)
}

// Status prints the status of the system with a row for each instance.
func Status(w io.Writer, r opsapi.StatusReply) {
	fmt.Fprintf(w, "environment %s, seen by %s\n", r.Environment, r.Instance)
	fmt.Fprintf(w, "generation %d in force here, confirmed by %s, digest %s\n", r.Generation, r.ConfirmedBy, shortDigest(r.Digest))
	if r.Problem != "" {
		fmt.Fprintf(w, "latest generation unknown: %s\n", r.Problem)
	} else {
		fmt.Fprintf(w, "latest generation %d\n", r.Latest)
	}
	for _, h := range r.Halts {
		fmt.Fprintf(w, "halted: version %s in generation %d at %s by %s: %s\n", h.Version, h.Generation, formatTime(h.At), h.Instance, h.Reason)
	}
	for _, s := range r.Rollouts {
		fmt.Fprintf(w, "roll-out %s: version %s at step %d of %d, %s%%\n", s.Rollout, s.Version, s.Step, s.Steps, s.Share)
	}
	var rows [][]string
	for _, i := range r.Instances {
		row := []string{string(i.ID), i.Role, orDash(string(i.Domain)), orDash(string(i.Upstream))}
		if i.Problem != "" {
			rows = append(rows, append(row, "-", "-", "-", "-", i.Problem))
			continue
		}
		rows = append(rows, append(row, fmt.Sprint(i.Generation), formatAge(i.ConfirmedAgeMS), fmt.Sprint(i.Queued), fmt.Sprint(i.Running), instanceState(i)))
	}
	printTable(w, "INSTANCE\tROLE\tFAILURE DOMAIN\tUPSTREAM\tGENERATION\tCONFIRMED\tQUEUED\tRUNNING\tSTATE", rows)
}

// formatAge returns an age in milliseconds, rounded to 100 ms; a negative one means never.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).Round(100*time.Millisecond).String() + " ago"
}

func instanceState(i opsapi.Instance) string {
	if i.Draining {
		return "draining"
	}
	return "live"
}

// Events prints a time line, and which events are missing.
func Events(w io.Writer, r opsapi.EventsReply) {
	var rows [][]string
	for _, e := range r.Events {
		rows = append(rows, []string{e.At.UTC().Format(millisLayout), string(e.Instance), e.Kind, orDash(string(e.Request)), orDash(string(e.Account)), orDash(e.Version), Fields(e.Fields)})
	}
	printTable(w, "TIME\tINSTANCE\tEVENT\tREQUEST\tACCOUNT\tVERSION\tDETAILS", rows)
	if r.Truncated {
		fmt.Fprintln(w, "older events were left out; raise --limit or set --since")
	}
	printMissingEvents(w, r.Sources)
}

// Fields returns the non-empty fields of an event on one line, sorted by name.
func Fields(m map[string]string) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		if m[k] != "" {
			out = append(out, k+"="+m[k])
		}
	}
	return strings.Join(out, " ")
}

// printMissingEvents prints the processes that were not reached or have lost events.
func printMissingEvents(w io.Writer, ss []opsapi.Source) {
	for _, s := range ss {
		if s.Problem != "" {
			fmt.Fprintf(w, "%s %s: %s\n", s.Role, s.Instance, s.Problem)
		}
		if s.Overwritten > 0 {
			fmt.Fprintf(w, "%s %s: event ring overflowed, %d events lost\n", s.Role, s.Instance, s.Overwritten)
		}
	}
}

// Explain prints what happened to a request.
func Explain(w io.Writer, r opsapi.ExplainReply) {
	fmt.Fprintf(w, "request %s, account %s, session %s\noutcome: %s\n", r.Request, orDash(string(r.Account)), orDash(string(r.Session)), r.Outcome)
	for _, l := range r.Lines {
		fmt.Fprintf(w, "  %s %s: %s\n", l.At.UTC().Format(millisLayout), l.Instance, l.Text)
	}
	printMissingEvents(w, r.Sources)
}

// microCentsPerUnit is the number of millionths of a cent in 100 cents.
const microCentsPerUnit = 100_000_000

// formatMoney returns an amount in units of 100 cents with eight decimals.
func formatMoney(m ident.MicroCents) string {
	s := ""
	if m < 0 {
		s = "-"
		m = -m
	}
	return fmt.Sprintf("%s%d.%08d", s, m/microCentsPerUnit, m%microCentsPerUnit)
}

// Bill prints a bill. Amounts have eight decimals, so that none is rounded.
func Bill(w io.Writer, r opsapi.BillReply) {
	fmt.Fprintf(w, "bill from %s to %s\n", formatTime(r.From), formatTime(r.To))
	var rows [][]string
	for _, l := range r.Lines {
		rows = append(rows, []string{string(l.Account), l.Item, fmt.Sprint(l.Requests), fmt.Sprint(l.Input), fmt.Sprint(l.Output), formatMoney(l.Price)})
	}
	printTable(w, "ACCOUNT\tITEM\tREQUESTS\tINPUT TOKENS\tOUTPUT TOKENS\tPRICE", rows)
	fmt.Fprintf(w, "total %s; attempts cost the operator %s\n", formatMoney(r.Total), formatMoney(r.AttemptCost))
	fmt.Fprintf(w, "%d receipts read, %d of them doubled\n", r.Receipts, r.Duplicates)
}
