package callerhttp

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxDiscardedBytes is how much of a body that its handler has not read is discarded to keep the connection.
	maxDiscardedBytes = 256 << 10
	// maxChunkLineBytes limits the line before a chunk and a line of the trailers.
	maxChunkLineBytes = 1 << 10
	// maxChunkExtraBytes limits the chunk extensions and the trailers of a body together.
	maxChunkExtraBytes = 16 << 10
	// discardTimeout limits the time for which the rest of a body is discarded.
	discardTimeout = 2 * time.Second
)

var (
	errMalformedChunk = errors.New("malformed chunk of a request body")
	errChunkTooLong   = errors.New("chunk extensions or trailers of a request body are too long")
	continueAnswer    = []byte("HTTP/1.1 100 Continue\r\n\r\n")
)

// body is the body of the request in progress. It reads from the connection until its end, when the reader takes over again.
type body struct {
	exchange  *exchange
	chunked   bool
	continues bool        // the caller waits for a "100 Continue"; guarded by the exchange's mutex
	complete  atomic.Bool // it was read to its end

	mu        sync.Mutex
	remaining int64 // of the body or of the current chunk
	extra     int   // bytes of chunk extensions and trailers
	began     bool  // a chunk was read
	closed    bool  // the handler has returned
	released  bool  // the reader was told to read again
	err       error // that ended the body, io.EOF included
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.read(p)
}

// Close implements io.Closer. The server discards the rest when the handler has returned.
func (b *body) Close() error { return nil }

// read reads a part of the body. The caller holds mu.
func (b *body) read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	b.exchange.sendContinue()
	if b.chunked && b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, b.end(err)
		}
	}
	n, err := b.exchange.conn.readBody(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	switch {
	case err != nil:
		return n, b.end(b.brokenOff(err))
	case b.remaining == 0 && !b.chunked:
		return n, b.end(io.EOF)
	}
	return n, nil
}

// end records the error that ends the body and returns it.
func (b *body) end(err error) error {
	b.err = err
	if err == io.EOF {
		b.complete.Store(true)
		b.release()
	}
	return err
}

// brokenOff returns the error of a body whose connection returned err. It cancels the request of a caller that has left.
func (b *body) brokenOff(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		b.exchange.cancel()
	}
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// release lets the reader read again. The caller holds mu.
func (b *body) release() {
	if !b.released {
		b.released = true
		b.exchange.conn.bodyEnd <- struct{}{}
	}
}

// nextChunk reads the line before a chunk and, after the last one, the trailers, which are dropped. It returns io.EOF at the
// end of the body.
func (b *body) nextChunk() error {
	if b.began {
		if line, err := b.line(); err != nil {
			return err
		} else if len(line) > 0 {
			return errMalformedChunk
		}
	}
	b.began = true
	line, err := b.line()
	if err != nil {
		return err
	}
	size, extension, extended := bytes.Cut(line, []byte(";"))
	digits := bytes.TrimRight(size, " \t")
	if len(digits) < len(size) && !extended || !isHeaderValue(string(extension)) || len(digits) > 15 {
		return errMalformedChunk
	}
	parsed, err := strconv.ParseUint(string(digits), 16, 63)
	if err != nil || bytes.ContainsAny(digits, "+_") {
		return errMalformedChunk
	}
	if b.extra += len(line) - len(digits); b.extra > maxChunkExtraBytes {
		return errChunkTooLong
	}
	b.remaining = int64(parsed)
	if parsed > 0 {
		return nil
	}
	for {
		trailer, err := b.line()
		if err != nil {
			return err
		}
		if len(trailer) == 0 {
			return io.EOF
		}
		name, value, found := bytes.Cut(trailer, []byte(":"))
		if !found || !isToken(string(name)) || !isHeaderValue(string(value)) {
			return errMalformedChunk
		}
		if b.extra += len(trailer); b.extra > maxChunkExtraBytes {
			return errChunkTooLong
		}
	}
}

// line reads a line that ends with CRLF and returns it without that. It is valid until the next read.
func (b *body) line() ([]byte, error) {
	c := b.exchange.conn
	for {
		if i := bytes.IndexByte(c.buffer[c.start:c.end], '\n'); i >= 0 {
			line := c.buffer[c.start : c.start+i]
			c.start += i + 1
			if i > maxChunkLineBytes {
				return nil, errChunkTooLong
			}
			if i == 0 || line[i-1] != '\r' || bytes.IndexByte(line[:i-1], '\r') >= 0 {
				return nil, errMalformedChunk
			}
			return line[:i-1], nil
		}
		if c.end-c.start > maxChunkLineBytes {
			return nil, errChunkTooLong
		}
		if err := c.readMore(); err != nil {
			return nil, b.brokenOff(err)
		}
	}
}

// discard reads the rest of the body, up to maxDiscardedBytes, and reports whether it has reached the end.
func (b *body) discard() bool {
	if b.complete.Load() {
		return true
	}
	if !b.mu.TryLock() {
		return false // another goroutine reads
	}
	defer b.mu.Unlock()
	return b.discardLocked()
}

// discardLocked is discard for a caller that holds mu.
func (b *body) discardLocked() bool {
	if b.err != nil {
		return b.complete.Load()
	}
	if !b.chunked && b.remaining > maxDiscardedBytes || b.exchange.awaitsContinue() {
		return false
	}
	b.exchange.conn.setAwaitsBody(b.exchange, true)
	defer b.exchange.conn.setAwaitsBody(b.exchange, false)
	b.exchange.conn.limitBody(discardTimeout)
	buffer := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buffer)
	for discarded := 0; discarded < maxDiscardedBytes && b.err == nil; {
		n, _ := b.read(buffer[:]) // the error is kept in err
		discarded += n
	}
	if b.complete.Load() {
		return true // the deadline is now that of the connection's reader, which checks it when it fires
	}
	b.exchange.conn.limitBody(0)
	return false
}

// finish ends the reads of the body after its handler has returned, and lets the connection's reader continue. Unless the
// connection is to be closed, it discards the rest of the body. It reports whether the next request follows.
func (b *body) finish(closes bool) bool {
	if b.complete.Load() {
		return true
	}
	if !b.mu.TryLock() {
		b.exchange.conn.interruptBody()
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	b.closed = true
	if !b.complete.Load() && !closes {
		b.discardLocked()
	}
	b.release()
	return b.complete.Load()
}

// readBody reads a part of a body: what is buffered, or else directly from the connection.
func (c *conn) readBody(p []byte) (int, error) {
	if c.start < c.end {
		n := copy(p, c.buffer[c.start:c.end])
		c.start += n
		c.releaseEmpty()
		return n, nil
	}
	return c.net.Read(p)
}

// limitBody sets the time within which the rest of a body must arrive; 0: any time.
func (c *conn) limitBody(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var until time.Time
	if timeout > 0 {
		until = time.Now().Add(timeout)
	}
	c.setDeadline(until)
}

// interruptBody ends a read of the body that waits for data.
func (c *conn) interruptBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setDeadline(longPast)
}

// discardRest discards what the caller sends after an answer that came before the end of its body, so that the caller, which
// may read only when it has sent its body, gets the answer.
func (c *conn) discardRest() {
	c.limitBody(lingerTimeout)
	buffer := readBuffers.Get().(*[readBufferBytes]byte)
	defer readBuffers.Put(buffer)
	for discarded := 0; discarded < maxDiscardedBytes; {
		n, err := c.net.Read(buffer[:])
		if discarded += n; err != nil {
			return
		}
	}
}
