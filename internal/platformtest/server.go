// Package platformtest is a stand-in for the platform: an in-memory transactional table and object store behind the
// protocol of package platform, with faults that can be switched at run time. Nothing is kept across a restart.
//
// Faults are set by SetFaults and SilenceConnections, or over HTTP on the same port:
//
//	GET  /admin/faults   the Faults in force, as JSON
//	PUT  /admin/faults   replaces the Faults
//	POST /admin/silence  makes all connections that are open now silent
//	GET  /admin/stats    the Stats, as JSON
//
// The admin paths are subject to no fault but a silent connection, so an admin client opens a new connection each time.
package platformtest

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/platform"
)

// maxRequestBytes is the size of the largest request body that is accepted.
const maxRequestBytes = 16 << 20

// Stats counts what the stand-in did since its start.
type Stats struct {
	Reads       int64 `json:"reads"`
	Commits     int64 `json:"commits"`   // commits applied
	Conflicts   int64 `json:"conflicts"` // commits refused because of a condition
	Repeated    int64 `json:"repeated"`  // commits whose write id was decided before
	Puts        int64 `json:"puts"`
	LostAnswers int64 `json:"lost_answers"`
	RateLimited int64 `json:"rate_limited"`
	Silenced    int64 `json:"silenced"` // requests that arrived on a silent connection or whose answer it swallowed
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	store  *store
	faults faultState
	mux    *http.ServeMux

	mu     sync.Mutex
	stats  Stats
	server *http.Server
	closed chan struct{}
}

// New returns a stand-in with an empty store and no faults.
func New() *Server {
	s := &Server{store: newStore(), mux: http.NewServeMux(), closed: make(chan struct{})}
	s.faults.set(Faults{})
	s.mux.HandleFunc("POST "+platform.PathTableGet, s.read(s.tableGet))
	s.mux.HandleFunc("POST "+platform.PathTableScan, s.read(s.tableScan))
	s.mux.HandleFunc("POST "+platform.PathTableCommit, s.tableCommit)
	s.mux.HandleFunc("POST "+platform.PathObjectPut, s.objectPut)
	s.mux.HandleFunc("POST "+platform.PathObjectGet, s.read(s.objectGet))
	s.mux.HandleFunc("POST "+platform.PathObjectList, s.read(s.objectList))
	s.addAdmin()
	return s
}

// Start serves on addr ("127.0.0.1:0" chooses a port) and returns the address in use. It is called once.
func (s *Server) Start(addr string) (string, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: s, ConnContext: s.faults.connContext, ReadHeaderTimeout: time.Minute}
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with http.ErrServerClosed
	return listener.Addr().String(), nil
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close() // only reports errors of connections that are gone
	s.server = nil
	close(s.closed)
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(faults Faults) { s.faults.set(faults) }

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return s.faults.get() }

// SilenceConnections makes all connections that are open now silent: requests on them are read and never answered,
// and answers in preparation are not sent. Only connections accepted by Start are affected.
func (s *Server) SilenceConnections() { s.faults.silenceExisting() }

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

func (s *Server) count(field func(*Stats) *int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*field(&s.stats)++
}

// receive decodes the request and lets the faults act that come before it is carried out. It reports false when the
// request must not be carried out; the answer, if any, is then written.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, request any) bool {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return false
	}
	s.silence(r)
	faults := s.faults.get()
	if faults.Down {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	s.delay(r, time.Duration(faults.DelayMS)*time.Millisecond)
	if err := json.Unmarshal(text, request); err != nil {
		fail(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// admit applies the rate limit.
func (s *Server) admit(w http.ResponseWriter, write bool, count int) bool {
	wait, ok := s.faults.allow(write, count)
	if !ok {
		s.count(func(stats *Stats) *int64 { return &stats.RateLimited })
		tooMany(w, wait)
	}
	return ok
}

// silence never returns when the request's connection is silent: it waits for the client to give up.
func (s *Server) silence(r *http.Request) {
	if !s.faults.silent(r) {
		return
	}
	s.count(func(stats *Stats) *int64 { return &stats.Silenced })
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

// delay waits even when the client has given up: a slow store still carries out what it received.
func (s *Server) delay(_ *http.Request, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.closed:
		panic(http.ErrAbortHandler)
	}
}

// answerWrite sends the answer of a write, unless it is to be lost.
func (s *Server) answerWrite(w http.ResponseWriter, r *http.Request, status int, body any) {
	if s.faults.loseAnswer() {
		s.count(func(stats *Stats) *int64 { return &stats.LostAnswers })
		panic(http.ErrAbortHandler)
	}
	s.answer(w, r, status, body)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, status int, body any) {
	s.silence(r)
	reply(w, status, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have gone away
}

func fail(w http.ResponseWriter, status int, message string) {
	reply(w, status, platform.ErrorResponse{Message: message})
}

func (s *Server) addAdmin() {
	s.mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Faults()) })
	s.mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Stats()) })
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("POST /admin/silence", func(w http.ResponseWriter, r *http.Request) {
		s.SilenceConnections()
		w.Header().Set("Connection", "close")
		reply(w, http.StatusOK, struct{}{})
	})
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil && !errors.Is(err, io.EOF) {
		fail(w, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(faults)
	reply(w, http.StatusOK, faults)
}
