package framing

import (
	"net"
	"net/http"
	"time"
)

// Limits restricts the headers of callers and how long callers may take. A zero field imposes no limit beyond the
// server's own.
type Limits struct {
	MaxHeaderBytes int           // size of a request header, including the request line
	HeaderTimeout  time.Duration // from the first byte of a header to its end
	IdleTimeout    time.Duration // without a request in progress
}

// NewLimitedListener is like NewListener, with limits for callers. The result of limits may change at any time. The
// server must also use ConnState.
func NewLimitedListener(listener net.Listener, limits func() Limits) net.Listener {
	return inspectingListener{listener, limits}
}

// ConnState closes connections that are idle for longer than Limits.IdleTimeout. It is meant for http.Server.ConnState.
func ConnState(c net.Conn, state http.ConnState) {
	if limited, ok := c.(*inspectedConn); ok {
		limited.updateIdleTimer(state)
	}
}

// updateIdleTimer runs the idle timer while no request is in progress.
func (c *inspectedConn) updateIdleTimer(state http.ConnState) {
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleTimer != nil {
		c.idleTimer.Stop()
	}
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	c.awaitingRequest = true
	if limits.IdleTimeout > 0 {
		c.idleTimer = time.AfterFunc(limits.IdleTimeout, c.closeTimedOut)
	}
}

// startHeaderTimer starts the timer that limits the arrival of a header. The caller holds the mutex.
func (c *inspectedConn) startHeaderTimer(limits Limits) {
	if limits.HeaderTimeout > 0 {
		c.headerTimer = time.AfterFunc(limits.HeaderTimeout, c.closeTimedOut)
	}
}

// stopHeaderTimer stops the header timer. The caller holds the mutex.
func (c *inspectedConn) stopHeaderTimer() {
	if c.headerTimer != nil {
		c.headerTimer.Stop()
		c.headerTimer = nil
	}
}

// closeTimedOut closes the connection of a caller that exceeded a time limit. No request is in progress on it.
func (c *inspectedConn) closeTimedOut() { _ = c.Conn.Close() }
