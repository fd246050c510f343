// Package setup reads the settings of an entry from a file, the environment and flags.
package setup

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"tarragonvalve.example/core/config"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/core/token"
	"tarragonvalve.example/entry/policy"
	"tarragonvalve.example/entry/roster"
	"tarragonvalve.example/entry/score"
)

// Settings are all settings of an entry, by section of the settings file.
type Settings struct {
	Entry     Entry
	Callers   Callers
	Sessions  Sessions
	Table     table.Options
	Control   Control
	Instances Instances
	Links     Links
	Receipts  Receipts
	Rating    Rating
	Policy    Policy
	Operators []Operator
	TLS       TLS
}

// Entry is the section [entry].
type Entry struct {
	// Instance is the first part of the instance id; the process appends a random part.
	Instance ident.InstanceID
	Domain   ident.DomainID
	// CallersAddr, PeersAddr and AdminAddr are the addresses to listen on for the
	// callers' API, for other entries, and for the administration API with health
	// checks and metrics.
	CallersAddr string
	PeersAddr   string
	AdminAddr   string
	LogLevel    string
	// DrainNotice is the time that a draining entry stays open, so that load balancers
	// notice that it is leaving: two health checks a second apart, and a second of margin.
	// DrainLimit bounds the time for open requests to end.
	DrainNotice time.Duration
	DrainLimit  time.Duration
	// IsolationLimit is the time without contact to the table or any peer after which
	// the entry is not ready.
	IsolationLimit time.Duration
	// EventRing is the number of events that are kept in memory.
	EventRing int
}

// Callers is the section [callers].
type Callers struct {
	// MaxBody is in bytes. MaxOpen bounds the open requests, MaxTokens the output
	// tokens of one request.
	MaxBody   int
	MaxOpen   int
	MaxTokens int
	// DefaultTimeout applies to requests that state no timeout, MaxTimeout bounds those
	// that do.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
}

// Sessions is the section [sessions]. The first key signs session tokens; all keys
// verify them.
type Sessions struct {
	Keys []token.Key
}

// Control is the section [control].
type Control struct {
	Environment string
	// PollInterval is the time between two reads of the table.
	PollInterval time.Duration
}

// Instances is the section [instances].
type Instances struct {
	// URL is the address of the instance list, which is read at each Interval; empty
	// means that only Static is used.
	URL      string
	Interval time.Duration
	// Static holds the instances of the keys agents and entries.
	Static []roster.Instance
}

// Links is the section [links].
type Links struct {
	// SubsetSize bounds the agents of one kind that this entry links to; 0 means all.
	SubsetSize int
	// SameDomainDelay and OtherDomainDelay are the one-way delays to agents in this
	// entry's failure domain and in others.
	SameDomainDelay  time.Duration
	OtherDomainDelay time.Duration
}

// Receipts is the section [receipts].
type Receipts struct {
	// Interval is the time between two writes to the table.
	Interval time.Duration
	// Capacity is the number of buffered receipts at which the buffer counts as full.
	Capacity int
	// MaxBatch bounds the receipts of one write.
	MaxBatch int
}

// Rating is the section [rating].
type Rating struct {
	// URL is the base address of the rating service; empty turns ratings off.
	URL string
	// ReportOneOf reports one of so many answers; 0 reports none.
	ReportOneOf int
	// ReportInterval is the least time between two reports, ReadInterval the usual time
	// between two reads.
	ReportInterval time.Duration
	ReadInterval   time.Duration
}

// Policy is the section [policy].
type Policy struct {
	PlanStrategy     policy.Strategy
	UpstreamStrategy score.Strategy
	// Guard lets this entry halt versions on its own observations.
	Guard bool
	// Orders lets this entry order that versions are loaded and unloaded.
	Orders bool
	// ExploreOneOf makes one of so many requests explore; 0 means none.
	ExploreOneOf int
	// DetectorAlpha is the inverse of the average number of answers between false
	// alarms on fully deployed versions.
	DetectorAlpha float64
}

// Operator is one item of the key operators in section [admin].
type Operator struct {
	ID ident.OperatorID
	// Role is "view" or "operate".
	Role string
	// KeyDigest is the SHA-256 of the operator's key in hexadecimal.
	KeyDigest string
}

// TLS is the section [tls]. Without files, connections are not encrypted, which
// AllowPlaintext must permit.
type TLS struct {
	// Cert and Key are the files of this entry's certificate and key.
	Cert string
	Key  string
	// CA is the file that verifies agents and other entries.
	CA             string
	AllowPlaintext bool
}

// Default returns the settings that apply to keys missing in the file. The limits are
// those of docs/design.md.
func Default() Settings {
	p := policy.Default()
	return Settings{
		Entry: Entry{
			CallersAddr:    "127.0.0.1:0",
			PeersAddr:      "127.0.0.1:0",
			AdminAddr:      "127.0.0.1:0",
			LogLevel:       "info",
			DrainNotice:    3 * time.Second,
			DrainLimit:     60 * time.Second,
			IsolationLimit: 30 * time.Second,
			EventRing:      16384,
		},
		Callers: Callers{
			MaxBody:        1 << 20,
			MaxOpen:        4096,
			MaxTokens:      32768,
			DefaultTimeout: time.Minute,
			MaxTimeout:     15 * time.Minute,
		},
		Table:     table.Options{Region: "local", Timeout: time.Second},
		Control:   Control{PollInterval: 2 * time.Second},
		Instances: Instances{Interval: 2 * time.Second},
		Links:     Links{SubsetSize: 64, OtherDomainDelay: time.Millisecond},
		Receipts:  Receipts{Interval: 2 * time.Second, Capacity: 100_000, MaxBatch: 500},
		Rating:    Rating{ReportOneOf: 4, ReportInterval: 50 * time.Millisecond, ReadInterval: 2 * time.Second},
		Policy: Policy{
			PlanStrategy:     p.Strategy,
			UpstreamStrategy: score.Predicted{},
			Guard:            true,
			Orders:           true,
			ExploreOneOf:     int(p.ExploreEvery),
			DetectorAlpha:    p.DetectorAlpha,
		},
	}
}

// Read reads a settings file, the environment and flags. Its error reports all
// problems together.
func Read(path string, env []string, flags map[string]string) (*Settings, error) {
	f, err := config.Read(path, env, flags)
	if err != nil {
		return nil, err
	}
	s := Default()
	s.readEntry(f)
	s.readCallers(f)
	s.readSessions(f)
	s.readTable(f)
	s.readInstances(f)
	s.readReceipts(f)
	s.readRating(f)
	s.readPolicy(f)
	s.readOperators(f)
	s.readTLS(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) readEntry(f *config.File) {
	c := f.Section("entry")
	e := &s.Entry
	e.Instance = ident.InstanceID(c.Text("instance", ""))
	e.Domain = ident.DomainID(c.Required("domain"))
	e.CallersAddr = c.Addr("callers", e.CallersAddr)
	e.PeersAddr = c.Addr("peers", e.PeersAddr)
	e.AdminAddr = c.Addr("admin", e.AdminAddr)
	e.LogLevel = c.Choice("log-level", e.LogLevel, "debug", "info", "warn", "error")
	e.DrainNotice = c.Duration("drain-notice", e.DrainNotice)
	e.DrainLimit = c.Duration("drain-limit", e.DrainLimit)
	e.IsolationLimit = positiveDuration(f, "entry", "isolation-limit", e.IsolationLimit)
	e.EventRing = c.IntIn("event-ring", e.EventRing, 16, 1<<20)
}

func (s *Settings) readCallers(f *config.File) {
	c := f.Section("callers")
	a := &s.Callers
	a.MaxBody = c.IntIn("max-body", a.MaxBody, 1<<10, 4<<20)
	a.MaxOpen = c.IntIn("max-open", a.MaxOpen, 1, 1<<20)
	a.MaxTokens = c.IntIn("max-tokens", a.MaxTokens, 1, 1<<20)
	a.DefaultTimeout = positiveDuration(f, "callers", "default-timeout", a.DefaultTimeout)
	a.MaxTimeout = positiveDuration(f, "callers", "max-timeout", a.MaxTimeout)
}

func (s *Settings) readSessions(f *config.File) {
	c := f.Section("sessions")
	c.Required("keys")
	for _, t := range c.List("keys", nil) {
		id, secret, _ := strings.Cut(t, ":")
		s.Sessions.Keys = append(s.Sessions.Keys, token.Key{ID: id, Secret: []byte(secret)})
	}
	if _, err := token.NewSigner(s.Sessions.Keys); err != nil {
		f.Reject("sessions", "keys", err.Error(), "ID:SECRET, ... with secrets of at least 16 bytes; the first signs")
	}
}

func (s *Settings) readTable(f *config.File) {
	c := f.Section("table")
	t := &s.Table
	t.Endpoint = c.Required("endpoint")
	t.Table = c.Required("name")
	t.Region = c.Text("region", t.Region)
	t.AccessKey = c.Required("access-key")
	t.SecretKey = c.Required("secret-key")
	t.Timeout = positiveDuration(f, "table", "timeout", t.Timeout)
	s.Control.Environment = f.Section("control").Required("environment")
	s.Control.PollInterval = positiveDuration(f, "control", "poll-interval", s.Control.PollInterval)
}

func (s *Settings) readInstances(f *config.File) {
	c := f.Section("instances")
	s.Instances.URL = c.Text("url", "")
	checkURL(f, "instances", "url", s.Instances.URL)
	s.Instances.Interval = positiveDuration(f, "instances", "interval", s.Instances.Interval)
	for _, t := range c.List("agents", nil) {
		i, ok := parseStaticAgent(t)
		if !ok {
			f.Reject("instances", "agents", "not an agent", "UPSTREAM@DOMAIN=IP:PORT, ...")
		}
		s.Instances.Static = append(s.Instances.Static, i)
	}
	for _, t := range c.List("entries", nil) {
		if _, err := netip.ParseAddrPort(t); err != nil {
			f.Reject("instances", "entries", "not an address", "IP:PORT, ...")
		}
		s.Instances.Static = append(s.Instances.Static, roster.Instance{Addr: t, Role: roster.RoleEntry})
	}
	l := f.Section("links")
	s.Links.SubsetSize = l.IntIn("subset-size", s.Links.SubsetSize, 0, 1<<16)
	s.Links.SameDomainDelay = l.Duration("same-domain", s.Links.SameDomainDelay)
	s.Links.OtherDomainDelay = l.Duration("other-domain", s.Links.OtherDomainDelay)
}

func parseStaticAgent(t string) (roster.Instance, bool) {
	name, addr, _ := strings.Cut(t, "=")
	u, d, ok := strings.Cut(strings.TrimSpace(name), "@")
	_, err := netip.ParseAddrPort(strings.TrimSpace(addr))
	return roster.Instance{
		Addr:     strings.TrimSpace(addr),
		Role:     roster.RoleAgent,
		Upstream: ident.UpstreamID(u),
		Domain:   ident.DomainID(d),
	}, ok && u != "" && d != "" && err == nil
}

func (s *Settings) readReceipts(f *config.File) {
	c := f.Section("receipts")
	s.Receipts.Interval = positiveDuration(f, "receipts", "interval", s.Receipts.Interval)
	s.Receipts.Capacity = c.IntIn("capacity", s.Receipts.Capacity, 10, 1<<24)
	s.Receipts.MaxBatch = c.IntIn("max-batch", s.Receipts.MaxBatch, 1, 1000)
}

func (s *Settings) readRating(f *config.File) {
	c := f.Section("rating")
	s.Rating.URL = c.Text("url", "")
	checkURL(f, "rating", "url", s.Rating.URL)
	s.Rating.ReportOneOf = c.IntIn("report-one-of", s.Rating.ReportOneOf, 0, 1<<30)
	s.Rating.ReportInterval = positiveDuration(f, "rating", "report-interval", s.Rating.ReportInterval)
	s.Rating.ReadInterval = positiveDuration(f, "rating", "read-interval", s.Rating.ReadInterval)
}

func (s *Settings) readPolicy(f *config.File) {
	c := f.Section("policy")
	var err error
	if s.Policy.PlanStrategy, err = policy.ParseStrategy(c.Text("plans", "adaptive")); err != nil {
		f.Reject("policy", "plans", err.Error(), "adaptive, best-model, fixed-cascade")
	}
	if s.Policy.UpstreamStrategy, err = score.ParseStrategy(c.Text("upstreams", "predicted")); err != nil {
		f.Reject("policy", "upstreams", err.Error(), "predicted, round-robin, least-outstanding")
	}
	s.Policy.Guard = c.Bool("guard", s.Policy.Guard)
	s.Policy.Orders = c.Bool("orders", s.Policy.Orders)
	s.Policy.ExploreOneOf = c.IntIn("explore-one-of", s.Policy.ExploreOneOf, 0, 1<<30)
	s.Policy.DetectorAlpha = c.Float("detector-alpha", s.Policy.DetectorAlpha)
	if a := s.Policy.DetectorAlpha; a <= 0 || a >= 1 {
		f.Reject("policy", "detector-alpha", "out of range", "a number between 0 and 1")
	}
}

func (s *Settings) readOperators(f *config.File) {
	for _, t := range f.Section("admin").List("operators", nil) {
		p := strings.Split(t, ":")
		if len(p) != 3 || p[0] == "" || p[1] != "view" && p[1] != "operate" || len(p[2]) != 64 {
			f.Reject("admin", "operators", "not an operator", "NAME:ROLE:DIGEST, ... with role view or operate and the SHA-256 of the key in hex")
			continue
		}
		s.Operators = append(s.Operators, Operator{ID: ident.OperatorID(p[0]), Role: p[1], KeyDigest: p[2]})
	}
}

func (s *Settings) readTLS(f *config.File) {
	c := f.Section("tls")
	t := &s.TLS
	t.Cert = c.Text("cert", "")
	t.Key = c.Text("key", "")
	t.CA = c.Text("ca", "")
	t.AllowPlaintext = c.Bool("allow-plaintext", false)
	if (t.Cert == "") != (t.Key == "") || (t.Cert == "") != (t.CA == "") {
		f.Reject("tls", "cert", "cert, key and ca belong together", "all or none")
	}
	if t.Cert == "" && !t.AllowPlaintext {
		f.Reject("tls", "allow-plaintext", "no certificate", "cert, key and ca, or allow-plaintext = yes")
	}
}

// positiveDuration reads a duration that must be above 0, as timers need.
func positiveDuration(f *config.File, section, key string, fallback time.Duration) time.Duration {
	d := f.Section(section).Duration(key, fallback)
	if d <= 0 {
		f.Reject(section, key, "not positive", "a duration above 0, such as 500ms")
		return fallback
	}
	return d
}

func checkURL(f *config.File, section, key, text string) {
	if text == "" {
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		f.Reject(section, key, "not a URL", "http://IP:PORT or https://IP:PORT")
	}
}
