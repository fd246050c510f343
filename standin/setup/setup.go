// Package setup reads the settings of the stand-ins from an INI file and the environment.
//
// Sections: [standin] (control), [table], [instances], [rating], [weights],
// [engine ID] and [plain ID] once per upstream, [version MODEL@VERSION] once
// per version. Every addr defaults to a port on 127.0.0.1 chosen by the kernel.
package setup

import (
	"strings"
	"time"

	"tarragonvalve.example/core/config"
	"tarragonvalve.example/core/ident"
)

// anyPort is a loopback address with a port that the kernel chooses.
const anyPort = "127.0.0.1:0"

// Settings are all settings of the stand-ins.
type Settings struct {
	Control   string
	Table     Table
	Instances Instances
	Rating    Rating
	Weights   Weights
	Engines   []Engine
	Plains    []Plain
	Versions  map[ident.VersionRef]Version
}

// Table are the settings of the table service. Writes and Reads are rate limits in
// operations per second.
type Table struct {
	Addr   string
	Writes float64
	Reads  float64
}

// Instances are the settings of the instance list. Lag is the time until a change is visible.
type Instances struct {
	Addr string
	Lag  time.Duration
}

// Rating are the settings of the rating service.
type Rating struct {
	Addr string
	// Delay is the mean time until a rating can be read; each takes 0.5 to 1.5 times as long.
	Delay time.Duration
	// Missing is the fraction of the answers, from 0 to 1, that never get a rating.
	Missing float64
	// Rate is the rate limit in requests per second.
	Rate float64
}

// Weights are the settings of the weight store.
type Weights struct {
	Addr string
	// BytesPerSecond is the bandwidth that all downloads share.
	BytesPerSecond float64
	// VersionBytes is the size of the weights of each version.
	VersionBytes int
}

// Engine are the settings of one model engine.
type Engine struct {
	ID     ident.UpstreamID
	Addr   string
	Domain ident.DomainID
	Kind   ident.KindID
	// Loaded are the versions that the engine serves after a start.
	Loaded []ident.VersionRef
	// Slots is the maximum batch size, QueueLimit the maximum number of queued requests.
	Slots      int
	QueueLimit int
	// TokenTime is the duration of a step with a batch of one sequence; each further sequence
	// adds the fraction BatchSlope of it.
	TokenTime  time.Duration
	BatchSlope float64
	// PrefillRate is in input tokens per second.
	PrefillRate float64
	// CacheTokens is the capacity of the prefix cache.
	CacheTokens int
	// LoadLag is the age of the load report, EventLag the delay of the cache events.
	LoadLag  time.Duration
	EventLag time.Duration
	// EventGap drops every Nth cache event; 0 drops none.
	EventGap int
	// Grace is how long a stream without a reader is kept before it is cancelled.
	Grace time.Duration
	// Keep is how long the tokens of an ended stream can be read.
	Keep time.Duration
	// ChecksFencing makes the engine reject orders with an outdated fencing token.
	ChecksFencing bool
}

// Plain are the settings of one plain service instance.
type Plain struct {
	ID      ident.UpstreamID
	Addr    string
	Domain  ident.DomainID
	Service ident.ServiceID
	// Time is the mean duration of a call within Slots; each takes 0.5 to 1.5 times as
	// long.
	Time time.Duration
	// Slots is the number of concurrent calls above which calls take longer.
	Slots int
}

// Version are the settings of one version on all engines.
type Version struct {
	// Quality is the expected share of good answers, from 0 to 1.
	Quality float64
	// MeanTokens is the mean length of an answer in tokens.
	MeanTokens int
	// Slowness multiplies the token and prefill times.
	Slowness float64
	// ErrorRate is the fraction of the requests, from 0 to 1, that fail.
	ErrorRate float64
}

// Read reads a settings file, with overrides from env in the form NAME=VALUE. Its error lists
// all problems of the settings.
func Read(path string, env []string) (*Settings, error) {
	f, err := config.Read(path, env, nil)
	if err != nil {
		return nil, err
	}
	s := services(f)
	s.Versions = map[ident.VersionRef]Version{}
	for _, n := range f.Sections("engine ") {
		s.Engines = append(s.Engines, engine(f, n))
	}
	for _, n := range f.Sections("plain ") {
		s.Plains = append(s.Plains, plain(f, n))
	}
	for _, n := range f.Sections("version ") {
		ref, err := ident.ParseRef(strings.TrimPrefix(n, "version "))
		if err != nil {
			f.Reject(n, "", err.Error(), "MODEL@VERSION")
			continue
		}
		s.Versions[ref] = version(f.Section(n))
	}
	return s, f.Err()
}

// services reads the sections that occur once.
func services(f *config.File) *Settings {
	t, i, r, w := f.Section("table"), f.Section("instances"), f.Section("rating"), f.Section("weights")
	return &Settings{
		Control:   f.Section("standin").Addr("control", anyPort),
		Table:     Table{Addr: t.Addr("addr", anyPort), Writes: t.Float("writes-per-second", 400), Reads: t.Float("reads-per-second", 2000)},
		Instances: Instances{Addr: i.Addr("addr", anyPort), Lag: i.Duration("lag", time.Second)},
		Rating: Rating{
			Addr:    r.Addr("addr", anyPort),
			Delay:   r.Duration("delay", 5*time.Second),
			Missing: r.Float("missing", 0.5),
			Rate:    r.Float("requests-per-second", 50),
		},
		Weights: Weights{
			Addr:           w.Addr("addr", anyPort),
			BytesPerSecond: w.Float("bytes-per-second", 64<<20),
			VersionBytes:   w.Int("version-bytes", 64<<20),
		},
	}
}

func engine(f *config.File, name string) Engine {
	s := f.Section(name)
	e := Engine{
		ID:            ident.UpstreamID(strings.TrimPrefix(name, "engine ")),
		Addr:          s.Addr("addr", anyPort),
		Domain:        ident.DomainID(s.Text("domain", "local")),
		Kind:          ident.KindID(s.Text("kind", "engine")),
		Slots:         s.Int("slots", 8),
		QueueLimit:    s.Int("queue-limit", 256),
		TokenTime:     s.Duration("token-time", 10*time.Millisecond),
		BatchSlope:    s.Float("batch-slope", 0.05),
		PrefillRate:   s.Float("prefill-tokens-per-second", 20_000),
		CacheTokens:   s.Int("cache-tokens", 100_000),
		LoadLag:       s.Duration("load-lag", 500*time.Millisecond),
		EventLag:      s.Duration("event-lag", 200*time.Millisecond),
		EventGap:      s.Int("event-gap", 50),
		Grace:         s.Duration("grace", 5*time.Second),
		Keep:          s.Duration("keep", 30*time.Second),
		ChecksFencing: s.Bool("checks-fencing", true),
	}
	for _, v := range s.List("versions", nil) {
		ref, err := ident.ParseRef(v)
		if err != nil {
			f.Reject(name, "versions", err.Error(), "a list of MODEL@VERSION")
			continue
		}
		e.Loaded = append(e.Loaded, ref)
	}
	return e
}

func plain(f *config.File, name string) Plain {
	s := f.Section(name)
	id := strings.TrimPrefix(name, "plain ")
	return Plain{
		ID:      ident.UpstreamID(id),
		Addr:    s.Addr("addr", anyPort),
		Domain:  ident.DomainID(s.Text("domain", "local")),
		Service: ident.ServiceID(s.Text("service", id)),
		Time:    s.Duration("time", 10*time.Millisecond),
		Slots:   s.Int("slots", 32),
	}
}

func version(s *config.Section) Version {
	return Version{
		Quality:    s.Float("quality", 0.9),
		MeanTokens: s.Int("mean-tokens", 40),
		Slowness:   s.Float("slowness", 1),
		ErrorRate:  s.Float("error-rate", 0),
	}
}
