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
	// discardBytes bounds the rest of a body that is read to keep the connection.
	discardBytes = 256 << 10
	// discardTime bounds the wait for that rest. Small bodies have arrived with their header.
	discardTime = 5 * time.Millisecond
)

// errBodyClosed is returned to the transport when the exchange ended before the request's body.
var errBodyClosed = errors.New("the exchange ended before the request's body")

// requestBody is the body of a forwarded request. Because it is no type that net/http knows and has no GetBody, net/http
// never sends the request a second time.
type requestBody struct {
	source   io.Reader
	digest   *quarantine.Digest
	length   int64 // as in http.Request.ContentLength
	expects  bool  // the caller sends the body after an answer of 100, which a read gives
	control  *http.ResponseController
	deadline time.Time
	closed   atomic.Bool

	mu      sync.Mutex // held during a read
	seen    int64      // bytes read from source
	prefix  []byte     // the start of the body, when it was read for a verdict
	started bool       // prefix was read
	replay  []byte     // the part of prefix that the target did not get yet
	err     error      // how the source ended
}

// Read implements io.Reader for the transport.
func (b *requestBody) Read(into []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	if len(b.replay) > 0 {
		n := copy(into, b.replay)
		b.replay = b.replay[n:]
		return n, nil
	}
	return b.read(into)
}

func (b *requestBody) read(into []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(into)
	b.digest.Write(into[:n])
	b.seen += int64(n)
	switch {
	case err == io.EOF, err == nil && b.seen == b.length:
		b.digest.End()
	case err != nil && b.closed.Load():
		err = errBodyClosed // the read was interrupted from here
	}
	b.err = err
	return n, err
}

// Close implements io.Closer for the transport.
func (b *requestBody) Close() error {
	b.closed.Store(true)
	return nil
}

// Prefix implements quarantine.Body. It is called before the request is sent.
func (b *requestBody) Prefix() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started {
		return b.prefix, b.brokeOff()
	}
	b.started = true
	if b.length == 0 {
		return nil, nil
	}
	_ = b.control.SetReadDeadline(b.deadline)
	defer func() { _ = b.control.SetReadDeadline(time.Time{}) }()
	buffer := make([]byte, quarantine.MaxBody)
	size := 0
	for size < len(buffer) && b.err == nil {
		n, _ := b.read(buffer[size:])
		size += n
	}
	b.prefix = buffer[:size]
	b.replay = b.prefix
	return b.prefix, b.brokeOff()
}

// failed returns the error by which the caller's side ended the body, or nil.
func (b *requestBody) failed() error {
	if !b.mu.TryLock() {
		return nil // a read is still waiting
	}
	defer b.mu.Unlock()
	return b.brokeOff()
}

// brokeOff returns the error by which the caller's side ended the source, or nil. The mutex is held.
func (b *requestBody) brokeOff() error {
	if b.err == io.EOF || b.err == errBodyClosed {
		return nil
	}
	return b.err
}

// newRequestBody reads the body of a forwarded request, also after the answer began.
func newRequestBody(w http.ResponseWriter, r *http.Request) *requestBody {
	body := &requestBody{
		source:  r.Body,
		length:  r.ContentLength,
		expects: r.Header.Get("Expect") != "",
		control: http.NewResponseController(w),
	}
	if body.length != 0 {
		_ = body.control.EnableFullDuplex() // fails for HTTP/2 only, which needs no such call
	}
	return body
}

// finish ends the reads, so that none runs after the handler returned. What is left of the body is read if it is there
// already; otherwise the connection can't be used again, which the header says if it was not sent yet.
//
// The rest must not be left to the server: with full duplex, its own read to the body's end made the next request on the
// connection panic with "invalid concurrent Body.Read call" (Go 1.26).
func (b *requestBody) finish(header http.Header) {
	if b.length == 0 {
		return
	}
	b.interrupt()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF || b.err == nil && !b.expects && b.discard() {
		return
	}
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
	header.Set("Connection", "close")
}

// discard reads the rest of a body that arrived already, and reports whether it did. The mutex is held.
func (b *requestBody) discard() bool {
	_ = b.control.SetReadDeadline(time.Now().Add(discardTime))
	_, err := io.CopyN(io.Discard, b.source, discardBytes)
	if err != io.EOF {
		return false
	}
	_ = b.control.SetReadDeadline(time.Time{})
	return true
}

// interrupt lets the reads fail from now on. One that waits for the caller is ended by a deadline in the past, after
// which the server closes the connection.
func (b *requestBody) interrupt() {
	b.closed.Store(true)
	if b.mu.TryLock() {
		b.mu.Unlock()
		return
	}
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}

// emptyBody makes net/http take a request without a body for one that can't be sent again.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
