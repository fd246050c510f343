// Package setup reads the settings of the router.
package setup

import (
	"strconv"
	"time"

	"tarragonvalve.example/core/config"
	"tarragonvalve.example/core/ident"
)

// Settings are the settings of one router process.
type Settings struct {
	Instance string
	Domain   ident.DomainID
	// Clients is the address for clients, Admin the one for readiness and metrics.
	Clients string
	Admin   string
	// Share is the address for peers; empty means that they can't reach this instance.
	Share string
	// Seeds are the addresses of peers that read the store, in the order in which they are asked.
	Seeds []string
	// Store is the address of the platform's store.
	Store    string
	LogLevel string
	Memory   int64 // MB that the process may use; 0 means no bound
	Bounds   Bounds
	// Values are what 1,000 weighted tokens of a right answer are worth, in the
	// unit of the models' prices, by the priority of the route. Less urgent routes
	// than the list has entries for take the last one.
	Values []float64
	// again reads the settings from where they came from.
	again func() (*Settings, error)
}

// Bounds are the deployment's bounds on the router's behaviour.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Revoke is the time within which a key that was taken away must stop.
	Revoke time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound repeats over all instances.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// CanaryShare bounds the part of the requests that a bad version may get.
	CanaryShare float64
}

// Read reads the settings. It returns a *config.ProblemsError with all faults.
func Read(path string, env []string, flags map[string]string) (*Settings, error) {
	f, err := config.Read(path, env, flags)
	if err != nil {
		return nil, err
	}
	r := f.Section("router")
	b := f.Section("bounds")
	s := &Settings{
		Instance: r.Required("instance"),
		Domain:   ident.DomainID(r.Required("domain")),
		Clients:  r.Addr("clients", ""),
		Admin:    r.Addr("admin", ""),
		Share:    r.Addr("share", ""),
		Seeds:    r.List("seeds", nil),
		LogLevel: r.Choice("log-level", "info", "debug", "info", "warn", "error"),
		Memory:   int64(r.Int("memory-mb", 0)),
		Store:    f.Section("store").Addr("address", ""),
		Bounds: Bounds{
			Grace:       seconds(b.Float("grace-s", 8)),
			Revoke:      milliseconds(b.Float("revoke-ms", 5000)),
			RetryRatio:  b.Float("retry-ratio", 0.9),
			RetryWindow: seconds(b.Float("retry-window-s", 10)),
			RetrySlack:  b.Float("retry-slack", 0),
			CanaryShare: b.Float("canary-share", 0.1),
		},
	}
	s.Values = values(f, f.Section("cascade"))
	// The launcher's variable that names the settings file has the form of a setting.
	f.Section("node").Text("file", "")
	check(f, s)
	if err := f.Err(); err != nil {
		return nil, err
	}
	s.again = func() (*Settings, error) { return Read(path, env, flags) }
	return s, nil
}

// defaultValues follow from the users' sheets: an answer's worth over its prompt
// tokens and ten times its generated ones.
var defaultValues = []string{"0.3", "0.25", "0.15"}

func values(f *config.File, s *config.Section) []float64 {
	var out []float64
	for _, t := range s.List("values", defaultValues) {
		v, err := strconv.ParseFloat(t, 64)
		if err != nil || v < 0 {
			f.Reject("cascade", "values", "not a list of worths", "numbers from 0")
			return nil
		}
		out = append(out, v)
	}
	return out
}

// check rejects values that can't work, apart from their defaults.
func check(f *config.File, s *Settings) {
	if s.Clients == "" {
		f.Reject("router", "clients", "missing", "IP:PORT")
	}
	if s.Admin == "" {
		f.Reject("router", "admin", "missing", "IP:PORT")
	}
	if s.Store == "" {
		f.Reject("store", "address", "missing", "IP:PORT")
	}
	b := s.Bounds
	if b.Revoke <= 0 {
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
