package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

// copyBufferBytes is the size of the buffer with which a response body is copied.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// internalHeaders are used between nodes only and removed from requests and responses of callers.
var internalHeaders = []string{
	wire.Service, wire.AttemptHeader, wire.Incarnation, wire.Load, wire.Idempotent, wire.Link, wire.KeyOwner,
	wire.RosterVersion, wire.NotAfter, wire.Rank, wire.Stay, wire.Overflow, wire.CanOverflow, wire.TargetStatus, wire.TargetCold,
	wire.TenantName,
}

// stream copies a node's response to the caller until ctx ends. When the response is truncated it aborts the caller's
// connection, so that the caller can't take it for complete. It returns a failure, and has sent nothing, if no byte of the body
// arrived.
func (h *Handler) stream(ctx context.Context, w http.ResponseWriter, c *call, final result) *failure.Error {
	response := final.response
	defer response.Body.Close()
	copying := &answerCopy{w: w, response: response}
	defer context.AfterFunc(ctx, copying.end)()
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	n, err := response.Body.Read(buffer[:])
	if n == 0 && err != nil && !errors.Is(err, io.EOF) {
		h.config.Metrics.Counter("answer.incomplete").Inc(1)
		return noBodyFailure(ctx, c, final, err)
	}
	h.logAnswer(c, final)
	copyHeader(w.Header(), response.Header)
	c.body.beginAnswer(w)
	defer c.body.finishAnswer(w)
	for name := range response.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(response.StatusCode)
	if err := copying.run(buffer[:], n, err); err != nil {
		h.config.Metrics.Counter("answer.aborted").Inc(1)
		if ctx.Err() == context.DeadlineExceeded {
			h.config.Metrics.Counter("answer.late." + copying.waitedFor()).Inc(1)
		}
		h.logAbort(c, final, copying, err)
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		w.Header()[name] = values
	}
	return nil
}

// noBodyFailure returns the failure of an answer of which only the head arrived.
func noBodyFailure(ctx context.Context, c *call, final result, err error) *failure.Error {
	reason := failure.ConnectionLost
	switch {
	case c.request.Context().Err() != nil:
		reason = failure.CallerGone
	case ctx.Err() == context.DeadlineExceeded:
		reason = failure.DeadlineExceeded
	case ctx.Err() != nil:
		reason = failure.Draining // this node stops
	}
	return failure.Wrap(err, reason, failure.Unknown, "only the head of the answer arrived from node %s", final.memberID)
}

// copyHeader copies a response header without hop-by-hop and internal headers.
func copyHeader(dst, src http.Header) {
	connection := dst["Connection"]
	for name, values := range src {
		dst[name] = values
	}
	removeInternal(dst, connection)
}

// removeInternal removes hop-by-hop and internal headers, except the Connection header that the node itself has set for its
// connection with the caller.
func removeInternal(header http.Header, connection []string) {
	wire.RemoveHopByHop(header)
	wire.RemoveHeaders(header, internalHeaders)
	if connection != nil {
		header["Connection"] = connection
	}
}

// answerCopy copies the body of a node's response to the caller.
type answerCopy struct {
	w        http.ResponseWriter
	response *http.Response
	copied   int64 // bytes

	mu      sync.Mutex
	writing bool // the copy waits for the caller; otherwise it waits for the node
	ended   bool // end was called; writing does not change any more
}

// run copies the body; n and readErr are the result of its first read into buffer. When the length is unknown it flushes after
// each read, so that the caller gets the parts of a slow response as they arrive.
func (a *answerCopy) run(buffer []byte, n int, readErr error) error {
	for ; ; n, readErr = a.response.Body.Read(buffer) {
		if err := a.write(buffer[:n], readErr == nil && a.response.ContentLength < 0); err != nil {
			return err
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
	}
}

// write writes a part of the body, which may be empty, to the caller.
func (a *answerCopy) write(part []byte, flush bool) error {
	a.setWriting(true)
	if len(part) > 0 {
		if _, err := a.w.Write(part); err != nil {
			return err
		}
		a.copied += int64(len(part))
	}
	if flush {
		if err := http.NewResponseController(a.w).Flush(); err != nil {
			return err
		}
	}
	a.setWriting(false)
	return nil
}

func (a *answerCopy) setWriting(writing bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.ended {
		a.writing = writing
	}
}

// end makes further reads of the body fail.
func (a *answerCopy) end() {
	a.mu.Lock()
	a.ended = true
	a.mu.Unlock()
	_ = a.response.Body.Close()
}

// waitedFor returns what the copy waited for when it was ended or failed: "caller" or "node".
func (a *answerCopy) waitedFor() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writing {
		return "caller"
	}
	return "node"
}

// refuse responds with a typed failure.
func (h *Handler) refuse(w http.ResponseWriter, failed *failure.Error) {
	h.config.Metrics.CountRefusal("entry", failed.Reason)
	header := w.Header()
	if failed.Reason == failure.UnknownKey {
		header.Set("WWW-Authenticate", "Bearer")
	}
	if h.config.WriteRefusal != nil {
		w.WriteHeader(h.config.WriteRefusal(header, failed))
		return
	}
	header.Set(wire.Reason, string(failed.Reason))
	header.Set(wire.Outcome, string(failed.Outcome))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if failed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(failed.RetryAfter.Seconds())+1))
	}
	w.WriteHeader(failed.Status())
	_, _ = io.WriteString(w, failed.Error()+"\n") // the caller may have disconnected
}

// writeStoredAnswer responds with the stored answer of an earlier attempt.
func writeStoredAnswer(w http.ResponseWriter, answer *rpc.Answer) {
	header := w.Header()
	connection := slices.Clone(header["Connection"])
	for _, field := range answer.Header {
		header.Add(field.Name, field.Value)
	}
	removeInternal(header, connection)
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(int(answer.Status))
	_, _ = w.Write(answer.Body) // the caller may have disconnected; the answer stays stored
}
