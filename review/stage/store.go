package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    []byte `json:"data,omitempty"`
	Version uint64 `json:"row_version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a linearizable stand-in for the platform's store. It keeps its whole history of removals.
type store struct {
	mu      sync.Mutex
	rows    map[[2]string]storeRow // by table and key
	version uint64
	began   time.Time
	changed chan struct{}
	server  *http.Server
	address string
}

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func newStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[[2]string]storeRow{}, began: time.Now().Add(-time.Hour), changed: make(chan struct{}), address: l.Addr().String()}
	m := http.NewServeMux()
	m.HandleFunc("GET /rows-get", s.get)
	m.HandleFunc("GET /rows-feed", s.feed)
	m.HandleFunc("POST /rows-tx", s.transact)
	s.server = &http.Server{Handler: m}
	go s.server.Serve(l)
	return s, nil
}

// put writes a row as the operator or a server does.
func (s *store) put(table, key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storeRow{Table: table, Key: key, Data: b, Version: s.version})
	return s.version
}

// remove drops a row as the platform does with expired entries.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x, ok := s.rows[[2]string{table, key}]; !ok || x.Deleted {
		return
	}
	s.version++
	s.set(storeRow{Table: table, Key: key, Version: s.version, Deleted: true})
}

// value returns the content of a row, or nil.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.rows[[2]string{table, key}]; !x.Deleted {
		return x.Data
	}
	return nil
}

// set replaces a row and wakes those that wait. The caller holds the lock.
func (s *store) set(r storeRow) {
	s.rows[[2]string{r.Table, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) clock() int64 { return time.Since(s.began).Milliseconds() }

// reply writes an answer of the store.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, q *http.Request) {
	time.Sleep(storeDelay)
	f := q.URL.Query()
	limit, err := strconv.Atoi(f.Get("max_items"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for k, r := range s.rows {
		if k[0] != f.Get("table_name") || r.Part != f.Get("part") || r.Deleted || r.Key < f.Get("source") || (f.Get("to") != "" && r.Key >= f.Get("to")) {
			continue
		}
		rows = append(rows, r)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	rows = rows[:min(len(rows), limit)]
	reply(w, http.StatusOK, map[string]any{"rows": rows, "has_more": more, "row_version": s.version, "server_time_ms": s.clock()})
}

func (s *store) feed(w http.ResponseWriter, q *http.Request) {
	time.Sleep(storeDelay)
	f := q.URL.Query()
	since, _ := strconv.ParseUint(f.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(f.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for k, r := range s.rows {
			if k[0] == f.Get("table_name") && r.Version > since {
				rows = append(rows, r)
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
		c, version, clock := s.changed, s.version, s.clock()
		s.mu.Unlock()
		answer := func() {
			reply(w, http.StatusOK, map[string]any{"rows": rows, "row_version": version, "server_time_ms": clock})
		}
		if len(rows) > 0 {
			answer()
			return
		}
		select {
		case <-q.Context().Done():
			return
		case <-end:
			answer()
			return
		case <-c:
		}
	}
}

// change is the body of a transaction.
type change struct {
	Precondition []storeRow `json:"precondition"`
	Write        []storeRow `json:"write"`
	Remove       []storeRow `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(io.LimitReader(q.Body, 2<<20))
	var x change
	if err != nil || json.Unmarshal(b, &x) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(storeDelay)
	for _, r := range append(append([]storeRow{}, x.Write...), x.Remove...) {
		if r.Table == "op" || r.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, current := true, []storeRow{}
	for _, p := range x.Precondition {
		r, ok := s.rows[[2]string{p.Table, p.Key}]
		if !ok || r.Deleted {
			r = storeRow{Table: p.Table, Part: p.Part, Key: p.Key}
		}
		held = held && r.Version == p.Version
		current = append(current, r)
	}
	if !held {
		reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "row_version": s.version, "server_time_ms": s.clock()})
		return
	}
	s.version++
	for _, r := range x.Write {
		r.Version, r.Deleted = s.version, false
		s.set(r)
	}
	for _, r := range x.Remove {
		s.set(storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Deleted: true})
	}
	reply(w, http.StatusOK, map[string]any{"row_version": s.version, "server_time_ms": s.clock()})
}
