package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Data    string `json:"data,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowID identifies a row with an empty part.
type rowID struct{ table, key string }

// content is what the store holds, with the history of its changes.
type content struct {
	rows    map[rowID]storeRow
	history []storeRow
	version uint64
}

// clone returns a copy that later changes don't affect.
func (c content) clone() content {
	return content{rows: maps.Clone(c.rows), history: slices.Clone(c.history), version: c.version}
}

// Store is a stand-in for the platform's store in its table form.
type Store struct {
	Address string

	started time.Time
	mu      sync.Mutex
	content content
	era     int
	changed chan struct{}
	// away is true while the store answers nothing but 503.
	away bool
}

// newStore starts an empty store on a free port.
func newStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), started: time.Now(), content: content{rows: map[rowID]storeRow{}}, changed: make(chan struct{})}
	m := http.NewServeMux()
	m.HandleFunc("GET /rows-get", s.get)
	m.HandleFunc("GET /rows-feed", s.feed)
	m.HandleFunc("POST /rows-tx", s.write)
	go func() { _ = http.Serve(l, m) }() //nolint:gosec // ends with the process
	return s, nil
}

// Put writes a row as the operator or a server does, and returns when the store has acknowledged it.
func (s *Store) Put(table, key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(storeRow{Table: table, Key: key, Data: base64.StdEncoding.EncodeToString(b)})
	s.wake()
	return time.Now()
}

// Remove removes a row.
func (s *Store) Remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(storeRow{Table: table, Key: key, Deleted: true})
	s.wake()
	return time.Now()
}

// Copy returns a copy of the content.
func (s *Store) Copy() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.clone()
}

// SetAway makes the store refuse all calls, or serve them again.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.wake()
}

// Restore replaces the content by a copy, as the next era.
func (s *Store) Restore(c content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content = c.clone()
	s.era++
	s.away = false
	s.wake()
}

// put applies a change as one transaction. The caller holds the lock.
func (s *Store) put(r storeRow) {
	s.content.version++
	r.Version = s.content.version
	id := rowID{r.Table, r.Key}
	if r.Deleted {
		delete(s.content.rows, id)
	} else {
		s.content.rows[id] = r
	}
	s.content.history = append(s.content.history, r)
}

// wake ends the waits for changes. The caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer writes a response about rows.
func (s *Store) answer(w http.ResponseWriter, status int, rows []storeRow, version uint64, era int) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "row_version": version, "has_more": false,
		"server_time_ms": 100_000 + float64(time.Since(s.started).Microseconds())/1000,
	})
}

// refused answers 503 while the store is away. The caller holds the lock.
func (s *Store) refused(w http.ResponseWriter) bool {
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return s.away
}

func (s *Store) get(w http.ResponseWriter, q *http.Request) {
	time.Sleep(4 * time.Millisecond)
	t, from, to := q.FormValue("table_name"), q.FormValue("source"), q.FormValue("to")
	s.mu.Lock()
	if s.refused(w) {
		s.mu.Unlock()
		return
	}
	var out []storeRow
	for id, r := range s.content.rows {
		if id.table == t && id.key >= from && (to == "" || id.key < to) {
			out = append(out, r)
		}
	}
	v, e := s.content.version, s.era
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b storeRow) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	s.answer(w, http.StatusOK, out, v, e)
}

func (s *Store) feed(w http.ResponseWriter, q *http.Request) {
	t := q.FormValue("table_name")
	since, _ := strconv.ParseUint(q.FormValue("since_revision"), 10, 64)
	ms, _ := strconv.Atoi(q.FormValue("wait_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		if s.refused(w) {
			s.mu.Unlock()
			return
		}
		v, e, c := s.content.version, s.era, s.changed
		if since > v {
			s.mu.Unlock()
			w.Header().Set("Store-Era", strconv.Itoa(e))
			w.WriteHeader(http.StatusGone)
			return
		}
		var out []storeRow
		for _, r := range s.content.history {
			if r.Table == t && r.Version > since {
				out = append(out, r)
			}
		}
		s.mu.Unlock()
		if len(out) > 0 || last {
			time.Sleep(4 * time.Millisecond)
			s.answer(w, http.StatusOK, out, v, e)
			return
		}
		select {
		case <-c:
		case <-end:
			last = true
		case <-q.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, q *http.Request) {
	time.Sleep(5 * time.Millisecond)
	var t struct {
		Precondition, Write, Remove []storeRow
	}
	if err := json.NewDecoder(q.Body).Decode(&t); err != nil {
		http.Error(w, fmt.Sprint(err), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.refused(w) {
		s.mu.Unlock()
		return
	}
	for _, r := range slices.Concat(t.Write, t.Remove) {
		if r.Table == "op" || r.Table == "servers" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []storeRow
	conflict := false
	for _, r := range t.Precondition {
		now := s.content.rows[rowID{r.Table, r.Key}]
		conflict = conflict || now.Version != r.Version
		if now.Version != 0 {
			current = append(current, now)
		}
	}
	if !conflict {
		for _, r := range t.Write {
			s.put(r)
		}
		for _, r := range t.Remove {
			r.Deleted = true
			s.put(r)
		}
		s.wake()
	}
	v, e := s.content.version, s.era
	s.mu.Unlock()
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, v, e)
		return
	}
	s.answer(w, http.StatusOK, nil, v, e)
}

// Holds reports whether the store holds an entry in a state, or whether it can't be written now.
func (s *Store) Holds(table, key, state string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return true
	}
	r, ok := s.content.rows[rowID{table, key}]
	if !ok {
		return false
	}
	b, _ := base64.StdEncoding.DecodeString(r.Data)
	var x struct{ State string }
	return json.Unmarshal(b, &x) == nil && x.State == state
}
