package quarantine

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// sentinelReconnectInterval is the minimum time between two sentinel connections. It limits reconnects to targets that
// close the connection early.
const sentinelReconnectInterval = 100 * time.Millisecond

// sentinel is a connection to the target on which nothing is sent. The kernel closes it when the target's process dies,
// so that a crash is detected even if the target restarts before the next connect, and is distinguished from a handler
// that closes its own connection.
type sentinel struct {
	mu       sync.Mutex
	conn     net.Conn // nil if there is none
	openedAt time.Time
	brokeAt  time.Time // when the target closed the last connection
	running  bool      // runSentinel is active
	closed   bool
}

type sentinelState int

const (
	sentinelAbsent sentinelState = iota // there was no connection; nothing can be concluded
	sentinelOpen
	sentinelBroken
)

// state returns the state of the connection that was open at the given time.
func (s *sentinel) state(at time.Time) sentinelState {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.brokeAt.After(at.Add(-crashWindow)):
		return sentinelBroken
	case s.conn == nil || s.openedAt.After(at):
		return sentinelAbsent
	case closedByTarget(s.conn):
		return sentinelBroken
	}
	return sentinelOpen
}

// closedByTarget reports whether the target closed the connection. It queries the kernel, because on a busy machine the
// goroutine that reads from the connection may be scheduled too late.
func closedByTarget(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	var n int
	var failed error
	err = raw.Control(func(fd uintptr) {
		n, _, failed = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	switch {
	case err != nil: // closed by this node after the target closed it
		return true
	case failed != nil:
		return failed != syscall.EAGAIN && failed != syscall.EINTR
	}
	return n == 0
}

// ensureSentinel starts opening the connection in the background if there is none.
func (m *monitor) ensureSentinel() {
	s := &m.sentinel
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running || s.closed || time.Since(s.openedAt) < sentinelReconnectInterval {
		return
	}
	s.running = true
	s.openedAt = time.Now()
	go m.runSentinel()
}

// runSentinel connects to the target and blocks until the connection ends.
func (m *monitor) runSentinel() {
	s := &m.sentinel
	conn, err := net.DialTimeout("tcp", m.addr, connectTimeout)
	if err == nil && s.setConn(conn) {
		_, err = conn.Read(make([]byte, 1))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = conn.Close() // it has ended
	}
	if s.conn != nil && !s.closed && err != nil {
		s.brokeAt = time.Now()
	}
	s.conn = nil
	s.running = false
}

// setConn stores the connection, or closes it and returns false if the sentinel was closed.
func (s *sentinel) setConn(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close() // nothing was sent
		return false
	}
	s.conn = conn
	s.openedAt = time.Now()
	return true
}

// close closes the connection and prevents further ones.
func (s *sentinel) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.conn != nil {
		_ = s.conn.Close() // nothing was sent
	}
}
