// Package boot wires the entry program's parts.
package boot

import (
	"context"
	"io"

	"tarragonvalve.example/core/ident"
	"tarragonvalve.example/core/launch"
	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/entry/setup"
)

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return launch.Program[*setup.Settings]{
		Name:  "entry",
		About: "The entry serves callers and operators and routes requests to the agents beside the upstreams.",
		Read:  setup.Read,
		Run:   Run,
	}.Main(args, out, errs)
}

// Run runs an entry until the context ends and its drain is over. It writes one
// JSON line with the addresses that it listens on to out.
func Run(ctx context.Context, s *setup.Settings, out, logs io.Writer) error {
	s.Entry.Instance = instance(s.Entry)
	steps, err := build(s, out, logs)
	if err != nil {
		return err
	}
	return serve.Run(ctx, steps)
}

func instance(e setup.Entry) ident.InstanceID {
	if e.Instance == "" {
		return launch.Instance("entry-" + string(e.Domain))
	}
	return launch.Instance(string(e.Instance))
}
