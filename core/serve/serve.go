// Package serve starts the components of a program in a fixed order and stops
// them in the reverse order.
package serve

import (
	"context"
	"errors"
	"fmt"
)

// Component is a long-running part of a program.
type Component interface {
	// Name identifies the component in a *ComponentError.
	Name() string
	// Run runs until ctx ends and then returns nil or context.Canceled. Any other
	// error stops the whole program.
	Run(ctx context.Context) error
}

// ReadyComponent is a Component that must be ready before the next one starts.
type ReadyComponent interface {
	Component
	// Ready returns a channel that is closed when the next component may start.
	Ready() <-chan struct{}
}

// ComponentError reports which component failed and why.
type ComponentError struct {
	// Component is the name of the component.
	Component string
	Err       error
}

func (e *ComponentError) Error() string {
	return fmt.Sprintf("run component %s: %v", e.Component, e.Err)
}

func (e *ComponentError) Unwrap() error {
	return e.Err
}

// running is a component that was started.
type running struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Run starts the components in order and runs them until ctx ends or one of them
// fails. It then stops them one at a time in reverse order, waiting for each, and
// returns the first error, a *ComponentError. A component that returns nil before
// ctx ends has finished its work; the others keep running.
func Run(ctx context.Context, components []Component) error {
	// Components don't inherit the cancellation of ctx, which would stop all of them at once.
	base := context.WithoutCancel(ctx)
	failed := make(chan error, len(components))
	var started []running
	var first error
	for _, c := range components {
		r := start(base, c, failed)
		started = append(started, r)
		if first = ready(ctx, c, r, failed); first != nil || ctx.Err() != nil {
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

// start runs c in a goroutine and sends its error to failed. A context.Canceled
// that c returns after it was stopped is not an error.
func start(base context.Context, c Component, failed chan<- error) running {
	ctx, cancel := context.WithCancel(base)
	r := running{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(r.done)
		err := c.Run(ctx)
		if err == nil || (ctx.Err() != nil && errors.Is(err, context.Canceled)) {
			return
		}
		failed <- &ComponentError{Component: c.Name(), Err: err}
	}()
	return r
}

// ready waits until c is ready, has returned or ctx ends. If c returned, it returns
// the first error in failed, or nil. It doesn't wait for a component without Ready.
func ready(ctx context.Context, c Component, r running, failed <-chan error) error {
	w, ok := c.(ReadyComponent)
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
