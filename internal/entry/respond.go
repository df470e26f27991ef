package entry

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// nodeHeaders are for nodes only.
var nodeHeaders = []string{
	wire.Service, wire.AttemptHeader, wire.Incarnation, wire.Load, wire.Idempotent, wire.Link, wire.KeyOwner,
	wire.RosterVersion, wire.NotAfter, wire.Rank, wire.Stay, wire.Overflow,
}

// stream passes a node's answer on to the caller. When the answer breaks off it aborts the caller's connection, so that
// a cut answer never looks whole.
func (h *Handler) stream(w http.ResponseWriter, response *http.Response) {
	defer response.Body.Close()
	copyHeader(w.Header(), response.Header)
	for name := range response.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(response.StatusCode)
	if err := copyBody(w, response); err != nil {
		h.config.Metrics.Counter("answer.aborted").Inc(1)
		panic(http.ErrAbortHandler)
	}
	for name, values := range response.Trailer {
		w.Header()[name] = values
	}
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	wire.RemoveHopByHop(to)
	wire.RemoveHeaders(to, nodeHeaders)
}

// copyBody flushes after each read when the length is unknown, so that the caller sees a slow answer as it comes.
func copyBody(w http.ResponseWriter, response *http.Response) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	flush := response.ContentLength < 0
	controller := http.NewResponseController(w)
	for {
		n, readErr := response.Body.Read(buffer[:])
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return readErr
		}
		if flush {
			if err := controller.Flush(); err != nil {
				return err
			}
		}
	}
}

// refuse answers with a typed failure.
func (h *Handler) refuse(w http.ResponseWriter, failed *failure.Error) {
	h.config.Metrics.Refused("entry", failed.Reason)
	header := w.Header()
	if h.config.Refuse != nil {
		w.WriteHeader(h.config.Refuse(header, failed))
		return
	}
	header.Set(wire.Reason, string(failed.Reason))
	header.Set(wire.Outcome, string(failed.Outcome))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if failed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(failed.RetryAfter.Seconds())+1))
	}
	w.WriteHeader(failed.Status())
	_, _ = io.WriteString(w, failed.Error()+"\n") // the caller may have gone away
}

// replay answers with a kept answer.
func replay(w http.ResponseWriter, answer *rpc.Answer) {
	header := w.Header()
	for _, field := range answer.Header {
		header.Add(field.Name, field.Value)
	}
	wire.RemoveHopByHop(header)
	wire.RemoveHeaders(header, nodeHeaders)
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(int(answer.Status))
	_, _ = w.Write(answer.Body) // the caller may have gone away; the answer stays kept
}
