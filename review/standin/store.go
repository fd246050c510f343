package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's store: rows in tables with one counter of versions, a feed of
// changes with long polling, and conditional transactions. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	version uint64
	history []row
	changed chan struct{}
	started time.Time
}

// newStore returns an empty store.
func newStore() *store {
	return &store{changed: make(chan struct{}), started: time.Now()}
}

// door is an address of a store for one machine, so that the store can turn single machines away.
type door struct {
	*store
	address string
	// away is true while the machine gets no answer. The mutex of the store guards it and onRead.
	away bool
	// onRead is called when a read of the table op arrives that is answered with rows; it may be nil.
	onRead func()
}

// storeTime is how long the store takes for an answer, as on the users' sheets.
const storeTime = 4 * time.Millisecond

// newDoor opens a door on a free loopback port.
func (s *store) newDoor() (*door, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &door{store: s, address: l.Addr().String()}
	go http.Serve(l, d) //nolint:errcheck // it serves until the program ends
	return d, nil
}

// put writes a row as the operator or a server does. Its return is the store's acknowledgement.
func (s *store) put(table, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = append(s.history, row{Table: table, Key: key, Data: b, Version: s.version})
	s.notify()
}

// setAway sets whether the machine gets no answer, and what is called at its next read of the table op.
func (d *door) setAway(away bool, onRead func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away, d.onRead = away, onRead
	d.notify()
}

// notify wakes the calls that wait for a change. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of routers.
func (d *door) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if d.isAway() {
		<-q.Context().Done()
		return
	}
	switch q.URL.Path {
	case "/rows-get":
		d.get(w, q)
	case "/rows-feed":
		d.feed(w, q)
	case "/rows-tx":
		d.commit(w, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (d *door) isAway() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.away
}

func (s *store) reply(w http.ResponseWriter, status int, rs []row, version uint64) {
	if rs == nil {
		rs = []row{}
	}
	b, err := json.Marshal(map[string]any{
		"rows": rs, "row_version": version, "has_more": false,
		"server_time_ms": float64(time.Since(s.started)) / float64(time.Millisecond),
	})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}

// current returns the rows of a table. The caller holds the lock.
func (s *store) current(table string) map[string]row {
	out := map[string]row{}
	for _, r := range s.history {
		switch {
		case r.Table != table:
		case r.Deleted:
			delete(out, r.Key)
		default:
			out[r.Key] = r
		}
	}
	return out
}

func (d *door) get(w http.ResponseWriter, q *http.Request) {
	table := q.URL.Query().Get("table_name")
	d.mu.Lock()
	var rs []row
	for _, r := range d.current(table) {
		rs = append(rs, r)
	}
	version, hook := d.version, d.onRead
	d.mu.Unlock()
	sort.Slice(rs, func(i, j int) bool { return rs[i].Key < rs[j].Key })
	if table == "op" && hook != nil {
		hook()
	}
	time.Sleep(storeTime)
	d.reply(w, http.StatusOK, rs, version)
}

func (d *door) feed(w http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	after, err := strconv.ParseUint(v.Get("since_revision"), 10, 64)
	ms, err2 := strconv.Atoi(v.Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for over := false; ; {
		d.mu.Lock()
		var rs []row
		for _, r := range d.history {
			if r.Version > after && r.Table == v.Get("table_name") {
				rs = append(rs, r)
			}
		}
		version, away, c := d.version, d.away, d.changed
		d.mu.Unlock()
		if away {
			<-q.Context().Done()
			return
		}
		if len(rs) > 0 || over {
			d.reply(w, http.StatusOK, rs, version)
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-t.C:
			over = true
		case <-c:
		}
	}
}

func (s *store) commit(w http.ResponseWriter, q *http.Request) {
	var t struct{ Precondition, Write, Remove []row }
	if err := json.NewDecoder(q.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	ok := true
	var now []row
	for _, p := range t.Precondition {
		r := s.current(p.Table)[p.Key]
		ok = ok && r.Version == p.Version
		if r.Version > 0 {
			now = append(now, r)
		}
	}
	if ok {
		now = nil
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
	}
	version := s.version
	s.mu.Unlock()
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, now, version)
		return
	}
	s.reply(w, http.StatusOK, nil, version)
}
