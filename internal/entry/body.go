package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// maxReplayBytes is the largest request body that is kept for a second send.
const maxReplayBytes = 64 << 10

// errBodySuperseded ends the reader of a send that was followed by another.
var errBodySuperseded = errors.New("the request body is read by a later send")

// requestBody gives each send of a call its own reader of the caller's body.
type requestBody struct {
	stream io.ReadCloser // caller's body, when it was not read before the first send
	length int64         // -1: unknown

	current  atomic.Pointer[streamReader] // reader of the latest send
	tooLarge atomic.Bool                  // more was read of stream than is kept

	mu   sync.Mutex
	kept []byte // what was read so far
	err  error  // end of stream
}

// newRequestBody reads a body of known small length at once. Every other one is streamed, and kept up to the limit as it
// is read.
func newRequestBody(request *http.Request) (*requestBody, error) {
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return &requestBody{}, nil
	}
	body := &requestBody{length: request.ContentLength}
	if request.ContentLength < 0 || request.ContentLength > maxReplayBytes {
		body.stream = request.Body
		return body, nil
	}
	body.kept = make([]byte, request.ContentLength)
	_, err := io.ReadFull(request.Body, body.kept)
	return body, err
}

// replayable reports whether the body can be sent (again) from its first byte.
func (b *requestBody) replayable() bool { return !b.tooLarge.Load() }

// streamed reports whether the body comes straight from the caller.
func (b *requestBody) streamed() bool { return b.stream != nil }

// attach sets the body of one send. The reader type hides the bytes from net/http, which else re-sends a request by
// itself when an idle connection closes; an idempotent one may be.
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
		request.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(b.kept)})
	}
}

// broken returns the error by which the caller's body ended early, or nil.
func (b *requestBody) broken() error {
	if b.stream == nil || !b.mu.TryLock() {
		return nil // nothing was left to read, or a read still waits
	}
	defer b.mu.Unlock()
	if errors.Is(b.err, io.EOF) || errors.Is(b.err, errBodySuperseded) {
		return nil
	}
	return b.err
}

// streamReader is one send's reader: it gives what earlier sends have read, then reads on.
type streamReader struct {
	body   *requestBody
	offset int
}

// Read implements io.Reader. An earlier send may still be inside Read when the next one begins; what it reads is kept for
// the next.
func (r *streamReader) Read(buffer []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.offset < len(b.kept) {
		n := copy(buffer, b.kept[r.offset:])
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
	b.keep(buffer[:n])
	r.offset += n
	b.err = err
	if b.tooLarge.Load() && b.current.Load() != r {
		b.err = errBodySuperseded // the bytes are lost for the later send
	}
	return n, err
}

// keep adds bytes for a later send while there is room. The lock is held.
func (b *requestBody) keep(data []byte) {
	if b.tooLarge.Load() {
		return
	}
	if len(b.kept)+len(data) > maxReplayBytes {
		b.tooLarge.Store(true)
		b.kept = nil
		return
	}
	b.kept = append(b.kept, data...)
}

// Close leaves the caller's body open for the next send.
func (r *streamReader) Close() error { return nil }
