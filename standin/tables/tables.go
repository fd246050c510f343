// Package tables is a stand-in for the users' store: rows in tables, conditional
// transactions and a change feed with long polling, over HTTP.
package tables

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Row is one version of a row in the store's JSON format.
type Row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowKey identifies a row.
type rowKey struct {
	table, key string
}

// Fault is a fault of the store: one of the types below.
type Fault interface{ fault() }

type (
	// Busy answers 503 to every call.
	Busy struct{}
	// Silent sends no response until the client closes the connection.
	Silent struct{}
	// StaleClock subtracts By from the server time in the responses to /rows-get. The
	// rows are current.
	StaleClock struct{ By time.Duration }
	// SlowTable delays the responses to /rows-get of a table.
	SlowTable struct {
		Table string
		By    time.Duration
	}
	// LostWrites applies transactions and closes the connection without a response.
	LostWrites struct{}
)

func (Busy) fault()       {}
func (Silent) fault()     {}
func (StaleClock) fault() {}
func (SlowTable) fault()  {}
func (LostWrites) fault() {}

// Store holds rows in memory. It is safe for concurrent use.
type Store struct {
	mu              sync.Mutex
	version         uint64
	history         []Row // all versions of all rows, in ascending order
	compactedBefore uint64
	changed         chan struct{}
	fault           Fault
	startTime       time.Time
	calls           int
	// era is the number of times that the store was restored, from 1.
	era int
}

// New returns an empty store.
func New() *Store {
	return &Store{changed: make(chan struct{}), startTime: time.Now(), era: 1}
}

// SetFault sets the active fault; nil clears it.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	// Wakes the feed calls that wait, so that the fault applies to them too.
	s.notify()
}

// Calls returns the number of HTTP requests so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row unconditionally and returns its version.
func (s *Store) Put(table, key string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = append(s.history, Row{Table: table, Key: key, Data: data, Version: s.version})
	s.notify()
	return s.version
}

// PutJSON writes a row unconditionally with the JSON encoding of v.
func (s *Store) PutJSON(table, key string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	s.Put(table, key, b)
	return nil
}

// Delete deletes a row unconditionally.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = append(s.history, Row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.notify()
}

// Get returns the current version of a row, or false if the row does not exist.
func (s *Store) Get(table, key string) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rowsAt(s.version)[rowKey{table, key}]
	return r, ok
}

// Compact makes the changes so far unavailable to the feed: a call that asks for changes
// after the current version or an earlier one gets 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedBefore = s.version + 1
	s.notify()
}

// Version returns the version of the newest transaction.
func (s *Store) Version() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Restore brings the store back to a version, as from a copy: later transactions are lost, and their
// versions are given out again.
func (s *Store) Restore(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > version })
	s.history = s.history[:n:n]
	s.version = version
	s.era++
	s.notify()
}

// notify wakes the feed calls that wait. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rowsAt returns the rows that existed at a version. The caller holds the lock.
func (s *Store) rowsAt(version uint64) map[rowKey]Row {
	out := map[rowKey]Row{}
	for _, r := range s.history {
		if r.Version > version {
			break
		}
		if r.Deleted {
			delete(out, rowKey{r.Table, r.Key})
			continue
		}
		out[rowKey{r.Table, r.Key}] = r
	}
	return out
}

// ServeHTTP serves /rows-get (all rows of a table), /rows-feed (changes after a version)
// and /rows-tx (a conditional transaction).
func (s *Store) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	s.calls++
	f := s.fault
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	switch f.(type) {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		<-q.Context().Done()
		return
	}
	switch q.URL.Path {
	case "/rows-get":
		s.get(w, q, f)
	case "/rows-feed":
		s.feed(w, q)
	case "/rows-tx":
		s.commit(w, q, f)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type answer struct {
	Rows    []Row   `json:"rows"`
	Version uint64  `json:"row_version"`
	Clock   float64 `json:"server_time_ms"`
	More    bool    `json:"has_more"`
}

func (s *Store) reply(w http.ResponseWriter, status int, rs []Row, version uint64, clock time.Duration) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if rs == nil {
		rs = []Row{}
	}
	// A write error means that the client closed the connection; there is nothing to do.
	_ = json.NewEncoder(w).Encode(answer{Rows: rs, Version: version, Clock: float64(clock) / float64(time.Millisecond)})
}

func (s *Store) get(w http.ResponseWriter, q *http.Request, f Fault) {
	table := q.URL.Query().Get("table_name")
	if x, ok := f.(SlowTable); ok && x.Table == table {
		time.Sleep(x.By)
	}
	s.mu.Lock()
	version, clock := s.version, time.Since(s.startTime)
	if x, ok := f.(StaleClock); ok {
		clock -= x.By
	}
	var rs []Row
	for k, r := range s.rowsAt(version) {
		if k.table == table {
			rs = append(rs, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(rs, func(i, j int) bool { return rs[i].Key < rs[j].Key })
	s.reply(w, http.StatusOK, rs, version, clock)
}

// feed waits up to wait_ms for changes of a table after since_revision. It answers 410 if
// these changes were compacted.
func (s *Store) feed(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	after, err := strconv.ParseUint(v.Get("since_revision"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(v.Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, stop := context.WithTimeout(q.Context(), time.Duration(ms)*time.Millisecond)
	defer stop()
	for {
		s.mu.Lock()
		rs, version, f, c := s.changesAfter(v.Get("table_name"), after), s.version, s.fault, s.changed
		lost := after < s.compactedBefore || after > s.version
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		clock := time.Since(s.startTime)
		s.mu.Unlock()
		switch f.(type) {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case Silent:
			<-q.Context().Done()
			return
		}
		if lost {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rs) > 0 || ctx.Err() != nil {
			s.reply(w, http.StatusOK, rs, version, clock)
			return
		}
		select {
		case <-ctx.Done():
		case <-c:
		}
	}
}

// changesAfter returns the changes of a table after a version. The caller holds the lock.
func (s *Store) changesAfter(table string, after uint64) []Row {
	var rs []Row
	for _, r := range s.history {
		if r.Version > after && r.Table == table {
			rs = append(rs, r)
		}
	}
	return rs
}

type transaction struct {
	Precondition []Row `json:"precondition"`
	Write        []Row `json:"write"`
	Remove       []Row `json:"remove"`
}

func (s *Store) commit(w http.ResponseWriter, q *http.Request, f Fault) {
	var t transaction
	if err := json.NewDecoder(q.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	rs, ok := s.apply(t)
	version, clock := s.version, time.Since(s.startTime)
	s.mu.Unlock()
	if _, lost := f.(LostWrites); lost {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, rs, version, clock)
		return
	}
	s.reply(w, http.StatusOK, nil, version, clock)
}

// apply commits a transaction if the versions of all rows in its precondition match.
// Otherwise it returns the existing rows among those of the precondition. The caller holds
// the lock.
func (s *Store) apply(t transaction) ([]Row, bool) {
	now := s.rowsAt(s.version)
	var current []Row
	ok := true
	for _, p := range t.Precondition {
		r := now[rowKey{p.Table, p.Key}]
		if r.Version != p.Version {
			ok = false
		}
		if r.Version > 0 {
			current = append(current, r)
		}
	}
	if !ok {
		return current, false
	}
	s.version++
	for _, r := range t.Write {
		r.Version = s.version
		s.history = append(s.history, r)
	}
	for _, r := range t.Remove {
		r.Version, r.Deleted = s.version, true
		s.history = append(s.history, r)
	}
	s.notify()
	return nil, true
}
