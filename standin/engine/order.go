package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"tarragonvalve.example/core/ident"
)

const (
	// maxOrders is the number of orders kept for the control API.
	maxOrders = 10_000
	// eventPollInterval is the time between two checks for new cache events of a reader.
	eventPollInterval = 50 * time.Millisecond
	// weightLoadTimeout bounds the download of the weights of an ordered version.
	weightLoadTimeout = 10 * time.Minute
)

// Order is the body of POST /v1/orders: a change of the engine that a lease holder orders.
type Order struct {
	// Kind is load, unload, adapter or role.
	Kind    string          `json:"kind"`
	Model   ident.ModelID   `json:"model"`
	Version ident.VersionID `json:"version"`
	Adapter string          `json:"adapter"`
	Role    string          `json:"role"`
	Lease   string          `json:"lease"`
	Token   uint64          `json:"token"`
}

// OrderRecord is a received order in the format of the control API.
type OrderRecord struct {
	Order
	At       time.Time        `json:"at"`
	Engine   ident.UpstreamID `json:"engine"`
	Accepted bool             `json:"accepted"`
	// Stale is true if a higher fencing token of the same lease was accepted before.
	Stale bool `json:"stale"`
}

// Orders returns the first maxOrders orders received.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]OrderRecord(nil), e.orders...)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, "invalid_request_error", err.Error())
		return
	}
	switch o.Kind {
	case "load", "unload", "adapter", "role":
	default:
		writeError(w, http.StatusBadRequest, "invalid_request_error", "unknown order kind "+strconv.Quote(o.Kind))
		return
	}
	if highest, ok := e.accept(o); !ok {
		writeJSON(w, http.StatusConflict, map[string]any{"error": map[string]any{
			"message": "a higher fencing token was seen",
			"type":    "fencing_token_old",
			"code":    "fencing_token_old",
			"highest": highest,
		}})
		return
	}
	writeJSON(w, http.StatusAccepted, map[string]any{"accepted": true})
}

// accept records an order and executes it, unless its token is outdated and the engine checks
// tokens. It returns the highest token of the lease before the order, and whether the order
// was accepted.
func (e *Engine) accept(o Order) (uint64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	highest := e.highestTokens[o.Lease]
	rec := OrderRecord{Order: o, At: time.Now(), Engine: e.o.ID, Stale: o.Token < highest}
	rec.Accepted = !rec.Stale || !e.o.ChecksFencing
	if len(e.orders) < maxOrders {
		e.orders = append(e.orders, rec)
	}
	if !rec.Accepted {
		e.counts.RejectedOrders++
		return highest, false
	}
	if rec.Stale {
		e.counts.StaleOrders++
	}
	e.highestTokens[o.Lease] = max(highest, o.Token)
	e.execute(o)
	return highest, true
}

// execute carries out an order. A load completes in the background once the weights are there.
// The caller holds the lock.
func (e *Engine) execute(o Order) {
	ref := ident.VersionRef{Model: o.Model, Version: o.Version}
	switch o.Kind {
	case "unload":
		delete(e.loaded, ref)
	case "role":
		e.role = o.Role
	case "load", "adapter":
		go e.loadVersion(ref)
	}
}

// loadVersion downloads the weights of a version and then serves it. If the download fails,
// the version is not loaded.
func (e *Engine) loadVersion(ref ident.VersionRef) {
	ctx, cancel := context.WithTimeout(context.Background(), weightLoadTimeout)
	defer cancel()
	if err := e.fetchWeights(ctx, ref); err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded[ref] = true
}

func (e *Engine) kvEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	f := http.NewResponseController(w)
	_ = f.Flush()
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	t := time.NewTicker(eventPollInterval)
	defer t.Stop()
	for {
		e.mu.Lock()
		es := e.cache.visible(after, e.o.EventGap, time.Now().Add(-e.o.EventLag))
		e.mu.Unlock()
		for _, v := range es {
			b, _ := json.Marshal(v)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", v.Sequence, b)
			after = v.Sequence
		}
		if len(es) > 0 {
			_ = f.Flush()
		}
		select {
		case <-r.Context().Done():
			return
		case <-t.C:
		}
	}
}

// exportBlock answers the size of a cached block, 404 if it is not cached.
func (e *Engine) exportBlock(w http.ResponseWriter, r *http.Request) {
	h, err := strconv.ParseUint(chi.URLParam(r, "hash"), 16, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.cache.blocks[h]
	if err != nil || !ok {
		writeError(w, http.StatusNotFound, "block_not_found", "no such block")
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"hash": hexHash(h), "tokens": b.tokens})
}

// importBlock adds a block of the given size to the cache.
func (e *Engine) importBlock(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Tokens int `json:"tokens"`
	}
	h, err := strconv.ParseUint(chi.URLParam(r, "hash"), 16, 64)
	if err != nil || json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b) != nil || b.Tokens < 1 {
		writeError(w, http.StatusBadRequest, "invalid_request_error", "want a hash and tokens")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(h, b.Tokens, time.Now())
	w.WriteHeader(http.StatusNoContent)
}
