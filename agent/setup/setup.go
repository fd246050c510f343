// Package setup reads the settings of an agent.
package setup

import (
	"net/url"
	"time"

	"tarragonvalve.example/agent/engine"
	"tarragonvalve.example/agent/plain"
	"tarragonvalve.example/agent/queue"
	"tarragonvalve.example/agent/stream"
	"tarragonvalve.example/core/config"
	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/table"
)

// Settings are all settings of an agent.
type Settings struct {
	Agent    Agent
	Upstream Upstream
	Table    table.Options
	Control  Control
	Queue    queue.Limits
	Stream   stream.Options
	Receipts Receipts
	Claims   Claims
	TLS      TLS
}

// Agent is section [agent].
type Agent struct {
	Instance ident.InstanceID
	// Listen serves the entries, Admin health and metrics.
	Listen   string
	Admin    string
	LogLevel string
	// DrainLimit bounds the shutdown, DrainNotice is its least time.
	DrainLimit  time.Duration
	DrainNotice time.Duration
	// EventRing is the number of events that are kept.
	EventRing int
}

// Upstream is section [upstream]. Either Engine or Service is set.
type Upstream struct {
	ID      ident.UpstreamID
	Domain  ident.DomainID
	Kind    ident.KindID
	Slots   int
	Service ident.ServiceID
	Engine  engine.Options
	Plain   plain.Options
	// ReportInterval is the pause between load reports, Prefixes the number of prefix hashes that are pushed.
	ReportInterval time.Duration
	Prefixes       int
}

// Control is section [control].
type Control struct {
	Environment  string
	PollInterval time.Duration
}

// Receipts is section [receipts].
type Receipts struct {
	Interval time.Duration
	Hold     time.Duration
	Capacity int
	MaxBatch int
}

// Claims is section [claims].
type Claims struct {
	// Limit bounds the write of a claim, after which the call is refused.
	Limit time.Duration
	// RecordWait is how long an answer waits for its result to be recorded.
	RecordWait time.Duration
}

// TLS is section [tls]. Without files, connections are not encrypted, which
// AllowPlaintext must permit.
type TLS struct {
	Cert           string
	Key            string
	ClientCA       string
	AllowPlaintext bool
}

// Default returns the settings that hold where the file says nothing. The
// limits are those that docs/design.md fixes; an agent reads the table every
// 10 s so that 600 of them cause 60 reads/s.
func Default() Settings {
	return Settings{
		Agent: Agent{
			Listen:      "127.0.0.1:0",
			Admin:       "127.0.0.1:0",
			LogLevel:    "info",
			DrainLimit:  60 * time.Second,
			DrainNotice: time.Second,
			EventRing:   8192,
		},
		Upstream: Upstream{
			Slots:          8,
			Engine:         engine.Default(""),
			Plain:          plain.Default(""),
			ReportInterval: time.Second,
			// A status with 32 hashes and two loaded versions has 480 bytes.
			Prefixes: 32,
		},
		Table:    table.Options{Region: "local", Timeout: time.Second},
		Control:  Control{PollInterval: 10 * time.Second},
		Queue:    queue.Default(),
		Stream:   stream.Default(),
		Receipts: Receipts{Interval: 2 * time.Second, Hold: 15 * time.Second, Capacity: 100_000, MaxBatch: 500},
		Claims:   Claims{Limit: 2 * time.Second, RecordWait: 250 * time.Millisecond},
	}
}

// Read reads a settings file, the environment and flags. It reports all problems at once.
func Read(path string, env []string, flags map[string]string) (*Settings, error) {
	f, err := config.Read(path, env, flags)
	if err != nil {
		return nil, err
	}
	s := Default()
	s.readAgent(f.Section("agent"))
	s.readUpstream(f, f.Section("upstream"))
	s.readTable(f.Section("table"))
	s.readControl(f.Section("control"))
	s.readBounds(f)
	s.readTLS(f)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Settings) readAgent(c *config.Section) {
	a := &s.Agent
	a.Instance = ident.InstanceID(c.Text("instance", ""))
	a.Listen = c.Addr("listen", a.Listen)
	a.Admin = c.Addr("admin", a.Admin)
	a.LogLevel = c.Choice("log-level", a.LogLevel, "debug", "info", "warn", "error")
	a.DrainLimit = c.Duration("drain-limit", a.DrainLimit)
	a.DrainNotice = c.Duration("drain-notice", a.DrainNotice)
	a.EventRing = c.IntIn("event-ring", a.EventRing, 16, 1<<20)
}

func (s *Settings) readUpstream(f *config.File, c *config.Section) {
	u := &s.Upstream
	u.ID = ident.UpstreamID(c.Required("id"))
	u.Domain = ident.DomainID(c.Required("domain"))
	u.Kind = ident.KindID(c.Text("kind", ""))
	u.Slots = c.IntIn("slots", u.Slots, 1, 4096)
	u.Service = ident.ServiceID(c.Text("service", ""))
	u.Engine.BaseURL = c.Text("engine-url", "")
	u.Plain.Base = c.Text("service-url", "")
	dial := c.Duration("dial-limit", u.Engine.DialTimeout)
	u.Engine.DialTimeout, u.Plain.DialLimit = dial, dial
	u.Engine.IdleTimeout = c.Duration("silence-limit", u.Engine.IdleTimeout)
	u.Plain.SilenceLimit = c.Duration("service-silence-limit", u.Plain.SilenceLimit)
	u.Engine.CallTimeout = c.Duration("report-limit", u.Engine.CallTimeout)
	u.ReportInterval = positive(f, c, "upstream", "report-interval", u.ReportInterval)
	u.Prefixes = c.IntIn("prefixes", u.Prefixes, 0, 4096)
	if (u.Engine.BaseURL == "") == (u.Plain.Base == "") {
		f.Reject("upstream", "engine-url", "one upstream is needed", "either engine-url, or service-url with service")
	}
	if (u.Service == "") != (u.Plain.Base == "") {
		f.Reject("upstream", "service", "service and service-url belong together", "both or neither")
	}
	checkURL(f, "engine-url", u.Engine.BaseURL)
	checkURL(f, "service-url", u.Plain.Base)
}

func checkURL(f *config.File, key, text string) {
	if text == "" {
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" || u.Path != "" {
		f.Reject("upstream", key, "not a base URL", "http://IP:PORT without a path")
	}
}

// positive reads a duration that a ticker will use.
func positive(f *config.File, c *config.Section, section, key string, fallback time.Duration) time.Duration {
	d := c.Duration(key, fallback)
	if d <= 0 {
		f.Reject(section, key, "not positive", "a duration above 0, such as 500ms")
		return fallback
	}
	return d
}

func (s *Settings) readTable(c *config.Section) {
	t := &s.Table
	t.Endpoint = c.Required("endpoint")
	t.Table = c.Required("name")
	t.Region = c.Text("region", t.Region)
	t.AccessKey = c.Required("access-key")
	t.SecretKey = c.Required("secret-key")
	t.Timeout = c.Duration("timeout", t.Timeout)
}

func (s *Settings) readControl(c *config.Section) {
	s.Control.Environment = c.Required("environment")
	s.Control.PollInterval = c.Duration("poll-interval", s.Control.PollInterval)
}

func (s *Settings) readBounds(f *config.File) {
	q := f.Section("queue")
	s.Queue.Items = q.IntIn("items", s.Queue.Items, 1, 1<<20)
	s.Queue.PerAccount = q.IntIn("per-account", s.Queue.PerAccount, 1, 1<<20)
	t := f.Section("stream")
	s.Stream.BufferBytes = t.IntIn("buffer-bytes", s.Stream.BufferBytes, 1<<10, 1<<28)
	s.Stream.TotalBytes = t.IntIn("total-bytes", s.Stream.TotalBytes, 1<<10, 1<<32)
	s.Stream.Attempts = t.IntIn("attempts", s.Stream.Attempts, 1, 1<<20)
	s.Stream.Retention = t.Duration("retention", s.Stream.Retention)
	s.Stream.LinkGrace = t.Duration("link-grace", s.Stream.LinkGrace)
	r := f.Section("receipts")
	s.Receipts.Interval = positive(f, r, "receipts", "interval", s.Receipts.Interval)
	s.Receipts.Hold = r.Duration("hold", s.Receipts.Hold)
	s.Receipts.Capacity = r.IntIn("capacity", s.Receipts.Capacity, 1, 1<<24)
	s.Receipts.MaxBatch = r.IntIn("max-batch", s.Receipts.MaxBatch, 1, 1000)
	c := f.Section("claims")
	s.Claims.Limit = c.Duration("limit", s.Claims.Limit)
	s.Claims.RecordWait = c.Duration("record-wait", s.Claims.RecordWait)
}

func (s *Settings) readTLS(f *config.File) {
	c := f.Section("tls")
	t := &s.TLS
	t.Cert = c.Text("cert", "")
	t.Key = c.Text("key", "")
	t.ClientCA = c.Text("client-ca", "")
	t.AllowPlaintext = c.Bool("allow-plaintext", false)
	if (t.Cert == "") != (t.Key == "") {
		f.Reject("tls", "cert", "cert and key belong together", "both or neither")
	}
	if t.Cert == "" && !t.AllowPlaintext {
		f.Reject("tls", "allow-plaintext", "no certificate", "cert and key, or allow-plaintext = yes")
	}
}
