package boot

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"tarragonvalve.example/core/accept"
	"tarragonvalve.example/core/envdoc"
	"tarragonvalve.example/core/event"
	"tarragonvalve.example/core/ledger"
	"tarragonvalve.example/core/logger"
	"tarragonvalve.example/core/opsapi"
	"tarragonvalve.example/core/spread"
	"tarragonvalve.example/core/table"
	"tarragonvalve.example/entry/admin"
	"tarragonvalve.example/entry/fanout"
	"tarragonvalve.example/entry/setup"
)

// bills implements admin.Bills by reading the receipts in the table.
type bills struct{ client table.Client }

// Receipts implements admin.Bills.
func (b bills) Receipts(ctx context.Context, from, to time.Time) ([]ledger.Receipt, error) {
	return ledger.Load(ctx, b.client, from, to)
}

func newAdminHandler(s *setup.Settings, a *accept.Store, n *spread.Replica, f *fanout.Fanout, t table.Client, r *event.Ring, h *readiness, m *prometheus.Registry, l zerolog.Logger) http.Handler {
	var ks []admin.Key
	for _, o := range s.Operators {
		ks = append(ks, admin.Key{Operator: o.ID, Digest: envdoc.KeyDigest(o.KeyDigest), Role: opsapi.Role(o.Role)})
	}
	return admin.New(admin.Options{
		Environment: s.Control.Environment,
		Instance:    s.Entry.Instance,
		Program:     "entry",
		Keys:        ks,
		Store:       a,
		State:       n,
		Fleet:       f,
		Bills:       bills{client: t},
		Ring:        r,
		Log:         logger.Part(l, "admin"),
		Now:         time.Now,
		Ready:       h.ready,
		Metrics:     m,
	}).Handler()
}
