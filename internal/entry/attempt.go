package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/forward"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/serving"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// checkTimeout bounds an RPC to a target's node on a new connection; it covers two round trips across regions.
	checkTimeout = 250 * time.Millisecond
	// transitGrace is how long an answer may still be in transit after the node reported that the attempt ended.
	transitGrace = 75 * time.Millisecond
)

// attempt is one send of a call to the node of one target.
type attempt struct {
	handler            *Handler
	call               *call
	id                 wire.AttemptID
	member             cluster.Member
	reportUnresponsive func()        // reports to the balancer that the member's node doesn't answer; see balance.Pick
	sends              int           // number of sends of the call, this one included
	pinned             bool          // the node must not refuse the attempt because its target is slow or failing
	grant              *grantHeaders // keyed calls only
	overflow           bool          // the node must refuse the attempt unless a slot is free
	canOverflow        bool          // another region may take the call if the node has no free slot
	generation         *forward.Generation
	cancel             context.CancelFunc
	started            time.Time
}

// grantHeaders holds the header values that prove to the target's node that the key's owner granted the attempt.
type grantHeaders struct {
	owner         string // member id
	rosterVersion uint64
}

// result is the result of an attempt: a response of the target, a stored answer, or a failure.
type result struct {
	response  *http.Response
	stored    *rpc.Answer
	failed    *failure.Error
	memberID  string // id of the member that the attempt was sent to
	currentID string // id of the member that its node serves since a restart; empty: unknown
	sample    *wire.LoadSample
	// limitNamed is true if the target names a limit for the requests per second that it accepts.
	limitNamed bool
	// coldFor is the time for which the target still warms up; 0: it is warm, or that is not known.
	coldFor  time.Duration
	latency  time.Duration // to the first byte
	overflow bool          // the attempt was offered to another region
	pinned   bool          // the node was told that the call has no other target to move to
	// allLimited is true if no member that the call could be sent to accepted a request, by the limits of their targets.
	allLimited bool
}

// roundTripResult holds the return values of a round trip.
type roundTripResult struct {
	response   *http.Response
	sendStatus *forward.SendStatus
	err        error
}

// runRecovered is run with a panic turned into a failure: outside of the request's own goroutine it would end the process.
func (a *attempt) runRecovered(ctx context.Context) (res result) {
	defer func() {
		if cause := recover(); cause != nil {
			serving.LogPanic("attempt", cause)
			a.handler.config.Metrics.Counter("panic.attempt").Inc(1)
			res = result{failed: failure.New(failure.InternalError, failure.Unknown, "the attempt ended with a panic")}
		}
	}()
	return a.run(ctx)
}

// run sends the attempt and waits until a response begins or the outcome is known. ctx ends at the deadline, when the
// caller disconnects, or when another attempt of the call has won.
func (a *attempt) run(ctx context.Context) result {
	a.started = time.Now()
	a.generation = a.handler.config.Transport.Generation(a.member.PeerAddr)
	sendCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.cancel = cancel
	roundTrip := make(chan roundTripResult, 1)
	request := a.newRequest(sendCtx)
	go func() {
		response, sendStatus, err := a.generation.RoundTrip(request)
		roundTrip <- roundTripResult{response, sendStatus, err}
	}()
	return a.await(ctx, roundTrip)
}

// await waits for the response, checks the connection when the first byte is late or the connection's generation is
// retired, and resolves the outcome. The time until the next check doubles each time.
func (a *attempt) await(ctx context.Context, roundTrip chan roundTripResult) result {
	tracker := a.handler.latencies.route(a.call.route())
	wait := tracker.suspectDelay()
	suspect := time.NewTimer(wait)
	defer suspect.Stop()
	retired := a.generation.Retired()
	for {
		select {
		case rt := <-roundTrip:
			return a.handleRoundTrip(ctx, rt)
		case <-ctx.Done():
			return a.abandon(ctx, roundTrip)
		case <-retired:
			retired = nil
		case <-suspect.C:
		}
		if res, final := a.checkConnection(ctx, roundTrip); final {
			return res
		}
		wait *= 2
		suspect.Reset(wait)
	}
}

// newRequest returns the request to the target's node: the caller's request under wire.ForwardPath, with the headers of
// the attempt.
func (a *attempt) newRequest(ctx context.Context) *http.Request {
	original := a.call.request
	request := original.Clone(ctx)
	request.RequestURI = ""
	request.URL.Scheme = "http"
	request.URL.Host = a.member.PeerAddr
	wire.SetPath(request.URL, wire.ForwardPath+a.call.path)
	prepareHeader(request.Header)
	header := request.Header
	header.Set(wire.Service, a.call.service.Name)
	header.Set(wire.AttemptHeader, a.id.String())
	header.Set(wire.Incarnation, a.member.ID)
	header.Set(wire.TimeoutMS, strconv.FormatInt(max(a.call.remaining().Milliseconds(), 1), 10))
	header.Set(wire.Depth, strconv.Itoa(a.call.depth+1)) // depth of the calls that the target makes
	header.Set(wire.Attempts, strconv.Itoa(a.sends))
	if a.call.idempotent {
		header.Set(wire.Idempotent, "1")
	}
	if a.call.rule != nil || a.call.tenant != nil {
		_, kind := a.call.route()
		header.Set(wire.Rank, wire.FormatRank(kind, a.call.priority(), a.call.softRemaining()))
	}
	if a.call.tenant != nil {
		header.Set(wire.TenantName, a.call.tenant.Name)
	}
	switch {
	case a.overflow:
		header.Set(wire.Overflow, "1")
	case a.pinned:
		header.Set(wire.Stay, "1")
	}
	if a.canOverflow {
		header.Set(wire.CanOverflow, "1")
	}
	if a.member.Region != a.call.snapshot.Self.Region {
		header.Set(wire.Link, "1")
	}
	if state := a.handler.states.header(a.member.PeerAddr, a.member.ID, time.Now()); state != "" {
		header.Set(wire.TargetStatus, state)
	}
	if a.grant != nil {
		header.Set(wire.KeyOwner, a.grant.owner)
		header.Set(wire.RosterVersion, strconv.FormatUint(a.grant.rosterVersion, 10))
	}
	if a.call.body.streamed() {
		header.Set("Expect", "100-continue") // so that a refusal leaves the body unread, for another target
	}
	a.call.body.attach(request)
	return request
}

// handleRoundTrip converts the result of the round trip, and resolves the outcome when the connection broke.
func (a *attempt) handleRoundTrip(ctx context.Context, rt roundTripResult) result {
	if rt.err == nil {
		return a.handleResponse(ctx, rt.response)
	}
	defer a.cancel()
	if !rt.sendStatus.GotConn() {
		return result{failed: failure.Wrap(rt.err, failure.ConnectFailed, failure.NotRun, "no connection to node %s", a.member.ID)}
	}
	return a.connectionLost(ctx, rt.err)
}

// connectionLost returns the result of an attempt whose connection broke before the answer was complete.
func (a *attempt) connectionLost(ctx context.Context, err error) result {
	if a.call.idempotent {
		return result{failed: failure.Wrap(err, failure.ConnectionLost, failure.Unknown, "the connection to node %s broke", a.member.ID)}
	}
	return a.resolveOutcome(ctx, failure.ConnectionLost)
}

// readAhead reads the whole body of an answer whose length is known and at most Config.ReadAheadBytes. Nothing of the
// answer has been sent to the caller then, so that a connection that breaks is a failure that can be retried or reported;
// later, only the caller's connection can be closed. ctx bounds the time. While callers use all memory that they may use, the answer
// is streamed.
func (a *attempt) readAhead(ctx context.Context, response *http.Response) error {
	length := response.ContentLength
	if length <= 0 || length > int64(a.handler.config.ReadAheadBytes) || a.call.request.Method == http.MethodHead {
		return nil
	}
	if a.call.answers != nil && !a.call.answers.ReserveAnswer(int(length)+callermem.HeaderSize(response.Header)) {
		a.handler.config.Metrics.Counter("answer.not-read-ahead").Inc(1)
		return nil
	}
	defer context.AfterFunc(ctx, a.cancel)()
	body := make([]byte, length)
	if _, err := io.ReadFull(response.Body, body); err != nil {
		return err
	}
	_ = response.Body.Close() // at its end: the connection is reused
	response.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// handleBrokenAnswer returns the result of an attempt whose answer had begun and did not arrive whole.
func (a *attempt) handleBrokenAnswer(ctx context.Context, response *http.Response, err error) result {
	defer a.cancel()
	_ = response.Body.Close()
	a.handler.config.Metrics.Counter("answer.incomplete").Inc(1)
	if ctx.Err() != nil {
		return a.abandonedResult(ctx)
	}
	return a.connectionLost(ctx, err)
}

// handleResponse converts a response: one with wire.Reason is a refusal by the node, any other is the target's.
func (a *attempt) handleResponse(ctx context.Context, response *http.Response) result {
	if err := wire.CheckStatusLine(response); err != nil {
		return a.handleBrokenAnswer(ctx, response, err)
	}
	res := result{response: response, latency: time.Since(a.started)}
	if sample, err := wire.ParseLoadSample(response.Header.Get(wire.Load)); err == nil {
		res.sample = &sample
	}
	reason := response.Header.Get(wire.Reason)
	memberID := a.member.ID
	if current := response.Header.Get(wire.CurrentMember); current != "" {
		memberID = current
	}
	state := a.handler.states.record(a.member.PeerAddr, memberID, response.Header.Get(wire.TargetStatus), reason == "", time.Now())
	res.limitNamed = state.Limit > 0
	res.coldFor = coldFor(response.Header)
	if reason == "" {
		if err := a.readAhead(ctx, response); err != nil {
			broken := a.handleBrokenAnswer(ctx, response, err)
			broken.sample, broken.limitNamed, broken.coldFor = res.sample, res.limitNamed, res.coldFor
			return broken
		}
		response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: a.cancel}
		return res
	}
	outcome := failure.Outcome(response.Header.Get(wire.Outcome))
	_ = response.Body.Close() // the body of a refusal repeats its reason
	a.cancel()
	res.response = nil
	res.failed = failure.New(failure.Reason(reason), outcome, "refused by node %s", a.member.ID)
	if res.failed.Reason == failure.TargetLimited && state.Limit > 0 {
		res.failed.Detail += fmt.Sprintf(", whose target accepts %.3g requests/s", state.Limit)
	}
	res.failed.RetryAfter = retryAfter(response.Header)
	if res.failed.Reason == failure.WrongIncarnation {
		res.currentID = response.Header.Get(wire.CurrentMember)
	}
	return res
}

// maxColdTime is the longest warm-up of a target that is believed.
const maxColdTime = time.Hour

// coldFor returns the time for which the target still warms up; 0: the header is absent or invalid.
func coldFor(header http.Header) time.Duration {
	ms, err := strconv.ParseUint(header.Get(wire.TargetCold), 10, 31)
	if err != nil {
		return 0
	}
	return min(time.Duration(ms)*time.Millisecond, maxColdTime)
}

// retryAfter returns the time after which the node expects a retry to succeed; 0: the header is absent or invalid.
func retryAfter(header http.Header) time.Duration {
	ms, err := strconv.ParseUint(header.Get(wire.RetryAfterMS), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// abandon ends an attempt because its context ended: the deadline passed, the caller disconnected, another attempt won,
// or the node stops.
func (a *attempt) abandon(ctx context.Context, roundTrip chan roundTripResult) result {
	defer a.discard(roundTrip)
	return a.abandonedResult(ctx)
}

// abandonedResult returns the result of an attempt whose context ended.
func (a *attempt) abandonedResult(ctx context.Context) result {
	if a.handler.stopped.Err() != nil && a.call.request.Context().Err() == nil {
		return a.abandonAtStop(ctx)
	}
	if ctx.Err() == context.Canceled || a.call.idempotent {
		reason := failure.CallerGone
		if ctx.Err() == context.DeadlineExceeded {
			reason = failure.DeadlineExceeded
		}
		return result{failed: failure.New(reason, failure.Unknown, "no answer from node %s within %v", a.member.ID, time.Since(a.started).Round(time.Millisecond))}
	}
	return a.resolveOutcome(context.WithoutCancel(ctx), failure.DeadlineExceeded)
}

// abandonAtStop ends an attempt because the node stops. A non-idempotent attempt is fenced, so its outcome is NotRun when
// its node has not run it.
func (a *attempt) abandonAtStop(ctx context.Context) result {
	outcome := failure.Unknown
	if !a.call.idempotent {
		if state, err := a.queryOrFence(context.WithoutCancel(ctx), false); err == nil && state == rpc.AttemptState_ATTEMPT_NOT_RUN {
			outcome = failure.NotRun
		}
	}
	return result{failed: failure.New(failure.Draining, outcome, "this node stops before node %s has answered", a.member.ID)}
}

// discard cancels the round trip, and closes the body of a response that still arrives.
func (a *attempt) discard(roundTrip chan roundTripResult) {
	a.cancel()
	go func() {
		if rt := <-roundTrip; rt.response != nil {
			_ = rt.response.Body.Close()
		}
	}()
}

// cancelOnClose is a response body that cancels the request's context when it is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
