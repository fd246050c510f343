package boot

import (
	"context"
	"time"

	"tarragonvalve.example/core/serve"
	"tarragonvalve.example/router/crash"
	"tarragonvalve.example/router/mirror"
	"tarragonvalve.example/router/notice"
	"tarragonvalve.example/router/place"
	"tarragonvalve.example/router/poison"
	"tarragonvalve.example/router/speed"
)

// cleanInterval is how often the cleaner runs.
const cleanInterval = 5 * time.Second

// cleaner updates the balancer from the list of upstreams in force, and removes expired
// notices, attempts and evidence. This bounds the memory for upstreams that no longer exist. It is a
// serve.Component.
type cleaner struct {
	balancer *place.Balancer
	notices  *notice.Registry
	crashes  *crash.Monitor
	poison   *poison.Registry
	speeds   *speed.Registry
	syncer   *mirror.Syncer
}

// Name implements serve.Component.
func (c *cleaner) Name() string { return "cleaner" }

// Run updates and expires at each cleanInterval until ctx ends. It always returns nil.
func (c *cleaner) Run(ctx context.Context) error {
	return serve.Every(ctx, cleanInterval, func(context.Context) {
		now := time.Now()
		l := c.syncer.View().Fleet
		c.balancer.UpdateUpstreams(l, now)
		c.speeds.UpdateUpstreams(l)
		c.notices.Expire(now)
		c.crashes.Expire(now)
		c.poison.Expire(now)
	})
}
