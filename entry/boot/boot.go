// Package boot builds the entry program from its components and runs them.
package boot

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/launch"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/entry/setup"
)

// Main runs the program with its command line and returns the exit code.
func Main(args []string, out, errs io.Writer) int {
	return launch.Program[*setup.Settings]{
		Name:        "entry",
		Description: "The entry serves callers and operators and routes requests to the agents beside the upstreams.",
		Read:        setup.Read,
		Run:         Run,
	}.Main(args, out, errs)
}

// Run runs an entry until ctx ends and the entry has drained. It writes one JSON
// line with the instance id and the listening addresses to out, and logs to logs.
func Run(ctx context.Context, s *setup.Settings, out, logs io.Writer) error {
	// Its default action ends the process with all requests in progress. Settings are read only at the start.
	signal.Ignore(syscall.SIGHUP)
	s.Entry.Instance = instance(s.Entry)
	steps, err := build(s, out, logs)
	if err != nil {
		return err
	}
	return serve.Run(ctx, steps)
}

// instance returns an instance id that is unique to this start of the process. It
// begins with the configured id, or with that of the failure domain.
func instance(e setup.Entry) ident.InstanceID {
	if e.Instance == "" {
		return launch.NewInstanceID("entry-" + string(e.Domain))
	}
	return launch.NewInstanceID(string(e.Instance))
}
