package inbound

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/admission"
	"github.com/acacialock/acacialock/internal/attempt"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/quarantine"
	"github.com/acacialock/acacialock/internal/wire"
)

// exchange is the state of one forwarded request, from its arrival at the node to the end of its response.
type exchange struct {
	handler          *Handler
	w                http.ResponseWriter
	r                *http.Request
	forwarded        *forwardedRequest
	attempt          *attempt.Attempt
	digest           *quarantine.Digest
	body             *requestBody
	pass             *quarantine.Pass
	slot             *admission.Slot
	tracked          *quarantine.TrackedRequest
	notAfter         time.Time
	responseComplete bool // the target's response was read to its end
	bodyBuffered     bool // the whole body was read before the header is written
	cancelled        bool // the request to the target was cancelled, by the caller or at the deadline
	control          *http.ResponseController
	cancelTarget     context.CancelFunc // of the request to the target; set before the slot is taken
	writing          atomic.Bool        // waits until the caller takes a part of the answer
	written          atomic.Int64       // bytes of the answer's body that the caller has taken
	cutOff           atomic.Bool        // the caller stalled while others wanted the slot

	mu                sync.Mutex
	slotReleased      bool // CutOff has no effect any more
	headerWritten     bool // the final header is or will be written; no informational response may follow
	informational     int  // informational responses received
	conn              *quarantine.Conn
	writtenBefore     int64 // bytes written to conn before this request got it
	connReused        bool  // conn served another request before
	sentOnEarlierConn bool  // bytes of the request were written to an earlier connection
}

func newExchange(
	h *Handler, w http.ResponseWriter, r *http.Request, forwarded *forwardedRequest, recorded *attempt.Attempt,
	body *requestBody,
) *exchange {
	digest := quarantine.NewDigest(h.config.Self.Service, r.Method, forwarded.url.RequestURI())
	if r.ContentLength == 0 {
		digest.End()
	}
	body.digest = digest
	body.deadline = forwarded.deadline
	return &exchange{
		handler: h, w: w, r: r, forwarded: forwarded, attempt: recorded, digest: digest, body: body, control: body.control,
	}
}

// run processes the request. It returns a failure to be sent to the caller, or nil if a response was sent.
func (e *exchange) run() *failure.Error {
	ctx, cancel := e.targetContext()
	defer cancel()
	e.cancelTarget = cancel
	defer e.release()
	if refused := e.admit(); refused != nil {
		e.attempt.Refuse()
		return refused
	}
	defer e.attempt.MarkBroken() // no effect if another end was recorded
	defer func() { e.cancelled = ctx.Err() != nil }()
	if e.r.ContentLength != 0 {
		defer context.AfterFunc(ctx, e.body.interrupt)()
	}
	failed := e.forward(ctx)
	if failed != nil {
		e.endInformational()
	}
	return failed
}

// admit passes the request through the quarantine, the key gate and the admission limiter, and marks it as dispatched.
func (e *exchange) admit() *failure.Error {
	ctx, cancel := context.WithDeadline(e.r.Context(), e.forwarded.deadline)
	defer cancel()
	if refused := e.handler.checkEvacuation(); refused != nil {
		return refused
	}
	for {
		pass, refused := e.handler.guard.Admit(ctx, e.forwarded.deadline, e.digest, e.body)
		if refused != nil {
			return refused
		}
		e.pass = pass
		if refused := e.checkKeyAuthority(); refused != nil {
			return refused
		}
		if refused := e.acquireSlot(ctx); refused != nil {
			return refused
		}
		if e.pass.StillValid(e.digest, e.body) {
			break
		}
		e.release() // suspects changed while the request waited
	}
	if refused := e.checkKeyAuthority(); refused != nil {
		return refused
	}
	if refused := e.handler.checkEvacuation(); refused != nil {
		return refused // the order came while the request waited
	}
	return e.attempt.Dispatch()
}

// acquireSlot waits for a slot of the admission limiter.
func (e *exchange) acquireSlot(ctx context.Context) *failure.Error {
	var refused *failure.Error
	rank := e.forwarded.rank
	rank.Exclusive = e.pass.Isolated()
	rank.Streamed, rank.Caller = e.body.expectsContinue, e
	start := time.Now()
	e.slot, refused = e.handler.limiter.Acquire(ctx, rank)
	e.handler.config.Metrics.ObserveDuration("wait.target.us", time.Since(start))
	return refused
}

// checkKeyAuthority checks with the key gate that this node may run a keyed attempt. Other attempts always pass.
func (e *exchange) checkKeyAuthority() *failure.Error {
	keyInfo := e.forwarded.call.KeyInfo
	if keyInfo == nil {
		return nil
	}
	if e.handler.config.KeyGate == nil {
		return notRun(failure.KeyOwnerNotReady, "this node runs no keyed attempts")
	}
	notAfter, refused := e.handler.config.KeyGate.Check(
		e.handler.config.Self.Service, keyInfo.Key, keyInfo.Owner, keyInfo.RosterVersion)
	e.notAfter = notAfter
	return refused
}

// release ends the tracking of the request and releases its slot and its quarantine pass.
func (e *exchange) release() {
	ctx := context.WithoutCancel(e.r.Context())
	if e.tracked != nil {
		e.tracked.Finish(ctx, e.responseComplete)
		e.tracked = nil
	}
	if e.slot != nil {
		e.mu.Lock()
		e.slotReleased = true
		e.mu.Unlock()
		e.releaseSlot()
		e.slot = nil
	}
	if e.pass != nil {
		e.pass.Release(ctx)
		e.pass = nil
	}
}

// cancelReleaseDelay is how long the slot of a cancelled request stays occupied, to let the target notice the
// cancellation. Without it, a target at its limit got one request too many and refused it (bench/overload at 90% load).
const cancelReleaseDelay = 5 * time.Millisecond

// releaseDelay returns how long the slot of a request stays occupied after its end. A target that has answered completely
// or received nothing has no cancellation to notice.
func releaseDelay(cancelled, sent, responseComplete bool) time.Duration {
	if cancelled && sent && !responseComplete {
		return cancelReleaseDelay
	}
	return 0
}

// releaseSlot releases the slot after releaseDelay.
func (e *exchange) releaseSlot() {
	slot, responseComplete := e.slot, e.responseComplete
	e.mu.Lock()
	sent := e.wroteBytes()
	e.mu.Unlock()
	if delay := releaseDelay(e.cancelled, sent, responseComplete); delay > 0 {
		time.AfterFunc(delay, func() { slot.Release(responseComplete) })
		return
	}
	slot.Release(responseComplete)
	e.handler.config.Metrics.ObserveDuration("latency.target.us", slot.Age())
	e.handler.shareFullSpeedConcurrency()
}

// targetContext returns the context of the request to the target. It ends at the deadline and, for idempotent
// requests, when the caller disconnects. Other requests run to completion, since their outcome would be unknown after
// a cancellation.
func (e *exchange) targetContext() (context.Context, context.CancelFunc) {
	ctx := e.r.Context()
	if !e.forwarded.call.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, e.forwarded.deadline)
}

// forward sends the request to the target and the response to the caller.
func (e *exchange) forward(ctx context.Context) *failure.Error {
	e.tracked = e.handler.guard.Track(e.pass, e.digest)
	request := e.targetRequest(httptrace.WithClientTrace(ctx, e.clientTrace()))
	transport := e.handler.target.Load().transport
	if e.pass.Isolated() {
		transport.CloseIdleConnections() // the close of an old connection would count as a crash
	}
	response, err := transport.RoundTrip(request)
	for err != nil && e.nothingWritten(ctx) && e.r.ContentLength == 0 {
		response, err = transport.RoundTrip(request) // the connection that failed is not in the pool any more
	}
	if err != nil {
		failed := e.failBeforeResponse(ctx, err)
		e.handler.recordFailure(failed)
		return failed
	}
	defer response.Body.Close()
	if failed := e.checkStatusLine(response); failed != nil {
		e.handler.recordFailure(failed)
		return failed
	}
	if report := e.handler.recordReport(response.Header, fromResponse); report.Pace > 0 {
		e.handler.limiter.SetPace(report.Pace)
	}
	if refused := e.checkResponse(request, response); refused != nil {
		e.handler.recordFailure(refused)
		return refused
	}
	if err := e.readAhead(response); err != nil {
		failed := e.unknownOutcomeFailure(ctx, err)
		e.handler.recordFailure(failed)
		return failed
	}
	e.handler.recordStatus(response.StatusCode)
	e.writeResponse(ctx, response)
	return nil
}

// checkStatusLine rejects a response with a status line that HTTP does not have. Whether the target ran the request is then
// not known, and further responses on the connection can't be trusted.
func (e *exchange) checkStatusLine(response *http.Response) *failure.Error {
	err := wire.CheckStatusLine(response)
	if err == nil {
		return nil
	}
	e.handler.config.Metrics.Counter("answer.status-line-invalid").Inc(1)
	e.attempt.MarkBroken()
	e.handler.target.Load().transport.CloseIdleConnections()
	return failure.Wrap(err, failure.TargetConnectionBroke, failure.Unknown, "the target sent no answer")
}

// checkResponse validates the response with the configured TargetProtocol and records a rejected one in the ledger.
func (e *exchange) checkResponse(request *http.Request, response *http.Response) *failure.Error {
	if e.handler.config.Protocol == nil {
		return nil
	}
	failed := e.handler.config.Protocol.ValidateResponse(request, response)
	if failed == nil {
		return nil
	}
	if failed.Outcome == failure.NotRun {
		e.attempt.Refuse()
		if failed.Reason == failure.WrongTarget && e.handler.config.OnWrongTarget != nil {
			e.handler.config.OnWrongTarget()
		}
		return failed
	}
	e.attempt.MarkBroken()
	e.handler.target.Load().transport.CloseIdleConnections() // further responses on the connection can't be trusted
	return failed
}

// readAhead buffers up to Config.ReadAheadBytes of the response body and replaces the body by the buffer and the rest.
// Responses whose known length exceeds the limit are not buffered.
func (e *exchange) readAhead(response *http.Response) error {
	limit := e.handler.config.ReadAheadBytes
	if limit == 0 || response.ContentLength == 0 || response.ContentLength > int64(limit) {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(response.Body, int64(limit)))
	if err != nil {
		return err
	}
	if len(head) < limit {
		response.ContentLength = int64(len(head))
		e.bodyBuffered = true
	}
	rest := response.Body
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), rest), rest}
	return nil
}

// targetRequest returns the request to the target, built so that net/http sends it once.
func (e *exchange) targetRequest(ctx context.Context) *http.Request {
	url := *e.forwarded.url
	url.Scheme = "http"
	url.Host = e.handler.config.TargetAddr
	request := &http.Request{
		Method:        e.r.Method,
		URL:           &url,
		Host:          e.r.Host,
		Header:        targetHeader(e.r.Header, e.forwarded.deadline, e.notAfter),
		ContentLength: e.r.ContentLength,
		Trailer:       e.r.Trailer, // filled by the server at the end of the body
		Body:          e.body,
	}
	if e.r.ContentLength == 0 {
		wire.PreventResend(request)
	}
	if e.handler.config.Protocol != nil {
		e.handler.config.Protocol.PrepareHeader(request.Header, time.Until(e.forwarded.deadline))
	}
	return request.WithContext(ctx)
}

// clientTrace returns the hooks that track the request's connection and forward informational responses.
func (e *exchange) clientTrace() *httptrace.ClientTrace {
	tracked := e.tracked
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			tracked.MarkSent()
			e.gotConn(info.Conn.(*quarantine.Conn), info.Reused)
		},
		Got1xxResponse: e.writeInformational,
	}
}

// gotConn records the connection that the transport chose. It is called again if the transport retries.
func (e *exchange) gotConn(conn *quarantine.Conn, reused bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sentOnEarlierConn = e.wroteBytes()
	if e.sentOnEarlierConn {
		e.handler.limiter.CountUnplannedSend()
	}
	e.handler.countSent(e.sentOnEarlierConn || e.forwarded.sends > 1)
	e.conn, e.connReused = conn, reused
	conn.OnTargetClose(e.onTargetClosed)
	e.writtenBefore = conn.BytesWritten()
}

// onTargetClosed interrupts the reads of the request body when the target closes the connection before its response.
// The transport waits for these reads, which never end if the caller sends nothing more.
func (e *exchange) onTargetClosed() {
	e.mu.Lock()
	headerWritten := e.headerWritten
	e.mu.Unlock()
	if !headerWritten {
		e.body.interrupt()
	}
}

// nothingWritten reports whether the request got a connection that the target closed before any byte of the request was written,
// so that another send is the first that the target can see. A new connection fails in this way only if the target refuses it.
func (e *exchange) nothingWritten(ctx context.Context) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ctx.Err() == nil && e.conn != nil && e.connReused && !e.wroteBytes()
}

// wroteBytes reports whether any byte of the request was written to any connection. The mutex is held.
func (e *exchange) wroteBytes() bool {
	return e.sentOnEarlierConn || e.conn != nil && e.conn.BytesWritten() > e.writtenBefore
}
