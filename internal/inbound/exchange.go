package inbound

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/admission"
	"github.com/acacialock/acacialock/internal/attempt"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/quarantine"
)

// exchange is one request on its way through the node.
type exchange struct {
	handler  *Handler
	w        http.ResponseWriter
	r        *http.Request
	in       *incoming
	attempt  *attempt.Attempt
	digest   *quarantine.Digest
	body     *requestBody
	pass     *quarantine.Pass
	slot     *admission.Slot
	watch    *quarantine.Run
	notAfter time.Time
	complete bool // the target's answer was read to its end

	mu       sync.Mutex
	answered bool // the final header was written, no informational one may follow
	conn     *quarantine.Conn
	written  int64 // on conn when the request got it
	sent     bool  // bytes of the request were written to a connection that it had before
}

func newExchange(
	h *Handler, w http.ResponseWriter, r *http.Request, in *incoming, recorded *attempt.Attempt, body *requestBody,
) *exchange {
	digest := quarantine.NewDigest(h.config.Self.Service, r.Method, in.url.RequestURI())
	if r.ContentLength == 0 {
		digest.End()
	}
	body.digest = digest
	body.deadline = in.deadline
	return &exchange{handler: h, w: w, r: r, in: in, attempt: recorded, digest: digest, body: body}
}

// run returns a failure that is to be answered, or nil when an answer was sent.
func (e *exchange) run() *failure.Error {
	defer e.leave()
	if refused := e.admit(); refused != nil {
		e.attempt.Refuse()
		return refused
	}
	defer e.attempt.Broken() // counts only when nothing else was recorded
	ctx, cancel := e.targetContext()
	defer cancel()
	if e.r.ContentLength != 0 {
		defer context.AfterFunc(ctx, e.body.interrupt)()
	}
	return e.forward(ctx)
}

// admit takes the request through quarantine, key gate and admission to the moment of dispatch.
func (e *exchange) admit() *failure.Error {
	ctx, cancel := context.WithDeadline(e.r.Context(), e.in.deadline)
	defer cancel()
	for {
		pass, refused := e.handler.guard.Judge(ctx, e.in.deadline, e.digest, e.body)
		if refused != nil {
			return refused
		}
		e.pass = pass
		if refused := e.checkKey(); refused != nil {
			return refused
		}
		if refused := e.acquire(ctx); refused != nil {
			return refused
		}
		if e.pass.Current(e.digest, e.body) {
			break
		}
		e.leave() // another crash was shared while the request waited
	}
	if refused := e.checkKey(); refused != nil {
		return refused
	}
	return e.attempt.Dispatch()
}

func (e *exchange) acquire(ctx context.Context) *failure.Error {
	var refused *failure.Error
	rank := e.in.rank
	rank.Alone = e.pass.Alone()
	began := time.Now()
	e.slot, refused = e.handler.gate.Enter(ctx, rank)
	e.handler.config.Metrics.Observe("wait.target.us", time.Since(began))
	return refused
}

// checkKey asks the gate about a keyed attempt.
func (e *exchange) checkKey() *failure.Error {
	keyed := e.in.call.Keyed
	if keyed == nil {
		return nil
	}
	if e.handler.config.Gate == nil {
		return notRun(failure.KeyOwnerNotReady, "this node runs no keyed attempts")
	}
	notAfter, refused := e.handler.config.Gate.Check(
		e.handler.config.Self.Service, keyed.Key, keyed.Owner, keyed.RosterVersion)
	e.notAfter = notAfter
	return refused
}

// leave gives back what the request holds.
func (e *exchange) leave() {
	ctx := context.WithoutCancel(e.r.Context())
	if e.watch != nil {
		e.watch.End(ctx, e.complete)
		e.watch = nil
	}
	if e.slot != nil {
		e.releaseSlot()
		e.slot = nil
	}
	if e.pass != nil {
		e.pass.Leave(ctx)
		e.pass = nil
	}
}

// cancelSettle is how long a slot stays taken after a cancelled request, until the target has noticed the cancellation.
// Without it a target at its limit got one request more and refused it (seen in bench/overload at 90% load).
const cancelSettle = 5 * time.Millisecond

func (e *exchange) releaseSlot() {
	slot, complete := e.slot, e.complete
	if e.sent && e.r.Context().Err() != nil {
		time.AfterFunc(cancelSettle, func() { slot.Release(complete) })
		return
	}
	slot.Release(complete)
	e.handler.config.Metrics.Observe("latency.target.us", slot.Age())
	e.handler.shareFullSpeed()
}

// targetContext ends at the deadline, and for idempotent requests also when the caller leaves. Others go on to their
// end, since cancelling them would leave their outcome unknown.
func (e *exchange) targetContext() (context.Context, context.CancelFunc) {
	ctx := e.r.Context()
	if !e.in.call.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, e.in.deadline)
}

// forward sends the request to the target and its answer to the caller.
func (e *exchange) forward(ctx context.Context) *failure.Error {
	e.watch = e.handler.guard.Begin(e.pass, e.digest)
	request := e.targetRequest(httptrace.WithClientTrace(ctx, e.trace()))
	transport := e.handler.target.Load().transport
	if e.pass.Alone() {
		transport.CloseIdleConnections() // the end of an old connection would count as a crash
	}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		failed := e.failedBeforeAnswer(ctx, err)
		e.handler.noteFailure(failed)
		return failed
	}
	defer answer.Body.Close()
	e.handler.notePace(answer)
	if refused := e.check(request, answer); refused != nil {
		e.handler.noteFailure(refused)
		return refused
	}
	if err := e.readAhead(answer); err != nil {
		failed := e.ended(ctx, err)
		e.handler.noteFailure(failed)
		return failed
	}
	e.handler.noteStatus(answer.StatusCode)
	e.answer(ctx, answer)
	return nil
}

// check lets the target's protocol judge the answer.
func (e *exchange) check(request *http.Request, answer *http.Response) *failure.Error {
	if e.handler.config.Protocol == nil {
		return nil
	}
	failed := e.handler.config.Protocol.Check(request, answer)
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
	e.attempt.Broken()
	e.handler.target.Load().transport.CloseIdleConnections() // nothing that follows on the connection can be trusted
	return failed
}

// readAhead reads the start of the answer's body, which it puts before the rest.
func (e *exchange) readAhead(answer *http.Response) error {
	limit := e.handler.config.ReadAhead
	if limit == 0 || answer.ContentLength == 0 || answer.ContentLength > int64(limit) {
		return nil
	}
	head, err := io.ReadAll(io.LimitReader(answer.Body, int64(limit)))
	if err != nil {
		return err
	}
	if len(head) < limit {
		answer.ContentLength = int64(len(head))
	}
	rest := answer.Body
	answer.Body = struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(head), rest), rest}
	return nil
}

// targetRequest is the request for the target. It is built so that net/http never sends a non-idempotent one twice.
func (e *exchange) targetRequest(ctx context.Context) *http.Request {
	url := *e.in.url
	url.Scheme = "http"
	url.Host = e.handler.config.TargetAddr
	request := &http.Request{
		Method:        e.r.Method,
		URL:           &url,
		Host:          e.r.Host,
		Header:        targetHeader(e.r.Header, e.in.deadline, e.notAfter),
		ContentLength: e.r.ContentLength,
		Trailer:       e.r.Trailer, // the server fills it at the body's end
		Body:          e.body,
	}
	if e.r.ContentLength == 0 {
		request.Body = http.NoBody
		if !e.in.call.Idempotent {
			withoutReplay(request)
		}
	}
	if e.handler.config.Protocol != nil {
		e.handler.config.Protocol.Prepare(request.Header, time.Until(e.in.deadline))
	}
	return request.WithContext(ctx)
}

// withoutReplay marks a request that has no body so that net/http does not send it again. A body of unknown length
// would be sent as chunked but for methods that usually lack one.
func withoutReplay(request *http.Request) {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		request.Body = emptyBody{}
	default:
		spellKeys(request.Header)
	}
}

// trace follows the request's connections and passes informational answers on.
func (e *exchange) trace() *httptrace.ClientTrace {
	watch := e.watch
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			watch.Sent()
			e.gotConn(info.Conn.(*quarantine.Conn))
		},
		Got1xxResponse: e.inform,
	}
}

func (e *exchange) gotConn(conn *quarantine.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sent = e.wrote()
	e.conn = conn
	conn.OnBreak(e.targetClosed)
	e.written = conn.Written()
}

// targetClosed ends the reads of the request's body when the target closed the connection before its answer. The
// transport waits for them, for ever if the caller sends nothing more.
func (e *exchange) targetClosed() {
	e.mu.Lock()
	answered := e.answered
	e.mu.Unlock()
	if !answered {
		e.body.interrupt()
	}
}

// wrote reports whether bytes of the request were written to any connection. The mutex is held.
func (e *exchange) wrote() bool {
	return e.sent || e.conn != nil && e.conn.Written() > e.written
}
