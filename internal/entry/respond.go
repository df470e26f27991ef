package entry

import (
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

// stream copies a node's response to the caller. When the response is truncated it aborts the caller's connection, so
// that the caller can't take it for complete.
func (h *Handler) stream(w http.ResponseWriter, c *call, final result) {
	response := final.response
	defer response.Body.Close()
	copyHeader(w.Header(), response.Header)
	c.body.beginAnswer(w)
	defer c.body.finishAnswer(w, c.request)
	for name := range response.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(response.StatusCode)
	if copied, err := copyBody(w, response); err != nil {
		h.config.Metrics.Counter("answer.aborted").Inc(1)
		h.logAbort(c, final, copied, err)
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		w.Header()[name] = values
	}
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

// copyBody copies the response body and returns the number of bytes that it copied. When the body's length is unknown it
// flushes after each read, so that the caller gets the parts of a slow response as they arrive.
func copyBody(w http.ResponseWriter, response *http.Response) (copied int64, err error) {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	flush := response.ContentLength < 0
	controller := http.NewResponseController(w)
	for {
		n, readErr := response.Body.Read(buffer[:])
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return copied, err
			}
			copied += int64(n)
		}
		if errors.Is(readErr, io.EOF) {
			return copied, nil
		}
		if readErr != nil {
			return copied, readErr
		}
		if flush {
			if err := controller.Flush(); err != nil {
				return copied, err
			}
		}
	}
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
