// Package callerhttp serves callers by HTTP/1.1. Unlike net/http, it inspects the head of each request on a connection before
// a handler sees it, runs requests that may be repeated beside each other when a caller sends them without waiting for the
// answers, and bounds what all callers together make the process hold before their requests are placed.
package callerhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/framing"
)

const (
	// maxIdleWorkers is the number of goroutines that are kept for further requests; each keeps its grown stack.
	maxIdleWorkers = 32
	// Pauses after a failed accept, for example while no descriptor is free. The pause doubles from one failure to the next.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
	// logInterval is the time between two log lines about connections that were closed for the same reason.
	logInterval = 10 * time.Second
)

// Config configures a Server. All fields are required except MayOverlap, Bounds, Account and Count.
type Config struct {
	Handler http.Handler
	// Refuse answers a request with a fault in its head. The connection is closed after that.
	Refuse framing.RefuseFunc
	// Limits returns the limits on the heads and the time of callers. The result may change at any time.
	Limits func() framing.Limits
	// MayOverlap reports whether a request without a body may be started before the requests ahead of it on its connection
	// are answered, because it may be run more than once. nil: none may.
	MayOverlap func(r *http.Request) bool
	Bounds     Bounds
	// Account counts what callers make the process hold; nil: the server has one of its own, with the limit Bounds.Memory.
	Account *callermem.Account
	// Count counts an event in the counter with this name; nil: events are not counted.
	Count func(name string)
}

// Server serves the connections of one listener. It is safe for concurrent use.
type Server struct {
	config   Config
	bounds   Bounds
	account  *callermem.Account
	draining atomic.Bool

	mu       sync.Mutex
	listener net.Listener // nil: Serve was not called
	stopped  bool         // nothing is accepted any more
	conns    map[*conn]struct{}
	changed  chan struct{} // closed when a connection ends; nil: nobody waits
	idle     []*worker
	ended    bool // workers end
	closures map[string]*closureLog
}

// closureLog is what was logged of the connections that were closed for one reason.
type closureLog struct {
	loggedAt time.Time
	unlogged int
}

// worker is a goroutine that serves one request after another.
type worker struct{ next chan *exchange }

// New returns a server.
func New(config Config) *Server {
	s := &Server{
		config: config, bounds: config.Bounds.withDefaults(), account: config.Account,
		conns: map[*conn]struct{}{}, closures: map[string]*closureLog{},
	}
	if s.account == nil {
		s.account = callermem.NewAccount(config.Bounds.Memory)
	}
	s.account.SetReclaimer(s.reclaim)
	return s
}

// Serve accepts connections until Shutdown or Close, and returns http.ErrServerClosed then. It returns the error of a
// listener that fails for good.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		_ = listener.Close() // nothing is accepted
		return http.ErrServerClosed
	}
	pause := time.Duration(0)
	for {
		accepted, err := listener.Accept()
		switch {
		case err == nil:
			pause = 0
			s.start(accepted)
		case s.isStopped():
			return http.ErrServerClosed
		case isTemporary(err):
			pause = min(max(minAcceptPause, 2*pause), maxAcceptPause)
			s.logClosure("accept-failed")
			time.Sleep(pause)
		default:
			return err
		}
	}
}

// isTemporary reports whether accepting may succeed later. The errors are those of exhausted descriptors or memory, and of a
// connection that the caller has closed meanwhile.
func isTemporary(err error) bool {
	var failed interface{ Temporary() bool }
	return errors.As(err, &failed) && failed.Temporary()
}

func (s *Server) isStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

// start serves a new connection. At the limit of connections, some without a request in progress are closed for it, or else itself.
func (s *Server) start(accepted net.Conn) {
	c := newConn(s, accepted, time.Now())
	s.mu.Lock()
	full := len(s.conns) >= s.bounds.Connections
	s.mu.Unlock()
	if full && !s.evictConnections() {
		_ = accepted.Close() // nothing was read from it
		s.logClosure("connections")
		return
	}
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		_ = accepted.Close() // nothing was read from it
		return
	}
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go c.serve()
}

// dispatch serves a request on a worker.
func (s *Server) dispatch(e *exchange) {
	s.mu.Lock()
	if last := len(s.idle) - 1; last >= 0 {
		w := s.idle[last]
		s.idle[last] = nil
		s.idle = s.idle[:last]
		s.mu.Unlock()
		w.next <- e
		return
	}
	s.mu.Unlock()
	go s.work(e)
}

// work serves e and then the requests that dispatch passes on.
func (s *Server) work(e *exchange) {
	w := &worker{next: make(chan *exchange, 1)}
	for e != nil {
		e.run()
		s.mu.Lock()
		if s.ended || len(s.idle) >= maxIdleWorkers {
			s.mu.Unlock()
			return
		}
		s.idle = append(s.idle, w)
		s.mu.Unlock()
		e = <-w.next
	}
}

// idleTimeout returns the time after which a connection without a request is closed.
func (s *Server) idleTimeout() time.Duration {
	if timeout := s.config.Limits().IdleTimeout; timeout > 0 {
		return min(timeout, defaultIdleTimeout)
	}
	return defaultIdleTimeout
}

// hold sets what the reading side of a connection holds. When all connections together hold too much, some are closed.
func (s *Server) hold(c *conn, bytes int) {
	if bytes == 0 && c.heldBytes.Load() == 0 {
		return
	}
	s.account.Add(callermem.Heads, int64(bytes)-c.heldBytes.Swap(int64(bytes)))
}

// reserve counts the bytes of a buffered answer, unless callers would make the process hold too much.
func (s *Server) reserve(bytes int) bool {
	return s.account.TryReserve(callermem.Answers, int64(bytes))
}

func (s *Server) unreserve(bytes int) { s.account.Release(callermem.Answers, int64(bytes)) }

// Held is what callers make the process hold.
type Held struct {
	Connections int
	Heads       int64 // bytes of incomplete heads and of requests that wait for their turn
	Requests    int64 // bytes of the heads of requests in progress
	Bodies      int64 // bytes of bodies that are read before their request is sent on, or kept for another send
	Answers     int64 // bytes of answers that wait for those before them, or are read before they are sent on
	Forwarded   int64 // bytes of the heads of requests in progress that other nodes have forwarded
	Memory      int64 // limit of all these together
}

// Held returns what callers make the process hold now.
func (s *Server) Held() Held {
	s.mu.Lock()
	connections := len(s.conns)
	s.mu.Unlock()
	return Held{
		Connections: connections,
		Heads:       s.account.Held(callermem.Heads),
		Requests:    s.account.Held(callermem.Requests),
		Bodies:      s.account.Held(callermem.Bodies),
		Answers:     s.account.Held(callermem.Answers),
		Forwarded:   s.account.Held(callermem.Forwarded),
		Memory:      s.account.Limit(),
	}
}

// reclaim closes the connections that memoryVictims chooses among those that hold memory of the kind, and reports whether there
// was one. It implements callermem.Reclaimer.
func (s *Server) reclaim(kind callermem.Kind, excess int64) (evicted bool) {
	conns, holdings := s.holdings()
	for i := range holdings {
		holdings[i].bytes = holdings[i].freed(kind)
	}
	for _, index := range memoryVictims(holdings, excess, time.Now()) {
		if conns[index].evict() {
			evicted = true
			s.logClosure("memory")
		}
	}
	return evicted
}

// evictConnections closes a part of the connections without a request in progress and reports whether there was one.
func (s *Server) evictConnections() bool {
	conns, holdings := s.holdings()
	evicted := false
	for _, index := range connectionVictims(holdings, max(1, s.bounds.Connections/evictionShare)) {
		if conns[index].evict() {
			evicted = true
			s.logClosure("connections")
		}
	}
	return evicted
}

// holdings returns the connections and what each of them holds.
func (s *Server) holdings() (conns []*conn, holdings []holding) {
	s.mu.Lock()
	conns = make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		holdings = append(holdings, c.holding())
	}
	return conns, holdings
}

// closedConn forgets a closed connection.
func (s *Server) closedConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.notify()
}

// notify wakes those that wait for connections to end. The caller holds mu.
func (s *Server) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// count counts an event.
func (s *Server) count(name string) {
	if s.config.Count != nil {
		s.config.Count(name)
	}
}

// countTimeout counts a connection that was closed after a time limit.
func (s *Server) countTimeout(inHead bool) {
	if inHead {
		s.logClosure("header-timeout")
		return
	}
	s.count("caller.closed.idle")
}

// logClosure counts a connection that was closed for a reason, and logs that once in logInterval at most.
func (s *Server) logClosure(reason string) {
	s.count("caller.closed." + reason)
	s.mu.Lock()
	record := s.closures[reason]
	if record == nil {
		record = &closureLog{}
		s.closures[reason] = record
	}
	record.unlogged++
	now, count := time.Now(), record.unlogged
	due := now.Sub(record.loggedAt) >= logInterval
	if due {
		record.loggedAt, record.unlogged = now, 0
	}
	connections := len(s.conns)
	s.mu.Unlock()
	if due {
		klog.InfoS("caller connections closed", "reason", reason, "count", count, "connections", connections, "held", s.account.Total())
	}
}

// Shutdown stops accepting, closes the connections without a request in progress and waits until the others have ended, those
// that stay half-open included: the end of the process would reset them. Answers that begin from now on close their
// connections. It returns the error of ctx if that ends while requests are in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.stop()
	for {
		inProgress, open := s.closeIdle()
		if open == 0 || inProgress == 0 && ctx.Err() != nil {
			s.endWorkers()
			return nil
		}
		s.mu.Lock()
		if s.changed == nil {
			s.changed = make(chan struct{})
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			if inProgress > 0 {
				return ctx.Err()
			}
		case <-changed:
		case <-time.After(drainPollInterval):
		}
	}
}

// closeIdle closes the connections without a request in progress. It returns the number of connections that have one, and of
// all that are still open.
func (s *Server) closeIdle() (inProgress, open int) {
	conns, _ := s.holdings()
	for _, c := range conns {
		if c.closeIdle() {
			continue
		}
		hasRequest, isOpen := c.state()
		if hasRequest {
			inProgress++
		}
		if isOpen {
			open++
		}
	}
	return inProgress, open
}

// drainPollInterval is the interval at which Shutdown looks for connections that have become idle.
const drainPollInterval = 20 * time.Millisecond

// Close closes the listener and all connections at once. The requests in progress are cancelled.
func (s *Server) Close() error {
	s.draining.Store(true)
	s.stop()
	conns, _ := s.holdings()
	for _, c := range conns {
		c.mu.Lock()
		c.lingers = false
		c.mu.Unlock()
		c.close()
		_ = c.net.Close() // also one that lingers
	}
	s.endWorkers()
	return nil
}

// stop closes the listener.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.listener != nil {
		_ = s.listener.Close() // nothing more is accepted in any case
	}
}

// endWorkers ends the workers, each after its request.
func (s *Server) endWorkers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, w := range s.idle {
		w.next <- nil
	}
	s.idle = nil
}
