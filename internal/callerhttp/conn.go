package callerhttp

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/framing"
)

const (
	// readBufferBytes is the size of the buffer into which request heads are read. A connection without data has none.
	readBufferBytes = 4 << 10
	// defaultMaxHeaderBytes limits the head of a request when the limits set none.
	defaultMaxHeaderBytes = 1 << 20
	// defaultHeaderTimeout limits the arrival of a head, and the time until the first byte of a new connection.
	defaultHeaderTimeout = 10 * time.Second
	// defaultIdleTimeout is longer than the idle timeouts of callers, so that they close connections first.
	defaultIdleTimeout = 150 * time.Second
	// lingerTimeout is how long a connection stays half-open after an answer that closes it, while the caller may still send.
	// A reset would destroy the part of the answer that the caller has not read.
	lingerTimeout = 500 * time.Millisecond
)

var (
	readBuffers = sync.Pool{New: func() any { return new([readBufferBytes]byte) }}
	errExpired  = errors.New("the caller exceeded a time limit")
	longPast    = time.Unix(1, 0)
)

// conn is a connection of a caller. One goroutine reads and parses the requests; each request is served by a worker. The
// exchanges of the requests in progress are queued in the order of the requests, and only the first one writes.
type conn struct {
	server *Server
	net    net.Conn
	raw    syscall.RawConn       // nil: the connection has no descriptor
	onRead func(fd uintptr) bool // readReady
	result struct {              // of readReady
		n   int
		err error
	}
	remoteAddr string

	// The reading side belongs to the reader, or to the body of the request in progress.
	pooled     *[readBufferBytes]byte // nil: none, or buffer is larger
	buffer     []byte
	start, end int // of the unread data in buffer
	scanner    headScanner
	bodyEnd    chan struct{} // signalled when the reader may read again

	mu            sync.Mutex
	changed       sync.Cond   // an exchange was completed, or the connection ends
	queue         []*exchange // in progress, in the order of the requests
	heldBack      *exchange   // parsed, waits for those before it; nil: none
	interruptible bool        // the reader reads while heldBack waits
	stopStarting  bool        // an answer wants to close the connection: nothing is started beside those in progress
	closing       bool        // the connection is closed when the queue is empty
	pipelines     bool        // the caller has sent a request before the one ahead of it was answered
	lingers       bool        // it is closed after lingerTimeout
	lingering     bool        // it is closed for writing and still open for reading
	closed        bool
	writeSince    time.Time // a write to the caller began; zero: none is in progress
	left          bool      // the caller has closed its connection, or half of it
	waiting       int       // goroutines that wait for changed
	outBytes      int       // capacity of the buffers of answers
	served        bool      // a request was answered
	since         time.Time // the last request was answered, or the connection was accepted
	idleUntil     time.Time // while the queue is empty
	headSince     time.Time // when the last head that did not arrive at once began
	headUntil     time.Time // while a head arrives; zero: none
	armed         time.Time // read deadline in force; zero: none

	writeUntil time.Time    // write deadline in force; used by the goroutine that writes
	heldBytes  atomic.Int64 // what the reading side holds while a head is incomplete or a request waits for its turn
}

func newConn(server *Server, accepted net.Conn, now time.Time) *conn {
	c := &conn{server: server, net: accepted, remoteAddr: accepted.RemoteAddr().String(), bodyEnd: make(chan struct{}, 1)}
	c.changed.L = &c.mu
	c.onRead = c.readReady
	if with, ok := accepted.(syscall.Conn); ok {
		if raw, err := with.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	c.since, c.idleUntil = now, now.Add(min(server.idleTimeout(), defaultHeaderTimeout))
	return c
}

// serve reads the requests of the connection until it ends.
func (c *conn) serve() {
	defer c.endReading()
	for {
		e := c.nextExchange()
		if e == nil {
			return
		}
		if !c.awaitTurn(e) {
			e.end()
			return
		}
		if e.fault != framing.NoFault {
			e.run()
			return
		}
		c.server.hold(c, 0)
		hasBody, closes := e.body != nil, e.request.Close
		c.server.dispatch(e)
		if hasBody {
			<-c.bodyEnd
			if !e.body.complete.Load() {
				c.discardRest()
				return
			}
		}
		if closes {
			c.awaitTurn(nil)
			return
		}
	}
}

// nextExchange reads the next head. It returns nil when the connection ends before one is complete.
func (c *conn) nextExchange() *exchange {
	limits := c.server.config.Limits()
	bounds := headBounds{bytes: limits.MaxHeaderBytes, lines: c.server.bounds.HeaderLines}
	if bounds.bytes <= 0 {
		bounds.bytes = defaultMaxHeaderBytes
	}
	c.scanner = headScanner{}
	for {
		if c.end > c.start {
			length, fault := c.scanner.scan(c.buffer[c.start:c.end], bounds)
			if length > 0 || fault != framing.NoFault {
				return c.parse(length, fault)
			}
			c.beginHead(limits)
		}
		err := c.awaitData()
		switch {
		case err == nil:
		case errors.Is(err, errExpired):
			c.awaitEnd()
			return nil
		case c.end > c.start && errors.Is(err, io.EOF) && !c.inProgress():
			return c.parse(0, framing.MalformedHeader)
		default:
			c.callerLeft()
			return nil
		}
	}
}

// parse returns the exchange of a complete head, or of one with a fault. Of a large head that is refused only the request line is
// parsed.
func (c *conn) parse(length int, fault framing.Fault) *exchange {
	e := &exchange{conn: c}
	head := c.buffer[c.start : c.start+length]
	size := callermem.RequestSize(length, c.scanner.lines)
	if fault == framing.NoFault {
		fault = c.reserveRequest(e, size)
	}
	if fault != framing.NoFault && size > callermem.SmallRequestBytes {
		head = head[:bytes.IndexByte(head, '\n')+1]
	}
	var request http.Request
	parsed := parseHead(&request, head)
	if fault == framing.NoFault {
		fault = parsed
	}
	c.start += length
	c.releaseEmpty()
	e.init(&request, fault)
	return e
}

// reserveRequest counts the memory that the request takes. It returns a fault if there is too little.
func (c *conn) reserveRequest(e *exchange, size int) framing.Fault {
	account := c.server.account
	switch {
	case account.Reserve(callermem.Requests, int64(size)):
		e.requestBytes.Store(int64(size))
		return framing.NoFault
	case account.CanEverHold(callermem.Requests, int64(size)):
		return framing.NoMemory
	default:
		return framing.HeaderTooLarge
	}
}

// beginHead starts the time limit of a head that has not arrived whole, and counts its bytes.
func (c *conn) beginHead(limits framing.Limits) {
	c.mu.Lock()
	if c.headUntil.IsZero() {
		timeout := limits.HeaderTimeout
		if timeout <= 0 {
			timeout = defaultHeaderTimeout
		}
		c.headSince = time.Now()
		c.headUntil = c.headSince.Add(timeout)
	}
	c.mu.Unlock()
	c.server.hold(c, len(c.buffer))
}

// inProgress reports whether a request is in progress.
func (c *conn) inProgress() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

// awaitData reads data into the buffer. It returns errExpired after a time limit. Deadlines are kept as long as they are not
// later than the time limit that holds, and checked when they fire, so that most requests set none.
func (c *conn) awaitData() error {
	for {
		c.mu.Lock()
		c.arm(c.readLimit())
		c.mu.Unlock()
		err := c.readMore()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		c.mu.Lock()
		c.setDeadline(time.Time{})
		until := c.readLimit()
		expired := !until.IsZero() && !time.Now().Before(until)
		inHead := !c.headUntil.IsZero()
		c.mu.Unlock()
		if expired && !inHead && c.readArrived() {
			return nil
		}
		if expired {
			c.server.countTimeout(inHead)
			return errExpired
		}
	}
}

// readLimit returns the time until which the caller may send the next byte, zero for any time. The caller holds mu.
func (c *conn) readLimit() time.Time {
	switch {
	case !c.headUntil.IsZero():
		return c.headUntil
	case len(c.queue) == 0:
		return c.idleUntil
	default:
		return time.Time{}
	}
}

// arm sets the read deadline unless an earlier one is in force. The caller holds mu.
func (c *conn) arm(until time.Time) {
	if !until.IsZero() && (c.armed.IsZero() || c.armed.After(until)) {
		c.setDeadline(until)
	}
}

// setDeadline sets the read deadline. The caller holds mu.
func (c *conn) setDeadline(until time.Time) {
	c.armed = until
	_ = c.net.SetReadDeadline(until) // fails only when the connection is closed
}

// clearDeadline removes the read deadline before a body is read. The caller holds mu.
func (c *conn) clearDeadline() {
	if !c.armed.IsZero() {
		c.setDeadline(time.Time{})
	}
}

// awaitTurn waits until e may be started and queues it. It reads on in the meantime, up to the size of the buffer, so that it
// notices when the caller leaves. It returns false when the connection ends first; for nil it always waits for that.
func (c *conn) awaitTurn(e *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headUntil = time.Time{}
	if e != nil && len(c.queue) > 0 {
		c.pipelines = true
	}
	waited := false
	for !c.mayStart(e) || !c.reserveOverlap(e) {
		if c.closed || len(c.queue) == 0 { // it may never start
			return false
		}
		c.heldBack, waited = e, true
		if err := c.readWhileWaiting(); err != nil {
			c.leaveLocked()
			return false
		}
	}
	c.heldBack = nil
	if e.body != nil {
		c.clearDeadline()
	}
	e.first = len(c.queue) == 0
	switch {
	case !e.first:
		c.server.count("caller.overlapped")
	case waited:
		c.server.count("caller.waited")
	}
	c.queue = append(c.queue, e)
	return true
}

// reserveOverlap reserves memory for the answer of e if others before it are not complete, and reports whether there was enough.
// The caller holds mu.
func (c *conn) reserveOverlap(e *exchange) bool {
	if len(c.queue) == 0 {
		return true
	}
	if !c.server.reserve(overlapBytes) {
		return false
	}
	e.reserved = overlapBytes
	return true
}

// readWhileWaiting reads data until an exchange is completed. Once the buffer is full it only waits. The caller holds mu.
func (c *conn) readWhileWaiting() error {
	if c.end-c.start >= readBufferBytes {
		c.waiting++
		c.changed.Wait()
		c.waiting--
		return nil
	}
	c.clearDeadline()
	c.interruptible = true
	c.mu.Unlock()
	err := c.readMore()
	if c.end > c.start {
		c.server.hold(c, len(c.buffer))
	}
	c.mu.Lock()
	c.interruptible = false
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.setDeadline(time.Time{})
		return nil
	}
	return err
}

// awaitEnd drops an incomplete head and waits until the requests in progress have ended. It reads on in the meantime, so that it
// notices when the caller leaves.
func (c *conn) awaitEnd() {
	c.start = c.end
	c.releaseEmpty()
	c.server.hold(c, 0)
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.awaitTurn(nil)
}

// mayStart reports whether e may be started beside the exchanges in progress. The caller holds mu.
func (c *conn) mayStart(e *exchange) bool {
	switch {
	case e == nil || c.closed || c.closing || c.server.draining.Load():
		return false
	case len(c.queue) == 0:
		return true
	default:
		return e.overlaps && c.queue[len(c.queue)-1].overlaps && !c.stopStarting && len(c.queue) < maxOverlapping
	}
}

// endReading ends the reader. The connection is closed when nothing is in progress any more.
func (c *conn) endReading() {
	c.mu.Lock()
	c.closing = true
	c.buffer, c.start, c.end = c.buffer[:0], 0, 0
	c.releaseEmpty()
	last := len(c.queue) == 0
	c.mu.Unlock()
	if last {
		c.close()
	}
	c.server.hold(c, 0)
}

// callerLeft cancels all requests in progress after the caller has closed its connection, or half of it.
func (c *conn) callerLeft() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaveLocked()
}

// leaveLocked is callerLeft for a caller that holds mu.
func (c *conn) leaveLocked() {
	c.closing = true
	if !c.left {
		c.left = true
		_ = c.net.SetWriteDeadline(time.Now().Add(leftWriteTimeout)) // fails only when the connection is closed
	}
	for _, e := range c.queue {
		e.cancel()
	}
	c.changed.Broadcast()
}

// close closes the connection at once or, if the caller may still send, after lingerTimeout.
func (c *conn) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	for _, e := range c.queue {
		e.cancel()
	}
	c.changed.Broadcast()
	tcp, ok := c.net.(interface{ CloseWrite() error })
	c.lingering = ok && c.lingers && tcp.CloseWrite() == nil
	lingering := c.lingering
	c.mu.Unlock()
	if lingering {
		time.AfterFunc(lingerTimeout, c.closeNow)
		return
	}
	c.closeNow()
}

// closeNow closes the connection and releases it.
func (c *conn) closeNow() {
	_ = c.net.Close() // the connection is not used any more
	c.mu.Lock()
	c.lingering = false
	c.mu.Unlock()
	c.server.closedConn(c)
}
