package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's row store: rows-get, rows-feed and rows-tx, with a full history. It answers after the
// few milliseconds that the pages name, and can come back from an older copy.
type store struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]row // by table, part and key
	history []row
	changed chan struct{}
	addr    string
	era     int         // number of times that it came back from an older copy
	written []time.Time // when each version was written
	down    bool        // all calls are answered 503
}

type row struct {
	Table     string `json:"Table"`
	Part      string `json:"part"`
	Key       string `json:"Key"`
	Value     []byte `json:"Value,omitempty"`
	Version   uint64 `json:"RowVersion"`
	Tombstone bool   `json:"Tombstone,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", freeAddr())
	if err != nil {
		return nil, err
	}
	s := &store{rows: map[string]row{}, changed: make(chan struct{}), addr: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.isDown(w.Header()) {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(w, r)
		}))
	}()
	return s, nil
}

// put writes a row as the operator does. Its return is the operator's ack.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: value}})
	return s.version
}

// apply applies writes as one transaction. The caller holds mu.
func (s *store) apply(writes []row) {
	s.version++
	s.written = append(s.written, time.Now())
	for _, w := range writes {
		w.Version = s.version
		if w.Tombstone {
			delete(s.rows, w.id())
		} else {
			s.rows[w.id()] = w
		}
		s.history = append(s.history, w)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool, version uint64) {
	time.Sleep(storeDelay)
	w.Header().Set("Content-Type", "application/json")
	s.isDown(w.Header()) // the era may have changed while the call waited
	w.WriteHeader(status)
	if rows == nil {
		rows = []row{}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "HasMore": more, "RowVersion": version, "Now": fmt.Sprintf("%dms", time.Now().UnixMilli()%1e9),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	var rows []row
	for _, stored := range s.rows {
		if stored.Table == query.Get("Table") && stored.Part == query.Get("part") && stored.Key >= query.Get("FromRev") &&
			(query.Get("To") == "" || stored.Key < query.Get("To")) {
			rows = append(rows, stored)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, rows, more, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	end := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer end.Stop()
	for last := false; ; {
		s.mu.Lock()
		var rows []row
		for _, written := range s.history {
			if written.Version > after && written.Table == query.Get("Table") {
				rows = append(rows, written)
			}
		}
		version, changed := s.version, s.changed
		if after > version {
			s.mu.Unlock()
			s.answer(w, http.StatusGone, nil, false, version)
			return
		}
		s.mu.Unlock()
		if len(rows) > 0 || last {
			s.answer(w, http.StatusOK, rows, false, version)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRev, Put, Remove []row
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	held := true
	var current []row
	for _, expected := range tx.ExpectedRev {
		stored := s.rows[expected.id()]
		if stored.Version != expected.Version {
			held = false
		}
		if stored.Version > 0 {
			current = append(current, stored)
		}
	}
	if held {
		for i := range tx.Remove {
			tx.Remove[i].Tombstone = true
		}
		s.apply(append(tx.Put, tx.Remove...))
		current = nil
	}
	version := s.version
	s.mu.Unlock()
	status := http.StatusOK
	if !held {
		status = http.StatusPreconditionFailed
	}
	s.answer(w, status, current, false, version)
}

// isDown states the era in the header of an answer and reports whether the store is away.
func (s *store) isDown(header http.Header) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	header.Set("Store-Era", strconv.Itoa(s.era))
	return s.down
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// restore makes the store come back from a copy of the given age: what was written since is gone, versions are given out again,
// and the era rises by one.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := 0
	for copied < len(s.written) && time.Since(s.written[copied]) >= age {
		copied++
	}
	s.version, s.written, s.rows = uint64(copied), s.written[:copied], map[string]row{}
	var history []row
	for _, w := range s.history {
		switch {
		case w.Version > s.version:
			continue
		case w.Tombstone:
			delete(s.rows, w.id())
		default:
			s.rows[w.id()] = w
		}
		history = append(history, w)
	}
	s.history = history
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}
