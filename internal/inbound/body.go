package inbound

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/quarantine"
)

const (
	// maxDiscardBytes limits how much of an unread body is discarded to keep the connection usable.
	maxDiscardBytes = 256 << 10
	// discardTimeout limits the wait for the unread part. It can be short because small bodies arrive with their header.
	discardTimeout = 5 * time.Millisecond
	// lingerTimeout is how long the server discards the rest of a body after an answer that began before its end. Closing the
	// connection at once would reset it while the entry node still sends, which can destroy the end of the answer.
	lingerTimeout = 500 * time.Millisecond
	// finalReadTimeout is how long the end of the answer waits for a read of the body in progress.
	finalReadTimeout = 50 * time.Millisecond
)

// errBodyClosed is returned to the transport when the exchange ended before the request body was read to its end.
var errBodyClosed = errors.New("the exchange ended before the request's body")

// requestBody is the body of a forwarded request. net/http never resends the request, because it does not know this
// body type and the request has no GetBody.
type requestBody struct {
	source          io.Reader
	digest          *quarantine.Digest
	length          int64 // as in http.Request.ContentLength
	expectsContinue bool  // the caller sent Expect; the first read makes the server send 100
	control         *http.ResponseController
	deadline        time.Time
	closed          atomic.Bool
	answeredEarly   bool // the answer began before the end of the body; set by the goroutine of the handler
	lengthKnown     bool // the answer that began early has a known length

	waiting atomic.Bool  // for the caller, in a read of source
	moved   atomic.Int64 // bytes read from source

	mu           sync.Mutex // held during a read
	bytesRead    int64      // bytes read from source
	prefix       []byte     // start of the body, if it was read for the quarantine check
	prefixRead   bool       // Prefix was called
	unsentPrefix []byte     // part of prefix that the transport has not read yet
	err          error      // error that ended source; io.EOF at its end
}

// Read implements io.Reader for the transport.
func (b *requestBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	if len(b.unsentPrefix) > 0 {
		n := copy(p, b.unsentPrefix)
		b.unsentPrefix = b.unsentPrefix[n:]
		return n, nil
	}
	return b.readSource(p)
}

func (b *requestBody) readSource(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	b.waiting.Store(true)
	n, err := b.source.Read(p)
	b.waiting.Store(false)
	b.moved.Add(int64(n))
	b.digest.Write(p[:n])
	b.bytesRead += int64(n)
	switch {
	case err == io.EOF, err == nil && b.bytesRead == b.length:
		b.digest.End()
	case err != nil && b.closed.Load():
		err = errBodyClosed // the read was interrupted by this node
	}
	b.err = err
	return n, err
}

// Close implements io.Closer for the transport.
func (b *requestBody) Close() error {
	b.closed.Store(true)
	return nil
}

// Prefix implements quarantine.Body. It must be called before the request is sent.
func (b *requestBody) Prefix() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.prefixRead {
		return b.prefix, b.callerErrorLocked()
	}
	b.prefixRead = true
	if b.length == 0 {
		return nil, nil
	}
	_ = b.control.SetReadDeadline(b.deadline)
	defer func() { _ = b.control.SetReadDeadline(time.Time{}) }()
	buffer := make([]byte, quarantine.MaxBodyPrefix)
	size := 0
	for size < len(buffer) && b.err == nil {
		n, _ := b.readSource(buffer[size:])
		size += n
	}
	b.prefix = buffer[:size]
	b.unsentPrefix = b.prefix
	return b.prefix, b.callerErrorLocked()
}

// callerError returns the error with which the caller's connection ended the body, or nil.
func (b *requestBody) callerError() error {
	if !b.mu.TryLock() {
		return nil // a read is still in progress
	}
	defer b.mu.Unlock()
	return b.callerErrorLocked()
}

// callerErrorLocked is callerError for callers that hold the mutex.
func (b *requestBody) callerErrorLocked() error {
	if b.err == io.EOF || b.err == errBodyClosed {
		return nil
	}
	return b.err
}

// newRequestBody returns the body of a forwarded request. It enables full duplex, so that the body can still be read
// after the response has started.
func newRequestBody(w http.ResponseWriter, r *http.Request) *requestBody {
	body := &requestBody{
		source:          r.Body,
		length:          r.ContentLength,
		expectsContinue: r.Header.Get("Expect") != "",
		control:         http.NewResponseController(w),
	}
	if body.length != 0 {
		_ = body.control.EnableFullDuplex() // fails only for HTTP/2, which is always full duplex
	}
	return body
}

// beginAnswer is called before the header of an answer is written. If the body was not read to its end, the connection is not
// used again, since the server would not know where the next request starts. lengthKnown is true if the answer has a known
// length.
func (b *requestBody) beginAnswer(header http.Header, lengthKnown bool) {
	if b.length == 0 || b.atEnd() {
		return
	}
	b.answeredEarly, b.lengthKnown = true, lengthKnown
	header.Set("Connection", "close")
}

// atEnd reports whether the body was read to its end.
func (b *requestBody) atEnd() bool {
	if !b.mu.TryLock() {
		return false // a read is in progress
	}
	defer b.mu.Unlock()
	return b.err == io.EOF || b.err == nil && b.bytesRead == b.length
}

// finishEarly ends all reads after an answer that began before the end of the body. The server then discards up to 256 KiB of
// the rest and closes the connection. Of a body of known length with more left it would discard nothing, so the rest is
// discarded here: the entry node closes the connection when it has the whole answer. An answer of unknown length ends only when
// the handler returns.
func (b *requestBody) finishEarly() {
	b.closed.Store(true)
	_ = b.control.SetReadDeadline(time.Now().Add(finalReadTimeout)) // also ends a read in progress
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.control.SetReadDeadline(time.Now().Add(lingerTimeout))
	if b.lengthKnown && b.err == nil {
		_ = b.control.Flush()
		_, _ = io.Copy(io.Discard, b.source) // ends with the connection, the body or lingerTimeout
	}
}

// finish ends all reads, so that none is running when the handler returns. It discards the unread part of the body if
// that has already arrived. Otherwise the connection can't be reused, and finish sets "Connection: close" in header,
// which takes effect if the header has not been sent.
//
// The unread part must not be left to the server: with full duplex, the server's own read to the end of the body made
// the next request on the connection panic with "invalid concurrent Body.Read call" (Go 1.26).
func (b *requestBody) finish(header http.Header) {
	if b.length == 0 {
		return
	}
	if b.answeredEarly {
		b.finishEarly()
		return
	}
	b.interrupt()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF || b.err == nil && !b.expectsContinue && b.discard() {
		return
	}
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
	header.Set("Connection", "close")
}

// discard reads the rest of the body within discardTimeout and maxDiscardBytes and reports whether it reached the end.
// The mutex is held.
func (b *requestBody) discard() bool {
	_ = b.control.SetReadDeadline(time.Now().Add(discardTimeout))
	_, err := io.CopyN(io.Discard, b.source, maxDiscardBytes)
	if err != io.EOF {
		return false
	}
	_ = b.control.SetReadDeadline(time.Time{})
	return true
}

// interrupt makes all further reads fail. A read in progress is ended by a deadline in the past, after which the server
// closes the connection.
func (b *requestBody) interrupt() {
	b.closed.Store(true)
	if b.mu.TryLock() {
		b.mu.Unlock()
		return
	}
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}
