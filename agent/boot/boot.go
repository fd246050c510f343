// Package boot constructs the components of the agent program and runs them.
package boot

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"tarragonvalve.example/agent/setup"
	"tarragonvalve.example/core/launch"
	"tarragonvalve.example/core/serve"
)

// Main runs the program and returns its exit code.
func Main(args []string, out, errs io.Writer) int {
	return launch.Program[*setup.Settings]{
		Name:        "agent",
		Description: "The agent runs beside one upstream, a model engine or a plain service, and checks all work before it runs.",
		Read:        setup.Read,
		Run:         Run,
	}.Main(args, out, errs)
}

// Run runs an agent until ctx ends and the drain is over. It writes its instance and the
// addresses on which it listens to out, as one line of JSON. Without an instance in the
// settings it creates one.
func Run(ctx context.Context, s *setup.Settings, out, logs io.Writer) error {
	// Its default action ends the process with all requests in progress. Settings are read only at the start.
	signal.Ignore(syscall.SIGHUP)
	if s.Agent.Instance == "" {
		s.Agent.Instance = launch.NewInstanceID(string(s.Upstream.ID))
	}
	steps, err := build(s, out, logs)
	if err != nil {
		return err
	}
	return serve.Run(ctx, steps)
}
