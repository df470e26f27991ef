package callerhttp

import (
	"time"

	"github.com/acacialock/acacialock/internal/callermem"
)

// evict closes the connection unless a request is in progress that must not be cut off, and reports whether it did.
// One whose last answer was sent and that stays open only so that its caller can read it is closed at once.
func (c *conn) evict() bool {
	c.mu.Lock()
	lingering := c.lingering
	c.mu.Unlock()
	if lingering {
		c.closeNow()
		return true
	}
	return c.closeUnless(c.placed)
}

// closeIdle closes the connection unless there is a request on it, and reports whether it did.
func (c *conn) closeIdle() bool { return c.closeUnless(func() bool { return len(c.queue) > 0 }) }

// closeUnless closes the connection and cancels its requests unless keep, which is called with mu held, returns true.
func (c *conn) closeUnless(keep func() bool) bool {
	c.mu.Lock()
	if c.closed || keep() {
		c.mu.Unlock()
		return false
	}
	c.closed, c.closing = true, true
	for _, e := range c.queue {
		e.cancel()
		e.releaseMemory()
	}
	c.changed.Broadcast()
	c.mu.Unlock()
	c.closeNow()
	c.server.hold(c, 0)
	return true
}

// placed reports whether a request is in progress that must not be cut off. The caller holds mu.
func (c *conn) placed() bool {
	return len(c.queue) > 0 && !c.queue[0].awaitsBody && !c.leavesUnread(time.Now())
}

// leavesUnread reports whether the caller has not read the answer that is written for so long that the connection may be closed
// for others. The caller holds mu.
func (c *conn) leavesUnread(now time.Time) bool {
	return !c.writeSince.IsZero() && now.Sub(c.writeSince) >= minUnreadTime
}

// holding returns what the connection holds.
func (c *conn) holding() holding {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := holding{bytes: int(c.heldBytes.Load()), served: c.served, since: c.since, heldSince: c.headSince, lingers: c.lingering}
	if h.lingers {
		return h
	}
	h.placed = c.closed || c.placed()
	if len(c.queue) == 0 || h.placed {
		return h
	}
	e := c.queue[0]
	h.requestBytes = int(e.requestBytes.Load())
	if e.awaitsBody {
		h.kind, h.bytes, h.heldSince = callermem.Bodies, int(e.bodyBytes.Load()), e.awaitsBodySince
	} else {
		h.kind, h.bytes, h.heldSince = callermem.Answers, c.outBytes, c.writeSince
		for _, e := range c.queue {
			h.bytes += int(e.answerBytes.Load())
		}
	}
	return h
}

// state reports whether a request is in progress and whether the connection is open, or half-open after its last answer.
func (c *conn) state() (hasRequest, isOpen bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasRequest = len(c.queue) > 0 && !c.closed
	return hasRequest, hasRequest || c.lingering
}
