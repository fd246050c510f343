// Package serve starts and stops the steps of a program in a fixed order.
package serve

import (
	"context"
	"errors"
	"fmt"
)

// Step is one long-running part of a program.
type Step interface {
	Name() string
	// Run works until ctx ends and returns nil then.
	Run(ctx context.Context) error
}

// Starter is a Step that later steps wait for.
type Starter interface {
	Step
	// Ready returns a channel that is closed when later steps may start.
	Ready() <-chan struct{}
}

// StepError reports the step that failed.
type StepError struct {
	Step string
	Err  error
}

func (e *StepError) Error() string {
	return fmt.Sprintf("run step %s: %v", e.Step, e.Err)
}

func (e *StepError) Unwrap() error {
	return e.Err
}

type running struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Run starts the steps in order and runs them until ctx ends or one of them
// fails. It then stops them one by one in reverse order, waiting for each, and
// returns the first error, a *StepError. A step that returns nil early has done its work.
func Run(ctx context.Context, steps []Step) error {
	// Steps don't inherit the end of ctx: it would stop all of them at once.
	base := context.WithoutCancel(ctx)
	failed := make(chan error, len(steps))
	var started []running
	var first error
	for _, s := range steps {
		r := start(base, s, failed)
		started = append(started, r)
		if first = ready(ctx, s, r, failed); first != nil || ctx.Err() != nil {
			break
		}
	}
	if first == nil {
		select {
		case <-ctx.Done():
		case first = <-failed:
		}
	}
	for i := len(started) - 1; i >= 0; i-- {
		started[i].cancel()
		<-started[i].done
	}
	if first == nil {
		select {
		case first = <-failed:
		default:
		}
	}
	return first
}

func start(base context.Context, s Step, failed chan<- error) running {
	ctx, cancel := context.WithCancel(base)
	r := running{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		err := s.Run(ctx)
		if err == nil || (ctx.Err() != nil && errors.Is(err, context.Canceled)) {
			return
		}
		failed <- &StepError{Step: s.Name(), Err: err}
	}()
	return r
}

// ready waits until later steps may start.
func ready(ctx context.Context, s Step, r running, failed <-chan error) error {
	w, ok := s.(Starter)
	if !ok {
		return nil
	}
	select {
	case <-w.Ready():
		return nil
	case <-r.done:
	case <-ctx.Done():
		return nil
	}
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}
