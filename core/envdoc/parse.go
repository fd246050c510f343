package envdoc

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/inidoc"
)

// Problem is a fault of a document.
type Problem = inidoc.Problem

// ProblemsError holds all faults of a document.
type ProblemsError = inidoc.ProblemsError

// EndSection is the name of the last section of every document. It is required so
// that a truncated text is not accepted as a smaller document.
const EndSection = "end"

// Parse parses and validates a document of at most MaxBytes. If it is invalid, the
// error is a *ProblemsError: faults of syntax are reported alone, otherwise all
// other problems are. The example of Parse shows the format.
func Parse(body []byte) (*Document, error) {
	if len(body) > MaxBytes {
		return nil, newProblemsError(Problem{Fault: fmt.Sprintf("the document has %d bytes", len(body)), Allowed: fmt.Sprintf("at most %d bytes", MaxBytes)})
	}
	sections, ps := inidoc.Parse(body)
	if len(ps) > 0 {
		return nil, newProblemsError(ps...)
	}
	p := newParser(body)
	for i := range sections {
		p.section(&sections[i], i == len(sections)-1)
	}
	p.checkDocument()
	if len(p.problems) > 0 {
		return nil, newProblemsError(p.problems...)
	}
	return p.doc, nil
}

func newProblemsError(ps ...Problem) error {
	return inidoc.NewProblemsError("document", ps)
}

// parser builds a document from its sections and collects problems.
type parser struct {
	doc      *Document
	problems []Problem
	// lines holds the line of each section, by name, and of each key, by "section\x00key".
	lines map[string]int
	// hasEnd and hasEnvironment are true once the required sections were parsed.
	hasEnd         bool
	hasEnvironment bool
}

func newParser(body []byte) *parser {
	return &parser{
		doc: &Document{
			Digest:   DigestOf(body),
			Raw:      slices.Clone(body),
			Accounts: map[ident.AccountID]*Account{},
			Models:   map[ident.ModelID]*Model{},
			Versions: map[ident.VersionRef]*Version{},
			Rollouts: map[ident.RolloutID]*Rollout{},
			Services: map[ident.ServiceID]*Service{},
			Kinds:    map[ident.KindID]*UpstreamKind{},
			byKey:    map[KeyDigest]*Account{},
		},
		lines: map[string]int{},
	}
}

// reject records a problem with the line of the key, or of the section if it lacks the key.
func (p *parser) reject(section, key, value, fault, allowed string) {
	l, ok := p.lines[section+"\x00"+key]
	if !ok {
		l = p.lines[section]
	}
	p.problems = append(p.problems, Problem{Section: section, Key: key, Value: value, Line: l, Fault: fault, Allowed: allowed})
}

// sectionKinds lists the allowed section headers for the message of a problem.
const sectionKinds = "environment, account ID, model ID, version MODEL@VERSION, rollout ID, service ID, upstream-kind ID, end"

// section parses a section and reports its unknown keys. Only the kinds environment
// and end have no id.
func (p *parser) section(s *inidoc.Section, last bool) {
	p.lines[s.Name] = s.Line
	for _, e := range s.Entries {
		p.lines[s.Name+"\x00"+e.Key] = e.Line
	}
	r := &reader{parser: p, section: s, requested: map[string]bool{}}
	kind, id, hasID := strings.Cut(s.Name, " ")
	withoutID := kind == "environment" || kind == EndSection
	switch {
	case hasID == withoutID:
		p.reject(s.Name, "", "", "unknown section", sectionKinds)
		return
	case hasID && kind == "version":
		p.version(r, id)
	case hasID && !validID(id):
		p.reject(s.Name, "", id, "not an id", idSyntax)
		return
	default:
		if !p.parseSection(r, kind, id, last) {
			p.reject(s.Name, "", "", "unknown section", sectionKinds)
			return
		}
	}
	r.rejectUnknownKeys()
}

// parseSection parses a section of a kind with a valid id, or no id. It returns false
// for an unknown kind. Versions are parsed by version since their id has two parts.
func (p *parser) parseSection(r *reader, kind, id string, last bool) bool {
	switch kind {
	case "environment":
		p.hasEnvironment = true
		p.doc.Name = r.id("name")
	case EndSection:
		p.hasEnd = true
		if !last {
			p.reject(EndSection, "", "", "not the last section", "[end] after all other sections")
		}
	case "account":
		p.account(r, ident.AccountID(id))
	case "model":
		p.model(r, ident.ModelID(id))
	case "rollout":
		p.rollout(r, ident.RolloutID(id))
	case "service":
		p.service(r, ident.ServiceID(id))
	case "upstream-kind":
		p.doc.Kinds[ident.KindID(id)] = &UpstreamKind{ID: ident.KindID(id), ChecksFencing: r.yesNo("checks-fencing", false)}
	default:
		return false
	}
	return true
}

func (p *parser) account(r *reader, id ident.AccountID) {
	a := &Account{
		ID:                id,
		Allowed:           map[ident.VersionRef]bool{},
		Services:          map[ident.ServiceID]bool{},
		RequestsPerSecond: r.number("requests-per-second", 0, 0, 1e9),
		TokensPerSecond:   r.number("tokens-per-second", 0, 0, 1e12),
		Weight:            r.integer("weight", 1, 1, 1000),
		Priority:          r.integer("priority", 0, -100, 100),
		Objective:         Objective(r.choice("objective", string(ObjectiveCost), string(ObjectiveCost), string(ObjectiveLatency))),
		QualityTarget:     r.number("quality-target", 0, 0, 1),
		OnWithdrawn:       OnWithdrawn(r.choice("on-withdrawn", string(WithdrawnMove), string(WithdrawnMove), string(WithdrawnRefuse))),
	}
	for _, t := range r.list("allowed", false) {
		v, err := ident.ParseRef(t)
		if err != nil {
			r.reject("allowed", t, "not a version", "MODEL@VERSION")
			continue
		}
		a.Allowed[v] = true
	}
	for _, t := range r.list("services", false) {
		a.Services[ident.ServiceID(t)] = true
	}
	for _, t := range r.list("key-digests", true) {
		p.keyDigest(r, a, t)
	}
	p.doc.Accounts[id] = a
}

func (p *parser) keyDigest(r *reader, a *Account, text string) {
	if !validDigest(text) {
		r.reject("key-digests", "", "not a digest of a key", "64 lower-case hex digits (SHA-256 of the key)")
		return
	}
	k := KeyDigest(text)
	if o, ok := p.doc.byKey[k]; ok {
		r.reject("key-digests", "", fmt.Sprintf("the same key digest as account %s", o.ID), "each key digest once")
		return
	}
	a.KeyDigests = append(a.KeyDigests, k)
	p.doc.byKey[k] = a
}

func (p *parser) model(r *reader, id ident.ModelID) {
	m := &Model{ID: id, Shares: map[ident.VersionID]ident.Share{}, Escalate: ident.ModelID(r.text("escalate", ""))}
	var sum ident.Share
	valid := true
	parts := r.list("shares", true)
	if len(parts) == 1 && parts[0] == sharesNone {
		parts = nil
	}
	for _, t := range parts {
		v, s, ok := strings.Cut(t, ":")
		share, err := parseShare(strings.TrimSpace(s))
		v = strings.TrimSpace(v)
		if !ok || err != nil || v == "" {
			r.reject("shares", t, "not a share", "VERSION:PERCENT with at most two decimals, above 0 and at most 100, or none")
			valid = false
			continue
		}
		if _, dup := m.Shares[ident.VersionID(v)]; dup {
			r.reject("shares", t, "a version with two shares", "each version once")
			valid = false
			continue
		}
		m.Shares[ident.VersionID(v)] = share
		sum += share
	}
	if valid && len(m.Shares) > 0 && sum != ident.FullShare {
		r.reject("shares", r.raw("shares"), "the shares sum to "+FormatShare(sum), "shares that sum to 100")
	}
	m.Fallback = r.ref("fallback")
	if m.Fallback != (ident.VersionRef{}) && len(m.Shares) > 0 {
		r.reject("fallback", m.Fallback.String(), "a fallback of a model with shares", "a fallback only with shares = none")
	}
	p.doc.Models[id] = m
}

func (p *parser) version(r *reader, id string) {
	ref, err := ident.ParseRef(id)
	if err != nil || !validID(string(ref.Model)) || !validID(string(ref.Version)) {
		p.reject(r.section.Name, "", id, "not a version", "MODEL@VERSION with ids of "+idSyntax)
		return
	}
	v := &Version{
		Ref:            ref,
		State:          VersionState(r.choice("state", string(StateLive), string(StateLive), string(StateWithdrawn))),
		InputPrice:     r.money("input-price-micro-cents", true),
		OutputPrice:    r.money("output-price-micro-cents", true),
		QualityPrior:   r.number("quality-prior", 0.5, 0, 1),
		HaltsClearedAt: ident.Generation(r.integer("halts-cleared-at", 0, 0, math.MaxInt32)),
		CancelRunning:  r.yesNo("cancel-running", false),
		Fallback:       r.ref("fallback"),
	}
	p.doc.Versions[ref] = v
}

func (p *parser) rollout(r *reader, id ident.RolloutID) {
	o := &Rollout{
		ID:             id,
		Model:          ident.ModelID(r.required("model")),
		From:           ident.VersionID(r.required("from")),
		To:             ident.VersionID(r.required("to")),
		StepTime:       r.duration("step-time"),
		ExposureBound:  r.integer("exposure-bound", 100, 1, math.MaxInt32),
		MinSamples:     r.integer("min-samples", 50, 1, math.MaxInt32),
		FalseAlarmRate: r.number("false-alarm-rate", 0.01, 1e-9, 0.5),
	}
	for _, t := range r.list("steps", true) {
		s, err := parseShare(t)
		if err != nil {
			r.reject("steps", t, "not a share", "percent with at most two decimals, above 0 and at most 100")
			continue
		}
		if n := len(o.Steps); n > 0 && s <= o.Steps[n-1] {
			r.reject("steps", t, "the steps do not rise", "rising shares")
		}
		o.Steps = append(o.Steps, s)
	}
	p.doc.Rollouts[id] = o
}

// parseShare parses a percentage above 0 and at most 100, with at most two decimals.
func parseShare(t string) (ident.Share, error) {
	a, b, dot := strings.Cut(t, ".")
	if dot && (len(b) == 0 || len(b) > 2) || len(a) == 0 || len(a) > 3 || !isDigits(a+b) {
		return 0, fmt.Errorf("parse share %q: want percent with at most two decimals", t)
	}
	n, err := strconv.Atoi(a + (b + "00")[:2])
	if err != nil || n == 0 || n > int(ident.FullShare) {
		return 0, fmt.Errorf("parse share %q: want above 0 and at most 100", t)
	}
	return ident.Share(n), nil
}

// isDigits reports whether s holds only ASCII digits.
func isDigits(s string) bool {
	for _, r := range s {
		if r < '0' || r > '9' {
			return false
		}
	}
	return true
}

// FormatShare returns a share as a percentage with at most two decimals, without
// trailing zeros and without a percent sign.
func FormatShare(s ident.Share) string {
	t := fmt.Sprintf("%d.%02d", s/100, s%100)
	return strings.TrimSuffix(strings.TrimRight(t, "0"), ".")
}

// validDigest reports whether s is a SHA-256 digest in lower-case hex.
func validDigest(s string) bool {
	if len(s) != 64 {
		return false
	}
	for _, r := range s {
		if (r < '0' || r > '9') && (r < 'a' || r > 'f') {
			return false
		}
	}
	return true
}

// idSyntax describes the ids that validID accepts; maxIDLength is in bytes.
const (
	idSyntax    = "letters, digits, dots, hyphens and underscores, at most 64, starting with a letter or digit"
	maxIDLength = 64
)

func validID(s string) bool {
	if s == "" || len(s) > maxIDLength {
		return false
	}
	for i, r := range s {
		alnum := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !alnum && (i == 0 || !strings.ContainsRune("._-", r)) {
			return false
		}
	}
	return true
}

// minStepTime is the minimum step time of a roll-out. It prevents a roll-out from
// taking all its steps within one poll of the table.
const minStepTime = time.Second
