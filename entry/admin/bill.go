package admin

import (
	"context"

	"tarragonvalve.example/core/refuse"
)

func (a *API) bill(_ context.Context, _ *call) (any, error) {
	return nil, refuse.New(refuse.NotFound, refuse.NotRun, "no bill yet")
}
