package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// maxReplayBytes is the largest request body that is kept for a second send.
const maxReplayBytes = 64 << 10

// requestBody gives each send of a call its own reader of the caller's body.
type requestBody struct {
	kept   []byte        // whole body, when it is small
	stream io.ReadCloser // caller's body, when it is not kept
	length int64         // -1: unknown
	read   atomic.Bool   // some of stream was read
}

// newRequestBody keeps a body of known small length and streams every other one.
func newRequestBody(request *http.Request) (*requestBody, error) {
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if request.ContentLength < 0 || request.ContentLength > maxReplayBytes {
		return &requestBody{stream: request.Body, length: request.ContentLength}, nil
	}
	kept := make([]byte, request.ContentLength)
	if _, err := io.ReadFull(request.Body, kept); err != nil {
		return nil, err
	}
	return &requestBody{kept: kept, length: request.ContentLength}, nil
}

// replayable reports whether the body can be sent (again) from its first byte.
func (b *requestBody) replayable() bool { return b.stream == nil || !b.read.Load() }

// streamed reports whether the body comes straight from the caller.
func (b *requestBody) streamed() bool { return b.stream != nil }

// attach sets the body of one send. The reader type hides the bytes from net/http, which else re-sends a request by
// itself when an idle connection closes; an idempotent one may be.
func (b *requestBody) attach(request *http.Request, idempotent bool) {
	request.ContentLength = b.length
	switch {
	case b.stream == nil && b.kept == nil && idempotent:
		request.Body = http.NoBody
	case b.stream != nil:
		request.Body = &streamReader{body: b}
	case b.kept != nil:
		request.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(b.kept)})
	default:
		request.Body = io.NopCloser(struct{ io.Reader }{bytes.NewReader(nil)})
	}
}

// streamReader reads the caller's body and notes that reading began. Closing it leaves the caller's body open, so that
// a send refused before its body was read can be repeated.
type streamReader struct{ body *requestBody }

func (r *streamReader) Read(buffer []byte) (int, error) {
	r.body.read.Store(true)
	return r.body.stream.Read(buffer)
}

func (r *streamReader) Close() error { return nil }
