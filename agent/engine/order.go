package engine

import (
	"context"
	"encoding/json"
	"net/http"

	"tarragonvalve.example/core/clock"
	"tarragonvalve.example/core/inlet"
)

// Order tells an engine to load or unload a version, load an adapter or change its role.
// Kind is load, unload, adapter or role.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Lease   string `json:"lease"`
	Token   uint64 `json:"token"`
}

// Order sends an order. If the engine checks fencing tokens and refuses an old one, it
// returns a *StatusError with status 409.
func (c *Client) Order(ctx context.Context, o Order) error {
	ctx, cancel := clock.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return &StatusError{Status: http.StatusBadRequest, Message: err.Error()}
	}
	res, err := c.send(ctx, http.MethodPost, "/v1/orders", body, "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= 300 {
		return newStatusError(res)
	}
	// Only a whole answer shows that the order was accepted.
	if _, err := inlet.ReadAll(res.Body, c.options.BaseURL, maxReport); err != nil {
		return &BrokenError{Op: "read the answer to an order", Err: clock.TimeoutOr(ctx, err)}
	}
	return nil
}
