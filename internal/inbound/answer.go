package inbound

import (
	"context"
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

// copyBytes is the size of the buffer between the target and the caller.
const copyBytes = 32 << 10

var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// inform passes an informational answer on. 100 is given by this node's server, 101 is not supported.
func (e *exchange) inform(code int, header textproto.MIMEHeader) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answered || code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return nil
	}
	given := e.w.Header()
	copyHeader(given, http.Header(header))
	wire.RemoveHeaders(given, innerAnswer)
	e.w.WriteHeader(code)
	clear(given)
	return nil
}

// answer passes the target's answer on, header and parts of the body as they come. It panics with
// http.ErrAbortHandler when the answer breaks off.
func (e *exchange) answer(ctx context.Context, answer *http.Response) {
	e.handler.noteHint(answer)
	control := http.NewResponseController(e.w)
	_ = control.SetWriteDeadline(e.in.deadline)
	defer func() { _ = control.SetWriteDeadline(time.Time{}) }() // the connection serves further requests
	announced := e.answerHeader(answer)
	if answer.ContentLength != 0 {
		_ = control.Flush() // a failed write is seen with the body
	}
	kept := e.newKeeper(answer)
	if failed := e.copyBody(ctx, answer, control, kept); failed != nil {
		e.abort(failed)
	}
	e.complete = true
	e.attempt.Done(kept.kept)
	e.answerTrailer(answer, announced)
}

// answerHeader returns the trailers that it announced.
func (e *exchange) answerHeader(answer *http.Response) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answered = true
	wire.RemoveHopByHop(answer.Header)
	wire.RemoveHeaders(answer.Header, innerAnswer)
	header := e.w.Header()
	copyHeader(header, answer.Header)
	announced := slices.Collect(maps.Keys(answer.Trailer))
	for _, name := range announced {
		header.Add("Trailer", name)
	}
	e.handler.addSample(header, e.r)
	if _, ok := header["Date"]; !ok {
		header["Date"] = nil // keeps the server from adding its own
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	e.w.WriteHeader(answer.StatusCode)
	return announced
}

// copyBody returns a failure when the answer can't be completed. When the caller leaves, the answer of a non-idempotent
// request is still read to its end.
func (e *exchange) copyBody(
	ctx context.Context, answer *http.Response, control *http.ResponseController, kept *keeper,
) *failure.Error {
	buffer := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buffer)
	var total int64
	var callerErr error
	for {
		n, err := answer.Body.Read(buffer[:])
		total += int64(n)
		kept.add(buffer[:n])
		if n > 0 && callerErr == nil {
			callerErr = e.send(buffer[:n], control, total == answer.ContentLength)
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return e.ended(ctx, err)
		case callerErr != nil && e.in.call.Idempotent:
			return failure.Wrap(callerErr, failure.CallerGone, failure.Unknown, "the caller left")
		}
	}
}

// send writes one part to the caller. The last part of a known length is flushed by the server.
func (e *exchange) send(part []byte, control *http.ResponseController, last bool) error {
	if _, err := e.w.Write(part); err != nil {
		return err
	}
	if last {
		return nil
	}
	return control.Flush()
}

func (e *exchange) answerTrailer(answer *http.Response, announced []string) {
	for name, values := range answer.Trailer {
		if !slices.Contains(announced, name) {
			name = http.TrailerPrefix + name
		}
		for _, value := range values {
			e.w.Header().Add(name, value)
		}
	}
}

// keeper collects the answer of a keyed attempt.
type keeper struct {
	kept *attempt.Answer // nil when the answer is not kept
}

// newKeeper keeps nothing of answers that the inner protocol can't carry: those with trailers or with text in their
// header that is not UTF-8.
func (e *exchange) newKeeper(answer *http.Response) *keeper {
	if e.in.call.Keyed == nil || len(answer.Trailer) > 0 || !validText(answer.Header) {
		return &keeper{}
	}
	return &keeper{kept: &attempt.Answer{Status: answer.StatusCode, Header: answer.Header}}
}

func validText(header http.Header) bool {
	for _, values := range header {
		for _, value := range values {
			if !utf8.ValidString(value) {
				return false
			}
		}
	}
	return true
}

func (k *keeper) add(part []byte) {
	switch {
	case k.kept == nil:
	case len(k.kept.Body)+len(part) > attempt.MaxAnswer:
		k.kept = nil
	default:
		k.kept.Body = append(k.kept.Body, part...)
	}
}
