package inbound

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/textproto"
	"slices"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/acacialock/acacialock/internal/attempt"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// copyBufferSize is the size in bytes of the buffer that copies a response body from the target to the caller.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// maxInformational limits the informational responses to one request. net/http leaves this limit to the hook that
// receives them.
const maxInformational = 8

// errTooManyInformational ends a request to a target that sends more than maxInformational informational responses.
var errTooManyInformational = errors.New("the target sends informational responses without end")

// writeInformational forwards an informational (1xx) response. It drops 100, which this node's server sends itself, and
// 101, which is not supported.
func (e *exchange) writeInformational(code int, header textproto.MIMEHeader) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.informational++; e.informational > maxInformational {
		return errTooManyInformational
	}
	if e.headerWritten || code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	responseHeader := e.w.Header()
	addHeader(responseHeader, http.Header(header))
	wire.RemoveHeaders(responseHeader, internalResponseHeaders)
	e.w.WriteHeader(code)
	clear(responseHeader)
	return nil
}

// endInformational discards informational responses that arrive from now on. The transport may still receive them while
// the refusal's header is written.
func (e *exchange) endInformational() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.headerWritten = true
}

// writeResponse forwards the target's response, streaming header and body as they arrive. It panics with
// http.ErrAbortHandler if the response can't be completed.
func (e *exchange) writeResponse(ctx context.Context, response *http.Response) {
	e.handler.recordDrainHint(response)
	control := http.NewResponseController(e.w)
	_ = control.SetWriteDeadline(e.forwarded.deadline)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // the connection is reused for further requests
	announced := e.writeHeader(response)
	if response.ContentLength != 0 && !e.bodyBuffered {
		_ = control.Flush() // a write error surfaces while the body is copied
	}
	recorder := e.newAnswerRecorder(response)
	if failed := e.copyBody(ctx, response, control, recorder); failed != nil {
		e.abort(failed)
	}
	e.responseComplete = true
	e.attempt.Complete(recorder.answer)
	e.writeTrailer(response, announced)
}

// writeHeader writes the response header and returns the names of the trailers that it announces.
func (e *exchange) writeHeader(response *http.Response) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.headerWritten = true
	wire.RemoveHopByHop(response.Header)
	wire.RemoveHeaders(response.Header, internalResponseHeaders)
	header := e.w.Header()
	addHeader(header, response.Header)
	e.body.beginAnswer(header, response.ContentLength >= 0)
	announced := slices.Collect(maps.Keys(response.Trailer))
	for _, name := range announced {
		header.Add("Trailer", name)
	}
	e.handler.addLoadSample(header, e.r)
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil // suppresses the server's default
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	e.w.WriteHeader(response.StatusCode)
	return announced
}

// copyBody copies the response body to the caller and returns a failure if the response can't be completed. If the
// caller disconnects, the response to a non-idempotent request is still read to its end, so that its outcome is known.
func (e *exchange) copyBody(
	ctx context.Context, response *http.Response, control *http.ResponseController, recorder *answerRecorder,
) *failure.Error {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	var total int64
	var callerErr error
	for {
		n, err := response.Body.Read(buffer[:])
		total += int64(n)
		recorder.write(buffer[:n])
		if n > 0 && callerErr == nil {
			callerErr = e.writePart(buffer[:n], control, total == response.ContentLength)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return e.unknownOutcomeFailure(ctx, err)
		case callerErr != nil && e.forwarded.call.Idempotent:
			return failure.Wrap(callerErr, failure.CallerGone, failure.Unknown, "the caller left")
		}
	}
}

// writePart writes one part of the body to the caller and flushes it. The server flushes the last part of a body of
// known length.
func (e *exchange) writePart(part []byte, control *http.ResponseController, last bool) error {
	e.writing.Store(true)
	defer e.writing.Store(false)
	if _, err := e.w.Write(part); err != nil {
		return err
	}
	e.written.Add(int64(len(part)))
	if last {
		return nil
	}
	return control.Flush()
}

func (e *exchange) writeTrailer(response *http.Response, announced []string) {
	for name, values := range response.Trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		for _, value := range values {
			e.w.Header().Add(name, value)
		}
	}
}

// answerRecorder records the answer of a keyed attempt for the ledger.
type answerRecorder struct {
	answer *attempt.Answer // nil if the answer is not recorded
}

// newAnswerRecorder returns a recorder for the response. It records nothing for attempts without a key, nor for
// responses that the protocol between nodes can't carry: those with trailers or with header values that are not UTF-8.
func (e *exchange) newAnswerRecorder(response *http.Response) *answerRecorder {
	if e.forwarded.call.KeyInfo == nil || len(response.Trailer) > 0 || !isValidUTF8(response.Header) {
		return &answerRecorder{}
	}
	return &answerRecorder{answer: &attempt.Answer{Status: response.StatusCode, Header: response.Header}}
}

func isValidUTF8(header http.Header) bool {
	for _, values := range header {
		for _, value := range values {
			if !utf8.ValidString(value) {
				return false
			}
		}
	}
	return true
}

// write appends a part of the body. An answer larger than attempt.MaxAnswerBodyBytes is discarded.
func (r *answerRecorder) write(part []byte) {
	switch {
	case r.answer == nil:
	case len(r.answer.Body)+len(part) > attempt.MaxAnswerBodyBytes:
		r.answer = nil
	default:
		r.answer.Body = append(r.answer.Body, part...)
	}
}
