package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/wire"
)

// maxReplayBytes is the size of the largest request body that is buffered for another send.
const maxReplayBytes = 64 << 10

const (
	// lingerTimeout is how long the server discards the rest of a caller's body after the answer. Closing the connection at
	// once would reset it while the caller still sends, which can destroy the part of the answer that it has not read yet.
	lingerTimeout = 500 * time.Millisecond
	// finalReadTimeout is how long the end of the answer waits for a read of the body in progress.
	finalReadTimeout = 50 * time.Millisecond
)

// errBodySuperseded is returned to the reader of a send after a later send has started, or after the answer.
var errBodySuperseded = errors.New("the request body is read by a later send")

// requestBody gives each send of a call its own reader of the caller's body.
type requestBody struct {
	stream io.ReadCloser // caller's body when it is streamed; nil: it was read before the first send
	ahead  aheadReader   // the body as the server passed it; nil: that is no aheadReader
	length int64         // -1: unknown

	current  atomic.Pointer[streamReader] // reader of the latest send
	tooLarge atomic.Bool                  // more was read from stream than may be kept; buffered is dropped

	mu       sync.Mutex
	buffered []byte // bytes read from the caller so far
	err      error  // error that ended stream, io.EOF included
}

// aheadReader is a body whose server bounds the memory of all bodies that are read ahead, and the time that this takes.
type aheadReader interface {
	// ReadAhead reads a body of known length to its end. The error is that of ctx, callermem.ErrFull or that of the connection.
	ReadAhead(ctx context.Context) ([]byte, error)
	// ReserveBody counts bytes of the body that are kept, and reports whether they may be kept.
	ReserveBody(bytes int) bool
}

// newRequestBody reads a body of known length up to maxReplayBytes at once. Any other body is streamed, and buffered up to
// that limit as it is read. The error is that of ctx, callermem.ErrFull or that of a body that ended early.
func newRequestBody(ctx context.Context, request *http.Request) (*requestBody, error) {
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return &requestBody{}, nil
	}
	body := &requestBody{length: request.ContentLength}
	body.ahead, _ = request.Body.(aheadReader)
	if !readsAhead(request) {
		body.stream = request.Body
		return body, nil
	}
	var err error
	if body.ahead != nil {
		body.buffered, err = body.ahead.ReadAhead(ctx)
		return body, err
	}
	body.buffered, err = io.ReadAll(io.LimitReader(request.Body, request.ContentLength))
	if err == nil && int64(len(body.buffered)) < request.ContentLength {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}

// readsAhead reports whether the body is read before the first send.
func readsAhead(request *http.Request) bool {
	return request.ContentLength > 0 && request.ContentLength <= maxReplayBytes
}

// limit makes reads of a streamed body fail after the given number of bytes. The server still sees its own body in the request:
// from another one it could not tell that a part was left unread, and would close the connection without waiting for the caller to
// read the answer.
func (b *requestBody) limit(bytes int64) {
	if b.stream != nil && b.length < 0 {
		b.stream = http.MaxBytesReader(nil, b.stream, bytes)
	}
}

// replayable reports whether the body can be sent from its first byte.
func (b *requestBody) replayable() bool { return !b.tooLarge.Load() }

// streamed reports whether the body is read from the caller while it is sent.
func (b *requestBody) streamed() bool { return b.stream != nil }

// attach sets the body of one send. The body's type hides the bytes from net/http, which otherwise resends a request on its
// own when an idle connection closes.
func (b *requestBody) attach(request *http.Request) {
	request.ContentLength = b.length
	switch {
	case b.stream != nil:
		reader := &streamReader{body: b}
		b.current.Store(reader)
		request.Body = reader
	case b.length == 0:
		wire.PreventResend(request)
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

// beginAnswer prepares the caller's connection for an answer that begins before the body was read to its end. Without full
// duplex, net/http discards up to 256 KiB of the body when the header is written, while the send still reads it: those bytes
// would be missing in the middle of what the target gets. The connection is not used again then, since the server would not
// know where the next request starts.
func (b *requestBody) beginAnswer(w http.ResponseWriter) {
	if !b.streamed() || b.atEnd() {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex() // fails only for HTTP/2, which is always full duplex
	w.Header().Set("Connection", "close")
}

// atEnd reports whether a streamed body was read to its end.
func (b *requestBody) atEnd() bool {
	if !b.mu.TryLock() {
		return false // a read is in progress
	}
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// finishAnswer ends the reads of a streamed body after the answer, before the server discards the rest. A send that has not
// read the body to its end gets an error, so that its target sees a body that breaks off.
func (b *requestBody) finishAnswer(w http.ResponseWriter) {
	if !b.streamed() || b.atEnd() {
		return
	}
	control := http.NewResponseController(w)
	b.current.Store(nil)
	_ = control.SetReadDeadline(time.Now().Add(finalReadTimeout))
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = errBodySuperseded
	}
	_ = control.SetReadDeadline(time.Now().Add(lingerTimeout))
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

// retain buffers bytes for a later send, up to maxReplayBytes in total and as far as the memory of callers allows. The caller holds mu.
func (b *requestBody) retain(data []byte) {
	if b.tooLarge.Load() {
		return
	}
	if len(b.buffered)+len(data) > maxReplayBytes || b.ahead != nil && !b.ahead.ReserveBody(len(data)) {
		b.tooLarge.Store(true)
		b.buffered = nil
		return
	}
	b.buffered = append(b.buffered, data...)
}

// Close implements io.Closer. It leaves the caller's body open for the next send.
func (r *streamReader) Close() error { return nil }
