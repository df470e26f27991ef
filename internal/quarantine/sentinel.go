package quarantine

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// sentinelPause is the shortest time between two connections of the sentinel, for targets that close it soon.
const sentinelPause = 100 * time.Millisecond

// sentinel is a connection to the target on which nothing is sent. The kernel closes it when the target's process dies,
// also when the target is back before the next connect. It tells this from a handler that closes its own connection.
type sentinel struct {
	mu     sync.Mutex
	conn   net.Conn // nil while there is none
	opened time.Time
	broke  time.Time // when the target closed the latest one
	busy   bool      // a goroutine connects or holds the connection
	closed bool
}

type sentinelState int

const (
	sentinelAbsent sentinelState = iota // there was none, nothing can be concluded
	sentinelHeld
	sentinelBroke
)

// state tells what became of the connection that was held at that time.
func (s *sentinel) state(at time.Time) sentinelState {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.broke.After(at.Add(-crashWindow)):
		return sentinelBroke
	case s.conn == nil || s.opened.After(at):
		return sentinelAbsent
	case ended(s.conn):
		return sentinelBroke
	}
	return sentinelHeld
}

// ended asks the kernel whether the target closed the connection. On a busy machine the goroutine that reads it may
// learn this too late.
func ended(conn net.Conn) bool {
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
	case err != nil: // closed from here after it ended
		return true
	case failed != nil:
		return failed != syscall.EAGAIN && failed != syscall.EINTR
	}
	return n == 0
}

// keep opens the connection in the background when there is none.
func (m *monitor) keepSentinel() {
	s := &m.sentinel
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.closed || time.Since(s.opened) < sentinelPause {
		return
	}
	s.busy = true
	s.opened = time.Now()
	go m.holdSentinel()
}

// holdSentinel connects and returns when the connection ended.
func (m *monitor) holdSentinel() {
	s := &m.sentinel
	conn, err := net.DialTimeout("tcp", m.addr, connectTimeout)
	if err == nil && s.hold(conn) {
		_, err = conn.Read(make([]byte, 1))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		_ = conn.Close() // it ended
	}
	if s.conn != nil && !s.closed && err != nil {
		s.broke = time.Now()
	}
	s.conn = nil
	s.busy = false
}

// hold takes the connection; false when the sentinel was closed.
func (s *sentinel) hold(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close() // nothing was sent
		return false
	}
	s.conn = conn
	s.opened = time.Now()
	return true
}

// close ends the watch.
func (s *sentinel) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.conn != nil {
		_ = s.conn.Close() // nothing was sent
	}
}
