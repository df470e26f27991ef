package framing

import (
	"net"
	"net/http"
	"time"
)

// Limits bound what callers may send and how long they may take; 0: no limit beyond that of the server.
type Limits struct {
	HeaderBytes int           // of a request's header, its first line included
	HeaderTime  time.Duration // from the first byte of a header to its end
	IdleTime    time.Duration // without a request
}

// ListenLimited is Listen for callers with limits, which may change at any time. Its server must use ConnState too.
func ListenLimited(listener net.Listener, limits func() Limits) net.Listener {
	return wrapped{listener, limits}
}

// ConnState is for http.Server. It closes connections that are idle for too long.
func ConnState(c net.Conn, state http.ConnState) {
	if limited, ok := c.(*conn); ok {
		limited.stateChanged(state)
	}
}

// stateChanged runs the idle timer while no request is under way.
func (c *conn) stateChanged(state http.ConnState) {
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle != nil {
		c.idle.Stop()
	}
	if state != http.StateNew && state != http.StateIdle {
		return
	}
	c.waiting = true
	if limits.IdleTime > 0 {
		c.idle = time.AfterFunc(limits.IdleTime, c.closeLate)
	}
}

// headerBegins starts the timer of a header. The mutex is held.
func (c *conn) headerBegins(limits Limits) {
	if limits.HeaderTime > 0 {
		c.late = time.AfterFunc(limits.HeaderTime, c.closeLate)
	}
}

// headerEnded stops it. The mutex is held.
func (c *conn) headerEnded() {
	if c.late != nil {
		c.late.Stop()
		c.late = nil
	}
}

// closeLate ends the connection of a caller that took too long; no request of it is under way.
func (c *conn) closeLate() { _ = c.Conn.Close() }
