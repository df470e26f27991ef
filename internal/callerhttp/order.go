package callerhttp

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/acacialock/acacialock/internal/framing"
)

const (
	// maxOverlapping is the greatest number of requests of one connection in progress.
	maxOverlapping = 16
	// ampleOutBytes is the capacity up to which the buffer of an answer that waits for those before it grows ahead of need.
	ampleOutBytes = 32 << 10
	// maxBufferedBytes limits the buffers of such answers on one connection. A handler that has more to write waits.
	maxBufferedBytes = maxOverlapping * ampleOutBytes
	// A write that the caller does not read ends after minWriteTimeout to maxWriteTimeout. The deadline is moved only when it is
	// nearer than minWriteTimeout, so that most writes set none.
	minWriteTimeout = 30 * time.Second
	maxWriteTimeout = 60 * time.Second
	// minUnreadTime is the time after which a write that the caller does not read may be ended for others.
	minUnreadTime = 5 * time.Second
	// leftWriteTimeout limits writes to a caller that has closed its connection, or half of it.
	leftWriteTimeout = 5 * time.Second
)

// send writes the parts to the connection at once or, while answers before it are not complete, to a buffer. It waits while
// the buffered answers of the connection or of all connections have reached their limit.
func (c *conn) send(e *exchange, parts [][]byte) error {
	c.mu.Lock()
	for !e.first {
		if c.closed || e.aborted {
			c.mu.Unlock()
			return net.ErrClosed
		}
		if c.store(e, parts) {
			c.mu.Unlock()
			return nil
		}
		c.waiting++
		c.changed.Wait()
		c.waiting--
	}
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return net.ErrClosed
	}
	if err := c.write(parts); err != nil {
		c.callerLeft()
		return err
	}
	return nil
}

// write writes the parts at once. Only the goroutine that writes for the first exchange calls it.
func (c *conn) write(parts [][]byte) (err error) {
	now := time.Now()
	if c.writeUntil.Sub(now) < minWriteTimeout {
		c.writeUntil = now.Add(maxWriteTimeout)
		c.setWriteDeadline(c.writeUntil)
	}
	c.setWriting(now)
	defer c.setWriting(time.Time{})
	if len(parts) == 1 {
		_, err = c.net.Write(parts[0])
	} else {
		buffers := net.Buffers(parts)
		_, err = buffers.WriteTo(c.net)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.server.logClosure("write-timeout")
	}
	return err
}

// setWriting records when the write in progress began.
func (c *conn) setWriting(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeSince = since
}

// setWriteDeadline sets the write deadline unless the caller has left.
func (c *conn) setWriteDeadline(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.left {
		_ = c.net.SetWriteDeadline(until) // fails only when the connection is closed
	}
}

// store appends the parts to the buffer of an answer that is not first, and reports whether they fit. The caller holds mu.
func (c *conn) store(e *exchange, parts [][]byte) bool {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	if !c.makeOutRoom(e, size) {
		return false
	}
	for _, part := range parts {
		e.out = append(e.out, part...)
	}
	return true
}

// makeOutRoom provides room for size bytes in the buffer of e, and for more of its answer as far as the limits permit. It
// reports whether the bytes fit. The caller holds mu.
func (c *conn) makeOutRoom(e *exchange, size int) bool {
	needed := len(e.out) + size
	if needed <= cap(e.out) {
		return true
	}
	rest := int(min(max(e.answer.length-e.answer.written, 0), ampleOutBytes))
	ample := max(needed, min(max(needed+rest, 2*cap(e.out)), ampleOutBytes))
	return c.growOut(e, ample) || c.growOut(e, needed)
}

// growOut counts and allocates a buffer of the given capacity for e unless that exceeds a limit. The caller holds mu.
func (c *conn) growOut(e *exchange, capacity int) bool {
	added := capacity - cap(e.out)
	if c.outBytes+added > maxBufferedBytes || !c.server.reserve(added) {
		return false
	}
	c.outBytes += added
	e.out = append(make([]byte, 0, capacity), e.out...)
	return true
}

// announceClose decides whether the answer of e, whose header is complete now, says that the connection is closed. An answer
// that wants that and has others in progress behind it leaves it to the last of them, since those would be lost. No request is
// started beside those in progress then.
func (c *conn) announceClose(e *exchange, wants bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !wants && !c.closing && !c.server.draining.Load() {
		return false
	}
	c.stopStarting = true
	if len(c.queue) > 0 && c.queue[len(c.queue)-1] != e {
		return false
	}
	e.closes = true
	c.closing = true
	return true
}

// complete marks the answer of e as complete. If it is the first one, the answers behind it are written as far as they are.
func (c *conn) complete(e *exchange) {
	c.mu.Lock()
	e.done = true
	c.advance(e)
}

// abort marks the answer of e as one that stays incomplete. The requests behind it can't be answered any more.
func (c *conn) abort(e *exchange) {
	c.mu.Lock()
	e.done, e.aborted = true, true
	c.closing = true
	behind := false
	for _, other := range c.queue {
		if behind {
			other.cancel()
			other.aborted = true
		}
		behind = behind || other == e
	}
	c.changed.Broadcast()
	c.advance(e)
}

// advance removes the complete exchanges at the start of the queue and writes what the next ones have buffered. The exchange
// that becomes the first one writes for itself from then on. The caller holds mu, which advance releases.
func (c *conn) advance(e *exchange) {
	if !e.first {
		c.mu.Unlock()
		return
	}
	for len(c.queue) > 0 && c.queue[0].done && !c.closed {
		ended := c.queue[0]
		c.dequeue()
		if ended.aborted || ended.closes || ended.fault != framing.NoFault {
			c.endAfter(ended)
			return
		}
		if len(c.queue) > 0 && !c.writeBuffered() {
			c.endAfter(nil)
			return
		}
	}
	closes := c.closed || c.closing && len(c.queue) == 0
	if len(c.queue) == 0 {
		c.idle()
	}
	c.wake()
	c.mu.Unlock()
	if closes {
		c.close()
	}
}

// dequeue removes the first exchange. The caller holds mu.
func (c *conn) dequeue() {
	c.served = true
	copy(c.queue, c.queue[1:])
	c.queue[len(c.queue)-1] = nil
	c.queue = c.queue[:len(c.queue)-1]
}

// writeBuffered writes what the next exchanges have buffered, up to the first that is not complete, and makes the next one the
// first. It reports whether the connection can be written to. The caller holds mu, which is released during writes.
func (c *conn) writeBuffered() bool {
	next := c.queue[0]
	for {
		var parts [][]byte
		size := 0
		for _, e := range c.queue {
			if len(e.out) > 0 {
				parts = append(parts, e.out)
				size += cap(e.out)
				e.out = nil
			}
			if !e.done || e.aborted || e.closes {
				break
			}
		}
		if size == 0 {
			next.first = true
			return true
		}
		c.mu.Unlock()
		err := c.write(parts)
		c.server.unreserve(size)
		c.mu.Lock()
		c.outBytes -= size
		if err != nil || c.closed {
			return false
		}
	}
}

// endAfter closes the connection after an exchange that ends it, or after a failed write for nil. What is behind is not answered.
// The caller holds mu, which endAfter releases.
func (c *conn) endAfter(e *exchange) {
	c.closing = true
	if e != nil && !e.aborted && (e.fault != framing.NoFault || c.pipelines) {
		c.lingers = true
	}
	c.wake()
	c.mu.Unlock()
	c.close()
	c.dropBuffered()
}

// dropBuffered frees the buffered answers of a closed connection.
func (c *conn) dropBuffered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.queue {
		e.out = nil
	}
	c.server.unreserve(c.outBytes)
	c.outBytes = 0
}

// idle starts the time limit of a connection without a request in progress. The caller holds mu.
func (c *conn) idle() {
	now := time.Now()
	c.since, c.idleUntil = now, now.Add(c.server.idleTimeout())
	c.stopStarting = false
	if c.headUntil.IsZero() && !c.interruptible {
		c.arm(c.idleUntil)
	}
}

// wake lets those continue that wait for an exchange to be completed. The caller holds mu.
func (c *conn) wake() {
	if c.waiting > 0 {
		c.changed.Broadcast()
	}
	if c.interruptible && (c.heldBack == nil || c.closing || c.mayStart(c.heldBack)) {
		c.setDeadline(longPast)
	}
}
