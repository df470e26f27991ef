package callerhttp

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/framing"
)

// exchange is a request in progress and its answer. It is the http.ResponseWriter of its handler.
type exchange struct {
	conn     *conn
	request  *http.Request
	body     *body         // nil: the request has none
	fault    framing.Fault // of the head
	overlaps bool          // requests behind it may be started before it is answered, and it beside those before it
	cancel   context.CancelFunc
	answer   answer
	reserved int // bytes that are reserved for the answer because those before it are not complete

	// Bytes that are counted in the account until the request ends.
	requestBytes, bodyBytes, answerBytes atomic.Int64

	continueMu sync.Mutex // guards body.continues and the write of the informational answer

	// Guarded by the connection's mutex.
	first   bool   // it writes to the connection itself; the answers before it were written
	out     []byte // answer so far, while it is not first
	done    bool   // the handler has returned and the answer is complete
	aborted bool   // the answer stays incomplete, the connection is closed in its place
	closes  bool   // the answer says that the connection is closed after it
	// awaitsBody is set while the body is read before the request is sent on, or discarded before it is answered. The connection
	// may be closed for others then.
	awaitsBody      bool
	awaitsBodySince time.Time
}

// init sets the request, its context and its body.
func (e *exchange) init(parsed *http.Request, fault framing.Fault) {
	ctx, cancel := context.WithCancel(context.Background())
	if parsed.Header == nil {
		parsed.Header = http.Header{}
	}
	e.cancel, e.fault = cancel, fault
	e.request = parsed.WithContext(ctx)
	e.request.RemoteAddr = e.conn.remoteAddr
	e.answer.length = -1
	if fault != framing.NoFault {
		return
	}
	if parsed.ContentLength != 0 {
		e.body = &body{exchange: e, chunked: parsed.ContentLength < 0, remaining: max(parsed.ContentLength, 0)}
		e.body.continues = parsed.ProtoMinor == 1 && parsed.Header["Expect"] != nil
		e.request.Body = e.body
	}
	e.overlaps = e.mayOverlap()
}

// mayOverlap reports whether the request may run beside others of its connection: it has no body and changes nothing about
// the connection, its method is safe, and the handler says that it may be repeated.
func (e *exchange) mayOverlap() bool {
	r := e.request
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
	default:
		return false
	}
	may := e.conn.server.config.MayOverlap
	return may != nil && e.body == nil && !r.Close && r.ProtoMinor == 1 && r.Header["Expect"] == nil && r.Header["Upgrade"] == nil &&
		r.Header["Transfer-Encoding"] == nil && may(r)
}

// run serves the request and completes the answer.
func (e *exchange) run() {
	completed := false
	defer func() {
		if !completed {
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				klog.ErrorS(nil, "panic recovered", "where", "caller connection", "cause", cause, "stack", string(debug.Stack()))
			}
			e.abort()
		}
	}()
	config := e.conn.server.config
	switch e.fault {
	case framing.NoFault:
		config.Handler.ServeHTTP(e, e.request)
	case framing.UnknownEncoding:
		e.refusePlainly(http.StatusNotImplemented)
	case framing.UnknownExpectation:
		e.refusePlainly(http.StatusExpectationFailed)
	default:
		e.conn.server.count(faultCounter(e.fault))
		e.Header().Set("Connection", "close")
		config.Refuse(e, e.request, e.fault)
	}
	completed = e.finish()
}

// refusePlainly answers a request that can't be served by this server.
func (e *exchange) refusePlainly(status int) {
	e.conn.server.count(faultCounter(e.fault))
	e.Header().Set("Connection", "close")
	http.Error(e, http.StatusText(status), status)
}

// faultCounter returns the name of the counter of refusals with a fault.
func faultCounter(fault framing.Fault) string {
	switch fault {
	case framing.ConflictingLengths:
		return "caller.refused.conflicting-lengths"
	case framing.HeaderTooLarge:
		return "caller.refused.header-too-large"
	case framing.NoMemory:
		return "caller.refused.memory"
	case framing.UnknownEncoding:
		return "caller.refused.unknown-encoding"
	case framing.UnknownExpectation:
		return "caller.refused.unknown-expectation"
	default:
		return "caller.refused.malformed-header"
	}
}

// end cancels what the request still does and frees its memory.
func (e *exchange) end() {
	e.cancel()
	e.releaseMemory()
	e.conn.server.unreserve(e.reserved)
}

// releaseMemory takes what the request holds out of the account.
func (e *exchange) releaseMemory() {
	account := e.conn.server.account
	account.Release(callermem.Requests, e.requestBytes.Swap(0))
	account.Release(callermem.Bodies, e.bodyBytes.Swap(0))
	account.Release(callermem.Answers, e.answerBytes.Swap(0))
}

// ReserveAnswer counts bytes of the answer that are kept until the request ends, unless callers would make the process hold too
// much. It may be called from any goroutine.
func (e *exchange) ReserveAnswer(bytes int) bool {
	if !e.conn.server.account.Reserve(callermem.Answers, int64(bytes)) {
		return false
	}
	e.answerBytes.Add(int64(bytes))
	return true
}

// finish sends the rest of the answer and hands the connection on. It returns false if the answer is shorter than announced.
func (e *exchange) finish() bool {
	if !e.finishAnswer() {
		return false
	}
	if e.body != nil && !e.body.finish(e.willClose()) {
		e.conn.mu.Lock()
		e.closes, e.conn.lingers = true, true
		e.conn.mu.Unlock()
	}
	e.end()
	e.conn.complete(e)
	return true
}

// willClose reports whether the answer says that the connection is closed.
func (e *exchange) willClose() bool {
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	return e.closes
}

// abort ends the connection without the rest of the answer, once those before it are written.
func (e *exchange) abort() {
	e.answer.release()
	if e.body != nil {
		e.body.finish(true)
	}
	e.end()
	e.conn.abort(e)
}

// sendContinue asks the caller for the body if it waits for that and the answer has not begun.
func (e *exchange) sendContinue() {
	e.continueMu.Lock()
	defer e.continueMu.Unlock()
	if e.body.continues {
		e.body.continues = false
		e.conn.setWriteDeadline(time.Now().Add(maxWriteTimeout)) // the one in force may have passed while the connection was idle
		_, _ = e.conn.net.Write(continueAnswer)                  // a failure also fails the read of the body
	}
}

// awaitsContinue reports whether the caller has not been asked for the body, and prevents that it is asked from now on.
func (e *exchange) awaitsContinue() bool {
	e.continueMu.Lock()
	defer e.continueMu.Unlock()
	awaits := e.body.continues
	e.body.continues = false
	return awaits
}

// SetReadDeadline limits the time for reading the body. It is meant for http.ResponseController.
func (e *exchange) SetReadDeadline(until time.Time) error {
	if e.body == nil || e.body.complete.Load() {
		return nil // the connection's reader reads
	}
	e.conn.mu.Lock()
	defer e.conn.mu.Unlock()
	e.conn.setDeadline(until)
	return nil
}

// EnableFullDuplex makes it possible to read the body after the answer has begun. It is meant for http.ResponseController.
func (e *exchange) EnableFullDuplex() error {
	e.answer.fullDuplex = true
	return nil
}
