package pins

import (
	"context"
	"time"

	"tarragonvalve.example/router/mirror"
)

// updateInterval is how often sessions that have ended are forgotten.
const updateInterval = 2 * time.Second

// Component updates a Registry when the view changes. It implements serve.Component.
type Component struct {
	*Registry
	Syncer *mirror.Syncer
}

// Name implements serve.Component.
func (c *Component) Name() string { return "pins" }

// Run updates the registry until ctx ends. It always returns nil.
func (c *Component) Run(ctx context.Context) error {
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	for {
		changed := c.Syncer.Changed()
		c.Update(c.Syncer.View(), time.Now())
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-t.C:
		}
	}
}
