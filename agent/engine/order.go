package engine

import (
	"context"
	"encoding/json"
	"net/http"
)

// Order is an order to an engine. Kind is load, unload, adapter or role.
type Order struct {
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Lease   string `json:"lease"`
	Token   uint64 `json:"token"`
}

// Order sends an order. An engine that checks fencing tokens answers an old one
// with a *RefusedError that has status 409.
func (c *Client) Order(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.ReportLimit)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return &RefusedError{Status: http.StatusBadRequest, Message: err.Error()}
	}
	res, err := c.send(ctx, http.MethodPost, "/v1/orders", body, "")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode >= 300 {
		return refused(res)
	}
	return nil
}
