// Package setup reads the settings of the router and reloads those that may change while
// it runs.
package setup

import (
	"strconv"
	"time"

	"tarragonvalve.example/core/config"
	"tarragonvalve.example/core/ident"
)

// Settings are the settings of one router process.
type Settings struct {
	// Instance is the name of this instance.
	Instance string
	// Domain is the failure domain of this instance.
	Domain ident.DomainID
	// Clients is the address, IP:PORT, that listens for clients.
	Clients string
	// Admin is the address that serves readiness and metrics.
	Admin string
	// Share is the address that serves peers; empty means that they can't reach this instance.
	Share string
	// Seeds are the addresses of the peers from which instances read the store's content.
	// The first seed reads the store itself, and each other seed asks those before it.
	Seeds []string
	// Store is the address of the platform's store.
	Store    string
	LogLevel string
	MemoryMB int64 // MiB that the process may use; 0 means no limit
	// Processors is the number of threads that run Go code at a time; 0 leaves it to the runtime.
	Processors int
	// Profiles serves profiles of the process at the admin address, to its own machine.
	Profiles bool
	// LinkMbps is the rate of the network link in megabits a second; 0 means unknown.
	LinkMbps float64
	Bounds   Bounds
	// Values are what 1,000 weighted tokens of a correct response are worth, in the unit of
	// the models' prices, indexed by the route's priority. The last one also serves less
	// urgent routes.
	Values []float64
	// reread reads the settings once more, with the same sources.
	reread func() (*Settings, error)
}

// Bounds are the settings that are reloaded while the router runs.
type Bounds struct {
	// GracePeriod is the time between SIGTERM and SIGKILL.
	GracePeriod time.Duration
	// RevokeWithin is the time within which a revoked key must stop working.
	RevokeWithin time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries of all instances together;
	// see budget.Rule. A changed RetryWindow takes effect only after a restart.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// CanaryShare bounds the fraction of a service's requests that a bad version may get.
	CanaryShare float64
}

// maxProcessors is the largest number of processors that may be set.
const maxProcessors = 1024

// Read reads the settings from the file at path, the environment and the flags. It returns a
// *config.ProblemsError that lists all invalid settings.
func Read(path string, env []string, flags map[string]string) (*Settings, error) {
	f, err := config.Read(path, env, flags)
	if err != nil {
		return nil, err
	}
	r := f.Section("router")
	b := f.Section("bounds")
	s := &Settings{
		Instance:   r.Required("instance"),
		Domain:     ident.DomainID(r.Required("domain")),
		Clients:    r.Addr("clients", ""),
		Admin:      r.Addr("admin", ""),
		Share:      r.Addr("share", ""),
		Seeds:      r.List("seeds", nil),
		LogLevel:   r.Choice("log-level", "info", "debug", "info", "warn", "error"),
		MemoryMB:   int64(r.Int("memory-mb", 0)),
		Processors: r.IntIn("processors", 0, 0, maxProcessors),
		Profiles:   r.Bool("profiles", false),
		LinkMbps:   r.Float("link-mbps", 0),
		Store:      f.Section("store").Addr("address", ""),
		Bounds: Bounds{
			GracePeriod:  seconds(b.Float("grace-s", 8)),
			RevokeWithin: milliseconds(b.Float("revoke-ms", 5000)),
			RetryRatio:   b.Float("retry-ratio", 0.9),
			RetryWindow:  seconds(b.Float("retry-window-s", 10)),
			RetrySlack:   b.Float("retry-slack", 0),
			CanaryShare:  b.Float("canary-share", 0.1),
		},
	}
	s.Values = values(f, f.Section("cascade"))
	// The environment variable of the launcher that names the settings file has the form of a
	// setting, so it must count as known.
	f.Section("node").Text("file", "")
	validate(f, s)
	if err := f.Err(); err != nil {
		return nil, err
	}
	s.reread = func() (*Settings, error) { return Read(path, env, flags) }
	return s, nil
}

// defaultValues follow from the users' price sheets: a response's value divided by its
// weighted tokens, which are its prompt tokens and ten times its generated tokens.
var defaultValues = []string{"0.3", "0.25", "0.15"}

// values reads the list of values, each a number from 0. It reports an invalid list to f
// and returns nil.
func values(f *config.File, s *config.Section) []float64 {
	var out []float64
	for _, t := range s.List("values", defaultValues) {
		v, err := strconv.ParseFloat(t, 64)
		if err != nil || v < 0 {
			f.Reject("cascade", "values", "not a list of values", "numbers from 0")
			return nil
		}
		out = append(out, v)
	}
	return out
}

// validate reports missing addresses and bounds that must be positive to f.
func validate(f *config.File, s *Settings) {
	if s.Clients == "" {
		f.Reject("router", "clients", "missing", "IP:PORT")
	}
	if s.Admin == "" {
		f.Reject("router", "admin", "missing", "IP:PORT")
	}
	if s.Store == "" {
		f.Reject("store", "address", "missing", "IP:PORT")
	}
	if s.LinkMbps < 0 {
		f.Reject("router", "link-mbps", "negative", "megabits a second, or 0 if it is not known")
	}
	b := s.Bounds
	if b.RevokeWithin <= 0 {
		f.Reject("bounds", "revoke-ms", "not positive", "milliseconds")
	}
	if b.RetryWindow <= 0 {
		f.Reject("bounds", "retry-window-s", "not positive", "seconds")
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
