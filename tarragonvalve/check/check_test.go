package check_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"tarragonvalve.example/platform/rows"
	"tarragonvalve.example/tarragonvalve/check"
)

const (
	environment = "ilmek.ini"
	routing     = "routing.json"
)

// edit returns an example in which the first match of each pair's first text is replaced by
// its second one.
func edit(t testing.TB, name string, pairs ...string) string {
	t.Helper()
	b, err := os.ReadFile("../../examples/" + name)
	if err != nil {
		t.Fatal(err)
	}
	s := string(b)
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(s, pairs[i]) {
			t.Fatalf("example %s lacks %q", name, pairs[i])
		}
		s = strings.Replace(s, pairs[i], pairs[i+1], 1)
	}
	return s
}

// decode decodes an example's text, or returns the report on its faults.
func decode(t testing.TB, name, text string) (check.Config, *check.Report) {
	t.Helper()
	b := []byte(text)
	if strings.HasSuffix(name, ".ini") {
		e, err := check.ParseEnvironment(name, b)
		if err != nil {
			return nil, check.Problems(name, err)
		}
		return e, nil
	}
	d, err := rows.DecodeConfig(b)
	if err != nil {
		return nil, check.Invalid(name, rows.ErrorLine(b, err), err)
	}
	return check.NewRouting(name, d, rows.OutlineOf(b)), nil
}

func valid(t testing.TB, name, text string) check.Config {
	t.Helper()
	c, r := decode(t, name, text)
	if r != nil {
		t.Fatal(r.Findings)
	}
	return c
}

func run(t testing.TB, c, before check.Config) *check.Report {
	t.Helper()
	r, err := check.Run(c, before)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func lines(r *check.Report) string {
	var out strings.Builder
	for _, f := range r.Findings {
		fmt.Fprint(&out, f)
		if f.Permanent {
			fmt.Fprint(&out, " permanent")
		}
		fmt.Fprintln(&out)
	}
	return out.String()
}

func ids(r *check.Report) []check.ID {
	out := map[check.ID]bool{}
	for _, f := range r.Findings {
		out[f.ID] = true
	}
	return slices.Sorted(maps.Keys(out))
}

// testCase is an example with a fault or a difference.
type testCase struct {
	example string
	edits   []string
	// want are the ids of all findings; an example without edits has none.
	want []check.ID
}

var faults = map[string]testCase{
	"environment-syntax":         {environment, []string{"weight = 8", "weight"}, []check.ID{"invalid"}},
	"environment-references":     {environment, []string{"fallback = pamuk@1.4", "fallback = pamuk@9", "escalate = ipek", "escalate = ipke"}, []check.ID{"invalid"}},
	"hidden-call":                {environment, []string{"GET /caps repeatable hedge", "GET /threads/7 not-repeatable"}, []check.ID{"invalid"}},
	"unused-version":             {environment, []string{"[model keten]", "[version pamuk@1.6]\ninput-price-micro-cents = 1\noutput-price-micro-cents = 1\n\n[model keten]"}, []check.ID{"unused-version"}},
	"withdrawn-version-unused":   {environment, []string{"[model keten]", "[version pamuk@1.6]\nstate = withdrawn\ninput-price-micro-cents = 1\noutput-price-micro-cents = 1\n\n[model keten]"}, nil},
	"unused-model":               {environment, []string{"[model keten]", "[model atlas]\nshares = none\n\n[model keten]"}, []check.ID{"unused-model"}},
	"environment-unused-service": {environment, []string{"[upstream-kind fenced", "[service spools]\ncalls = GET /spools repeatable\n\n[upstream-kind fenced"}, []check.ID{"unused-service"}},
	"slow-rollout":               {environment, []string{"step-time = 10m", "step-time = 10s"}, []check.ID{"slow-rollout"}},
	"rollout-without-limits":     {environment, []string{"step-time = 10m", "step-time = 10s", "requests-per-second = 60", "requests-per-second = 0"}, nil},

	"routing-syntax":          {routing, []string{`"version": 7,`, `"version": 7`}, []check.ID{"invalid"}},
	"routing-route-type":      {routing, []string{`"attempts": 2`, `"attempts": 2.5`}, []check.ID{"invalid"}},
	"routing-account-type":    {routing, []string{`"api_keys": ["key-kaslo"]`, `"api_keys": "key-kaslo"`}, []check.ID{"invalid"}},
	"routing-limit-type":      {routing, []string{`15000}`, `"15 s"}`}, []check.ID{"invalid"}},
	"routing-negative":        {routing, []string{`"version": 7`, `"version": -7`}, []check.ID{"invalid"}},
	"hidden-route":            {routing, []string{`"prefix": "/slots/"`, `"prefix": "/days/"`}, []check.ID{"hidden-route"}},
	"nested-route":            {routing, []string{`"prefix": "/slots/"`, `"prefix": "/days/slots/"`}, nil},
	"unmatched-prefix":        {routing, []string{`"prefix": "/slots/"`, `"prefix": "slots/"`}, []check.ID{"unmatched-prefix"}},
	"route-without-service":   {routing, []string{`"timeout_ms": 3000, "target_latency_ms": 500, "service": "schedule"`, `"timeout_ms": 3000`}, []check.ID{"route-without-service"}},
	"route-without-account":   {routing, []string{`["key-kaslo"]`, `[""]`, `["key-salmo", "key-salmo-2"]`, `[]`}, []check.ID{"account-without-key", "route-without-account"}},
	"unknown-service":         {routing, []string{`"target_latency_ms": 500, "service": "schedule"`, `"target_latency_ms": 500, "service": "shcedule"`}, []check.ID{"unknown-service"}},
	"routing-unused-service":  {routing, []string{`"weight": 10`, `"weight": 0`}, []check.ID{"unused-service"}},
	"hidden-service":          {routing, []string{`{"name": "schedule", "max_connections": 100}`, `{"name": "schedule"}, {"name": "schedule"}`}, []check.ID{"hidden-service"}},
	"unknown-model":           {routing, []string{`["small", "large"]`, `["small", "huge"]`}, []check.ID{"unknown-model"}},
	"account-without-key":     {routing, []string{`["key-kaslo"]`, `[]`}, []check.ID{"account-without-key"}},
	"hidden-key":              {routing, []string{`"key-salmo-2"`, `"key-kaslo"`}, []check.ID{"hidden-key"}},
	"objective-above-timeout": {routing, []string{`"target_latency_ms": 300`, `"target_latency_ms": 1501`}, []check.ID{"objective-above-timeout"}},
	"objective-at-timeout":    {routing, []string{`"target_latency_ms": 300`, `"target_latency_ms": 1500`}, nil},
	"objective-no-timeout":    {routing, []string{`"timeout_ms": 1500`, `"timeout_ms": 0`}, nil},
	"pause-above-timeout":     {routing, []string{`"target_itl_ms": 1000`, `"target_itl_ms": 60001`}, []check.ID{"pause-above-timeout"}},
}

// version makes a configuration of routers newer than the example.
func version(pairs ...string) []string {
	return append([]string{`"version": 7`, `"version": 8`}, pairs...)
}

var differences = map[string]testCase{
	"other-environment":   {environment, []string{"name = ilmek", "name = kootenay"}, []check.ID{"other-environment"}},
	"future-halts":        {environment, []string{"[version ipek@2.1]", "[version ipek@2.1]\nhalts-cleared-at = 6"}, []check.ID{"future-halts", "halts-cleared"}},
	"halts-cleared":       {environment, []string{"[version ipek@2.1]", "[version ipek@2.1]\nhalts-cleared-at = 5"}, []check.ID{"halts-cleared"}},
	"comments":            {environment, []string{"# The best", "# The very best"}, nil},
	"shares":              {environment, []string{"1.4:90, 1.5:10", "1.4:74.75, 1.5:25.25"}, []check.ID{"share-falls", "share-rises"}},
	"environment-key":     {environment, []string{"5a801fea9548", "6a801fea9548"}, []check.ID{"key-added", "key-removed"}},
	"permissions":         {environment, []string{"services = stock, run-status", "services = stock, orders"}, []check.ID{"permission-added", "permission-removed"}},
	"environment-account": {environment, []string{"[account baklan]", "[account bekilli]"}, []check.ID{"account-added", "account-removed"}},
	"service-removed":     {environment, []string{"[upstream-kind plain-engine]\nchecks-fencing = no\n", "[upstream-kind other-engine]\n"}, []check.ID{"section-added", "section-removed"}},
	"version-withdrawn":   {environment, []string{"[version ipek@2.2]", "[version ipek@2.2]\nstate = withdrawn\ncancel-running = yes", "[rollout ipek-2-2]\nmodel = ipek\nfrom = 2.1\nto = 2.2\nsteps = 1, 5, 25, 100\nstep-time = 10m\nexposure-bound = 200\nmin-samples = 100\nfalse-alarm-rate = 0.01\n", ""}, []check.ID{"rollout-ends", "streams-cancelled", "value-changed", "version-withdrawn"}},
	"version-restored":    {environment, []string{"state = withdrawn\n", ""}, []check.ID{"version-restored"}},
	"rollout-starts":      {environment, []string{"[rollout ipek-2-2]", "[rollout ipek-2-3]"}, []check.ID{"rollout-ends", "rollout-starts"}},
	"rollout-restarts":    {environment, []string{"steps = 1, 5, 25, 100", "steps = 5, 100"}, []check.ID{"rollout-restarts", "value-changed"}},
	"call-changed":        {environment, []string{"POST /runs not-repeatable", "POST /runs repeatable"}, []check.ID{"call-changed"}},
	"environment-value":   {environment, []string{"weight = 8", "weight = 9", "price-micro-cents = 20000", "price-micro-cents = 20001"}, []check.ID{"value-changed"}},
	"stale-version":       {routing, []string{`"weight": 90`, `"weight": 80`}, []check.ID{"share-falls", "share-rises", "stale-version"}},
	"same-version":        {routing, []string{`"kind": "non_idempotent"`, `"kind":"non_idempotent"`}, nil},
	"route-moved":         {routing, version(`"target_latency_ms": 500, "service": "schedule"`, `"target_latency_ms": 500, "service": "schedule-next"`), []check.ID{"route-moved"}},
	"route-renamed":       {routing, version(`"name": "slots"`, `"name": "places"`), []check.ID{"value-changed"}},
	"route-replaced":      {routing, version(`"prefix": "/slots/"`, `"prefix": "/days/slots/"`), []check.ID{"route-added", "route-removed"}},
	"runs-may-repeat":     {routing, version(`"kind": "non_idempotent"`, `"kind": "idempotent"`), []check.ID{"runs-may-repeat", "value-changed"}},
	"runs-may-not-repeat": {routing, version(`"resumable": true`, `"resumable": false`), []check.ID{"runs-may-not-repeat", "value-changed"}},
	"keys-required":       {routing, version(`"public": true`, `"public": false`), []check.ID{"keys-required", "value-changed"}},
	"keys-not-required":   {routing, version(`"tenants"`, `"guests"`), []check.ID{"account-removed", "keys-not-required"}},
	"services": {routing, version(`{"name": "engines", "max`, `{"name": "other"}, {"name": "engines", "max`, `,
    {"name": "schedule-next", "max_connections": 100}`, ``), []check.ID{"service-added", "service-removed", "unknown-service", "unused-service"}},
	"routing-values": {routing, version(`"max_connections": 400`, `"max_connections": 401`, `0.016`, `0.017`, `1000,
                 "m`, `1001, "m`, `"timeout_ms": 1500`, `"timeout_ms": 0`, `"attempts": 3`, `"attempts": 2`, `4194304`, `0`, `"priority": 0`, `"priority": 2`, `["small", "large"]`, `["small"]`), []check.ID{"value-changed"}},
	"routing-account": {routing, version(`"name": "kaslo"`, `"name": "ymir"`), []check.ID{"account-added", "account-removed"}},
	"routing-keys":    {routing, version(`"key-salmo-2"`, `"key-salmo-3"`), []check.ID{"key-added", "key-removed"}},
}

// report checks a case, compared with its example as generation 5 if compare is set.
func (c testCase) report(t testing.TB, compare bool) *check.Report {
	t.Helper()
	o, r := decode(t, c.example, edit(t, c.example, c.edits...))
	if r != nil {
		return r
	}
	if !compare {
		return run(t, o, nil)
	}
	b := valid(t, "before-"+c.example, edit(t, c.example))
	if e, ok := b.(*check.Environment); ok {
		e.SetLatest(5)
	}
	return run(t, o, b)
}

// Guards against findings that are missed, reported for sound configurations, at a wrong
// line or with another text than in the golden file.
func TestFindings(t *testing.T) {
	for kind, cases := range map[string]map[string]testCase{"fault": faults, "difference": differences} {
		for name, c := range cases {
			t.Run(kind+"-"+name, func(t *testing.T) {
				r := c.report(t, kind == "difference")
				if got := ids(r); !slices.Equal(got, c.want) {
					t.Errorf("ids %v, want %v", got, c.want)
				}
				goldie.New(t).Assert(t, kind+"-"+name, []byte(lines(r)))
			})
		}
	}
}

// Guards against findings on the published examples, and on a configuration compared with
// itself.
func TestExamples(t *testing.T) {
	for _, name := range []string{environment, "kootenay.ini", routing} {
		t.Run(name, func(t *testing.T) {
			c := valid(t, name, edit(t, name))
			if r := run(t, c, c); len(r.Findings) > 0 || r.Failed() {
				t.Errorf("findings:\n%s", lines(r))
			}
		})
	}
}

// Guards against ids that no case covers or that operators can't look up.
func TestIDs(t *testing.T) {
	manual, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	covered := map[check.ID]bool{}
	for _, cases := range []map[string]testCase{faults, differences} {
		for _, c := range cases {
			for _, id := range c.want {
				covered[id] = true
			}
		}
	}
	for _, id := range check.IDs() {
		if !covered[id] {
			t.Errorf("no case covers %s", id)
		}
		if !strings.Contains(string(manual), "`"+string(id)+"`") {
			t.Errorf("docs/OPERATIONS.md lacks %s", id)
		}
		delete(covered, id)
	}
	for id := range covered {
		t.Errorf("IDs lacks %s", id)
	}
}

// Guards against forms that are compared although they have nothing in common.
func TestForms(t *testing.T) {
	a, b := valid(t, environment, edit(t, environment)), valid(t, routing, edit(t, routing))
	var e *check.FormError
	if _, err := check.Run(a, b); !errors.As(err, &e) {
		t.Errorf("error %v, want a *FormError", err)
	}
	if _, err := check.Run(b, a); !errors.As(err, &e) {
		t.Errorf("error %v, want a *FormError", err)
	}
}

// Guards against keys of client accounts in findings.
func TestKeysAreNotPrinted(t *testing.T) {
	for name, c := range differences {
		if c.example != routing {
			continue
		}
		if s := lines(c.report(t, true)); strings.Contains(s, "key-salmo") || strings.Contains(s, "key-kaslo") {
			t.Errorf("%s prints a key:\n%s", name, s)
		}
	}
	for name, c := range faults {
		if s := lines(c.report(t, false)); strings.Contains(s, "key-salmo") || strings.Contains(s, "key-kaslo") {
			t.Errorf("%s prints a key:\n%s", name, s)
		}
	}
}

// Guards against a report that grows with the number of faults or the length of names, and
// against faults that are not counted.
func TestReportIsBounded(t *testing.T) {
	long := strings.Repeat("x\u202e", 10000)
	var rs []string
	for range 3 * check.MaxFindings {
		rs = append(rs, fmt.Sprintf(`{"name":%q,"prefix":"/","service":"s"}`, long[:100]))
	}
	rs = append(rs, fmt.Sprintf(`{"name":"a","prefix":"x","service":%q}`, long))
	r := run(t, valid(t, routing, `{"services":[{"name":"s"}],"routes":[`+strings.Join(rs, ",")+`]}`), nil)
	if len(r.Findings) != check.MaxFindings || r.Omitted != r.Warnings-check.MaxFindings || r.Warnings < 3*check.MaxFindings {
		t.Errorf("%d findings, %d omitted, %d warnings", len(r.Findings), r.Omitted, r.Warnings)
	}
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	// Two names of 64 runes, each escaped to 8 bytes at most, and a sentence.
	if most := check.MaxFindings * 2048; len(b) > most {
		t.Errorf("%d bytes, want at most %d", len(b), most)
	}
}
