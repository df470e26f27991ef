package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/forward"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// checkTimeout bounds a question to a target's node on a new connection; it covers two round trips across regions.
	checkTimeout = 250 * time.Millisecond
	// transitGrace is how long an answer may still be on its way after the node said that the attempt ended.
	transitGrace = 75 * time.Millisecond
)

// attempt is one send of a call to one target's node.
type attempt struct {
	handler    *Handler
	call       *call
	id         wire.AttemptID
	member     cluster.Member
	doubt      func()        // tells the balancer that the member's node doesn't answer; see balance.Pick
	sends      int           // sends of the call with this one
	stay       bool          // the node keeps the call also when its target is slow or fails
	grant      *grantHeaders // keyed calls only
	overflow   bool          // the node may only use a slot that is free
	generation *forward.Generation
	cancel     context.CancelFunc
	started    time.Time
}

// grantHeaders prove to the target's node that the key's owner granted the attempt.
type grantHeaders struct {
	owner         string
	rosterVersion uint64
}

// result is how an attempt ended: an answer of the target, a kept answer, or a failure.
type result struct {
	response *http.Response
	kept     *rpc.Answer
	failed   *failure.Error
	member   string // id of the member that the attempt was sent to
	current  string // id that the member's node has since it restarted; empty: not told
	sample   *wire.LoadSample
	latency  time.Duration // to the first byte
}

// arrival is what the round trip gave.
type arrival struct {
	response *http.Response
	sent     *forward.Sent
	err      error
}

// run sends the attempt and follows it until an answer begins or its outcome is known. ctx ends at the deadline, when
// the caller goes away, or when another attempt of the call won.
func (a *attempt) run(ctx context.Context) result {
	a.started = time.Now()
	a.generation = a.handler.config.Transport.Generation(a.member.PeerAddr)
	sendCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.cancel = cancel
	arrived := make(chan arrival, 1)
	request := a.newRequest(sendCtx)
	go func() {
		response, sent, err := a.generation.RoundTrip(request)
		arrived <- arrival{response, sent, err}
	}()
	return a.follow(ctx, arrived)
}

// follow waits for the answer, checks the connection when the first byte is late, and settles the outcome.
func (a *attempt) follow(ctx context.Context, arrived chan arrival) result {
	tracker := a.handler.latencies.route(a.call.route())
	wait := tracker.suspectAfter()
	suspect := time.NewTimer(wait)
	defer suspect.Stop()
	retired := a.generation.Retired()
	for {
		select {
		case got := <-arrived:
			return a.arrived(ctx, got)
		case <-ctx.Done():
			return a.abandoned(ctx, arrived)
		case <-retired:
			retired = nil
		case <-suspect.C:
		}
		if ended, final := a.check(ctx, arrived); final {
			return ended
		}
		wait *= 2
		suspect.Reset(wait)
	}
}

func (a *attempt) newRequest(ctx context.Context) *http.Request {
	original := a.call.request
	request := original.Clone(ctx)
	request.RequestURI = ""
	request.URL.Scheme = "http"
	request.URL.Host = a.member.PeerAddr
	prefixPath(request, wire.ForwardPath)
	prepareHeader(request.Header)
	header := request.Header
	header.Set(wire.Service, a.call.service.Name)
	header.Set(wire.AttemptHeader, a.id.String())
	header.Set(wire.Incarnation, a.member.ID)
	header.Set(wire.TimeoutMS, strconv.FormatInt(max(a.call.left().Milliseconds(), 1), 10))
	header.Set(wire.Depth, strconv.Itoa(a.call.depth+1)) // of calls that the target makes
	header.Set(wire.Attempts, strconv.Itoa(a.sends))
	if a.call.idempotent {
		header.Set(wire.Idempotent, "1")
	}
	if rule := a.call.rule; rule != nil {
		header.Set(wire.Rank, wire.FormatRank(rule.Name, rule.Priority, a.call.aimLeft()))
	}
	switch {
	case a.overflow:
		header.Set(wire.Overflow, "1")
	case a.stay:
		header.Set(wire.Stay, "1")
	}
	if a.member.Region != a.call.snapshot.Self.Region {
		header.Set(wire.Link, "1")
	}
	if a.grant != nil {
		header.Set(wire.KeyOwner, a.grant.owner)
		header.Set(wire.RosterVersion, strconv.FormatUint(a.grant.rosterVersion, 10))
	}
	if a.call.body.streamed() {
		header.Set("Expect", "100-continue") // a refusal then leaves the body unread, for another target
	}
	a.call.body.attach(request, a.call.idempotent)
	return request
}

// arrived turns the round trip's end into a result.
func (a *attempt) arrived(ctx context.Context, got arrival) result {
	if got.err == nil {
		return a.answered(got.response)
	}
	defer a.cancel()
	if !got.sent.Connected() {
		return result{failed: failure.Wrap(got.err, failure.ConnectFailed, failure.NotRun, "no connection to node %s", a.member.ID)}
	}
	if a.call.idempotent {
		return result{failed: failure.Wrap(got.err, failure.ConnectionLost, failure.Unknown, "the connection to node %s broke", a.member.ID)}
	}
	return a.settle(ctx, failure.ConnectionLost)
}

// answered tells a refusal of the node from an answer of the target.
func (a *attempt) answered(response *http.Response) result {
	ended := result{response: response, latency: time.Since(a.started)}
	if sample, err := wire.ParseLoadSample(response.Header.Get(wire.Load)); err == nil {
		ended.sample = &sample
	}
	reason := response.Header.Get(wire.Reason)
	if reason == "" {
		response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: a.cancel}
		return ended
	}
	outcome := failure.Outcome(response.Header.Get(wire.Outcome))
	_ = response.Body.Close() // a refusal's text repeats its reason
	a.cancel()
	ended.response = nil
	ended.failed = failure.New(failure.Reason(reason), outcome, "refused by node %s", a.member.ID)
	ended.failed.RetryAfter = retryAfter(response.Header)
	if ended.failed.Reason == failure.WrongIncarnation {
		ended.current = response.Header.Get(wire.CurrentMember)
	}
	return ended
}

// retryAfter is the time that a node names for another try; 0 when it names none.
func retryAfter(header http.Header) time.Duration {
	ms, err := strconv.ParseUint(header.Get(wire.RetryAfterMS), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// abandoned ends an attempt whose deadline passed or whose caller or call went away.
func (a *attempt) abandoned(ctx context.Context, arrived chan arrival) result {
	defer a.discard(arrived)
	if a.handler.stopped.Err() != nil && a.call.request.Context().Err() == nil {
		return a.stopped(ctx)
	}
	if ctx.Err() == context.Canceled || a.call.idempotent {
		reason := failure.CallerGone
		if ctx.Err() == context.DeadlineExceeded {
			reason = failure.DeadlineExceeded
		}
		return result{failed: failure.New(reason, failure.Unknown, "no answer from node %s within %v", a.member.ID, time.Since(a.started).Round(time.Millisecond))}
	}
	return a.settle(context.WithoutCancel(ctx), failure.DeadlineExceeded)
}

// stopped ends an attempt because the node stops.
func (a *attempt) stopped(ctx context.Context) result {
	outcome := failure.Unknown
	if !a.call.idempotent {
		if state, err := a.ask(context.WithoutCancel(ctx), false); err == nil && state == rpc.AttemptState_ATTEMPT_NOT_RUN {
			outcome = failure.NotRun
		}
	}
	return result{failed: failure.New(failure.Draining, outcome, "this node stops before node %s has answered", a.member.ID)}
}

// discard cancels the round trip and closes an answer that comes late.
func (a *attempt) discard(arrived chan arrival) {
	a.cancel()
	go func() {
		if got := <-arrived; got.response != nil {
			_ = got.response.Body.Close()
		}
	}()
}

// cancelOnClose ends the request's context once its answer was read.
type cancelOnClose struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (c *cancelOnClose) Close() error {
	err := c.ReadCloser.Close()
	c.cancel()
	return err
}
