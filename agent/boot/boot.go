// Package boot wires the agent program's parts.
package boot

import (
	"context"
	"io"

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

// Run runs an agent until the context ends and its drain is over. It writes
// one JSON line with the addresses that it listens on to out.
func Run(ctx context.Context, s *setup.Settings, out, logs io.Writer) error {
	if s.Agent.Instance == "" {
		s.Agent.Instance = launch.NewInstanceID(string(s.Upstream.ID))
	}
	steps, err := build(s, out, logs)
	if err != nil {
		return err
	}
	return serve.Run(ctx, steps)
}
