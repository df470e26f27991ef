// Package platformtest implements a stand-in for the platform: an in-memory transactional table and object store that
// serves the protocol of package platform and injects faults that can be changed at run time. Data is not persisted.
//
// Faults are set with SetFaults and SilenceConnections, or over HTTP on the same port:
//
//	GET  /admin/faults   returns the current Faults as JSON
//	PUT  /admin/faults   replaces the Faults
//	POST /admin/silence  makes all open connections silent
//	GET  /admin/stats    returns the Stats as JSON
//
// Faults, including silence, do not apply to the admin paths.
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

// maxRequestBytes is the size of the largest request body that is accepted, in bytes.
const maxRequestBytes = 16 << 20

// Stats holds counts of requests since the start of the stand-in.
type Stats struct {
	Reads         int64 `json:"reads"`
	Commits       int64 `json:"commits"`   // commits that were applied
	Conflicts     int64 `json:"conflicts"` // commits rejected because a condition did not hold
	Repeated      int64 `json:"repeated"`  // commits whose write ID had already been decided
	Puts          int64 `json:"puts"`
	LostResponses int64 `json:"lost_answers"` // commits and puts whose response was lost
	RateLimited   int64 `json:"rate_limited"` // requests rejected with status 429
	Silenced      int64 `json:"silenced"`     // requests received, or responses withheld, on a silent connection
}

// Server is the stand-in. It implements http.Handler and is safe for concurrent use.
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
	s.mux.HandleFunc("POST "+platform.PathTableGet, s.readHandler(s.tableGet))
	s.mux.HandleFunc("POST "+platform.PathTableScan, s.readHandler(s.tableScan))
	s.mux.HandleFunc("POST "+platform.PathTableCommit, s.tableCommit)
	s.mux.HandleFunc("POST "+platform.PathObjectPut, s.objectPut)
	s.mux.HandleFunc("POST "+platform.PathObjectGet, s.readHandler(s.objectGet))
	s.mux.HandleFunc("POST "+platform.PathObjectList, s.readHandler(s.objectList))
	s.addAdminRoutes()
	return s
}

// Start serves on addr, an IP:port, and returns the address that it listens on; "127.0.0.1:0" chooses a free port. It must
// be called at most once.
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

// Close closes the listener and all connections. It has no effect before Start and after the first call.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server == nil {
		return
	}
	_ = s.server.Close() // it only fails for connections that are already closed
	s.server = nil
	close(s.closed)
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(faults Faults) { s.faults.set(faults) }

// Faults returns the current faults.
func (s *Server) Faults() Faults { return s.faults.get() }

// SilenceConnections makes all open connections silent: further requests on them are read but never answered, and
// pending responses are not sent. It affects only connections to the listener of Start.
func (s *Server) SilenceConnections() { s.faults.silenceExisting() }

// Stats returns the counts since the start of the stand-in.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// incrementStat increments the count that field selects.
func (s *Server) incrementStat(field func(*Stats) *int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*field(&s.stats)++
}

// receiveRequest decodes the request body into request and injects the faults that precede execution: silence, Down and
// DelayMS. It returns false if the request is invalid; the error response is then written. It aborts the handler if the
// request gets no response.
func (s *Server) receiveRequest(w http.ResponseWriter, r *http.Request, request any) bool {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	s.blockIfSilent(r)
	faults := s.faults.get()
	if faults.Down {
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
	s.delay(r, time.Duration(faults.DelayMS)*time.Millisecond)
	if err := json.Unmarshal(text, request); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// allowByRate applies the rate limit to a request for count rows or objects. If the limit is exceeded, it writes the error
// response and returns false.
func (s *Server) allowByRate(w http.ResponseWriter, write bool, count int) bool {
	wait, ok := s.faults.allow(write, count)
	if !ok {
		s.incrementStat(func(stats *Stats) *int64 { return &stats.RateLimited })
		writeTooManyRequests(w, wait)
	}
	return ok
}

// blockIfSilent does not return if the connection of the request is silent: it waits until the client closes the connection
// or the server is closed, and then aborts the handler.
func (s *Server) blockIfSilent(r *http.Request) {
	if !s.faults.isSilent(r) {
		return
	}
	s.incrementStat(func(stats *Stats) *int64 { return &stats.Silenced })
	select {
	case <-r.Context().Done():
	case <-s.closed:
	}
	panic(http.ErrAbortHandler)
}

// delay waits even if the client closes the connection, because a slow store still executes the requests that it received.
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

// respondToWrite sends the response to a commit or put, unless the faults lose it.
func (s *Server) respondToWrite(w http.ResponseWriter, r *http.Request, status int, body any) {
	if s.faults.loseResponse() {
		s.incrementStat(func(stats *Stats) *int64 { return &stats.LostResponses })
		panic(http.ErrAbortHandler)
	}
	s.respond(w, r, status, body)
}

// respond sends a response, unless the connection became silent in the meantime.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, status int, body any) {
	s.blockIfSilent(r)
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have closed the connection
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, platform.ErrorResponse{Message: message})
}

func (s *Server) addAdminRoutes() {
	s.mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Faults()) })
	s.mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Stats()) })
	s.mux.HandleFunc("PUT /admin/faults", s.putFaults)
	s.mux.HandleFunc("POST /admin/silence", func(w http.ResponseWriter, r *http.Request) {
		s.SilenceConnections()
		w.Header().Set("Connection", "close")
		writeJSON(w, http.StatusOK, struct{}{})
	})
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil && !errors.Is(err, io.EOF) {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(faults)
	writeJSON(w, http.StatusOK, faults)
}
