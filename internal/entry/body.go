package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// maxReplayBytes is the size of the largest request body that is buffered for another send.
const maxReplayBytes = 64 << 10

// errBodySuperseded is returned to the reader of a send after a later send has started.
var errBodySuperseded = errors.New("the request body is read by a later send")

// requestBody gives each send of a call its own reader of the caller's body.
type requestBody struct {
	stream io.ReadCloser // caller's body when it is streamed; nil: it was read before the first send
	length int64         // -1: unknown

	current  atomic.Pointer[streamReader] // reader of the latest send
	tooLarge atomic.Bool                  // more than maxReplayBytes were read from stream; buffered is dropped

	mu       sync.Mutex
	buffered []byte // bytes read from the caller so far
	err      error  // error that ended stream, io.EOF included
}

// newRequestBody reads a body of known length up to maxReplayBytes at once. Any other body is streamed, and buffered up to
// that limit as it is read. The error is that of reading a body that ended early.
func newRequestBody(request *http.Request) (*requestBody, error) {
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return &requestBody{}, nil
	}
	body := &requestBody{length: request.ContentLength}
	if request.ContentLength < 0 || request.ContentLength > maxReplayBytes {
		body.stream = request.Body
		return body, nil
	}
	body.buffered = make([]byte, request.ContentLength)
	_, err := io.ReadFull(request.Body, body.buffered)
	return body, err
}

// replayable reports whether the body can be sent from its first byte.
func (b *requestBody) replayable() bool { return !b.tooLarge.Load() }

// streamed reports whether the body is read from the caller while it is sent.
func (b *requestBody) streamed() bool { return b.stream != nil }

// attach sets the body of one send. The body's type hides the bytes from net/http, which otherwise resends a request on its
// own when an idle connection closes. An idempotent request without a body may be resent that way.
func (b *requestBody) attach(request *http.Request, idempotent bool) {
	request.ContentLength = b.length
	switch {
	case b.stream != nil:
		reader := &streamReader{body: b}
		b.current.Store(reader)
		request.Body = reader
	case b.length == 0 && idempotent:
		request.Body = http.NoBody
	default:
		request.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(b.buffered)})
	}
}

// readError returns the error with which reading the caller's body failed, or nil.
func (b *requestBody) readError() error {
	if b.stream == nil || !b.mu.TryLock() {
		return nil // the body was read before the first send, or a read is in progress
	}
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) || errors.Is(b.err, errBodySuperseded) {
		return nil
	}
	return b.err
}

// streamReader is the body of one send: it returns the buffered bytes first, then reads from the caller.
type streamReader struct {
	body   *requestBody
	offset int
}

// Read implements io.Reader. An earlier send may still be inside Read when the next one starts; the bytes that it reads
// are buffered for the next one.
func (r *streamReader) Read(buffer []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.offset < len(b.buffered) {
		n := copy(buffer, b.buffered[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.current.Load() != r {
		return 0, errBodySuperseded
	}
	n, err := b.stream.Read(buffer)
	b.retain(buffer[:n])
	r.offset += n
	b.err = err
	if b.tooLarge.Load() && b.current.Load() != r {
		b.err = errBodySuperseded // the later send can't get these bytes
	}
	return n, err
}

// retain buffers bytes for a later send, up to maxReplayBytes in total. The caller holds mu.
func (b *requestBody) retain(data []byte) {
	if b.tooLarge.Load() {
		return
	}
	if len(b.buffered)+len(data) > maxReplayBytes {
		b.tooLarge.Store(true)
		b.buffered = nil
		return
	}
	b.buffered = append(b.buffered, data...)
}

// Close implements io.Closer. It leaves the caller's body open for the next send.
func (r *streamReader) Close() error { return nil }
