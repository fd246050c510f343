package boot

import (
	"context"
	"time"

	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/router/known"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/place"
)

// cleanInterval is how often the book of upstreams takes the list in force.
const cleanInterval = 5 * time.Second

// cleaner tells the book how many upstreams each service has, and bounds the memory that
// those of the past and their notices take.
type cleaner struct {
	book    *place.Balancer
	notices *notice.Registry
	node    *known.Syncer
}

// Name is the name of the step.
func (c *cleaner) Name() string { return "cleaner" }

// Run works until ctx ends.
func (c *cleaner) Run(ctx context.Context) error {
	return serve.Every(ctx, cleanInterval, func(context.Context) {
		now := time.Now()
		c.book.UpdateUpstreams(c.node.View().Fleet, now)
		c.notices.Expire(now)
	})
}
