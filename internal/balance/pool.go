package balance

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
)

// Pool is the balancer used by nodes. It selects by recent load samples, which arrive with responses and from
// asynchronous probes. See docs/design.md, section 6.
type Pool struct {
	config Config

	mu     sync.Mutex     // held for at most one pass over the members
	states []*memberState // replaced by Update, sorted by id
	random *rand.Rand

	overflow     overflowBreaker
	fleet        fleetStats
	overdueRatio float64 // see overdueFactor
	probes       prober

	// Scratch buffers of a pick.
	allowed, healthy, slowStartAdmitted []*memberState
	serviceTimes                        []float64
}

// NewPool returns a pool without members. Close stops its probes.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	pool := &Pool{config: config, overdueRatio: minOverdueRatio, random: rand.New(rand.NewPCG(config.Seed, 1))}
	pool.probes.ctx, pool.probes.cancel = context.WithCancel(context.Background())
	return pool
}

// Close cancels running probes and checks and waits for them. Pick remains usable.
func (p *Pool) Close() {
	p.mu.Lock()
	p.probes.cancel()
	p.mu.Unlock()
	p.probes.running.Wait()
}

// Update implements Balancer.
func (p *Pool) Update(members []cluster.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock()
	known := make(map[string]*memberState, len(p.states))
	for _, old := range p.states {
		known[old.member.ID] = old
	}
	next := make([]*memberState, 0, len(members))
	for _, member := range members {
		next = append(next, p.refreshState(known[member.ID], member, now))
	}
	slices.SortFunc(next, func(a, b *memberState) int { return compareIDs(a, b) })
	p.states = next
	p.limitEjections(now)
}

func (p *Pool) refreshState(state *memberState, member cluster.Member, now time.Time) *memberState {
	if state == nil {
		state = &memberState{}
		if len(p.states) > 0 {
			state.slowStart = slowStart{active: true, startedAt: now}
		}
	}
	state.member = member
	state.distance = p.config.distanceTo(&member)
	return state
}

func compareIDs(a, b *memberState) int {
	if a.member.ID < b.member.ID {
		return -1
	}
	return 1
}

// Pick implements Balancer.
func (p *Pool) Pick(request Request) (Pick, error) {
	now := request.Now
	if now.IsZero() {
		now = p.config.Clock()
	}
	p.mu.Lock()
	chosen, expectedSeconds := p.choose(&request, now)
	limited := chosen != nil && now.Before(chosen.limitedUntil)
	members := len(p.states)
	var member cluster.Member
	trial := false
	if chosen != nil {
		member = chosen.member
		member.ID = chosen.id()
		trial = chosen.startAttempt(now, expectedSeconds)
		p.updateSlowStarts(chosen, now)
	}
	toProbe := p.nextProbe(now)
	p.startChecks(now)
	p.mu.Unlock()
	p.startProbe(toProbe)
	if chosen == nil {
		return Pick{}, noTarget(p.config.Service, members)
	}
	pick := NewPick(member, p.doneOnce(chosen, trial, request.allowsRegion(p.config.Self.Region), now))
	pick.Limited = limited
	pick.reportUnresponsive = func() { p.requestCheck(chosen) }
	return pick, nil
}

// requestCheck starts a reachability check of the member.
func (p *Pool) requestCheck(state *memberState) {
	if p.config.CheckReachable == nil {
		return
	}
	now := p.config.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	state.reachability.requestCheck(now)
	p.startChecks(now)
}

// doneOnce returns the function that records the result of a pick. mayStay is false for calls that this node's region may not
// serve: they wait in the other region like its own calls, so their results don't show whether it has free slots.
func (p *Pool) doneOnce(chosen *memberState, trial, mayStay bool, sentAt time.Time) func(Result) {
	ended := false // guarded by the pool's lock
	return func(result Result) {
		now := p.config.Clock()
		p.mu.Lock()
		defer p.mu.Unlock()
		if ended {
			return
		}
		ended = true
		completed := chosen.endAttempt(sentAt)
		if result.Class == OK {
			p.updateOverdueRatio(completed, now)
		}
		if chosen.distance == otherRegion && mayStay {
			p.overflow.recordResult(result, now)
		}
		p.recordResult(chosen, result, now)
		p.limitEjections(now)
		if trial {
			p.endTrial(chosen, result, now)
		}
	}
}

// recordResult updates the state of the member with the result of an attempt.
func (p *Pool) recordResult(state *memberState, result Result, now time.Time) {
	if result.Sample == nil {
		state.sample.sends = max(0, state.sample.sends-1)
	} else {
		at := result.SampleReceivedAt
		if at.IsZero() {
			at = now
		}
		state.recordSample(*result.Sample, at)
	}
	if result.LimitNamed {
		state.limitNamedUntil = now.Add(limitMemory)
	}
	if result.ColdFor > 0 {
		state.coldUntil = now.Add(min(result.ColdFor, limitMemory))
	} else if result.Class == OK {
		state.coldUntil = time.Time{}
	}
	switch result.Class {
	case OK:
		p.updateReachability(state, "answer",
			func() { state.reachability = reachability{checking: state.reachability.checking} })
		state.refusedUntil, state.failedUntil, state.limitedUntil = time.Time{}, time.Time{}, time.Time{}
		state.health.recordSuccess(p.serviceTime(state, result))
		p.ejectIfOutlier(state, now)
	case Refused:
		if result.CurrentID != "" {
			state.currentID = result.CurrentID
			return
		}
		state.recordRefusal(&result, now)
	case Failed:
		if p.config.CheckReachable != nil {
			p.updateReachability(state, string(result.Reason),
				func() { state.reachability.recordFailure(result.Reason, now) })
		}
		state.failedUntil = now.Add(failureCooldown)
		state.health.recordFailure()
		p.ejectIfOutlier(state, now)
	}
}

// serviceTime is the latency of the response without the network round trip.
func (p *Pool) serviceTime(state *memberState, result Result) time.Duration {
	return max(0, result.Latency-p.config.roundTrip(state.distance))
}

const (
	// refusalCooldown is less than a service time: a full queue has capacity again afterwards. Without it, retries of
	// other calls met the same full targets and 2 to 6% of calls failed instead of 1%.
	refusalCooldown = 10 * time.Millisecond
	// slowCooldown is a third of the time over which the speed of a shared machine persists (docs/measurements.md).
	slowCooldown = 50 * time.Millisecond
	// failureCooldown covers a reconnect and a few further attempts before there are enough results for an ejection.
	failureCooldown = 200 * time.Millisecond
	// limitMemory is the time for which a member is known to name a limit or to be cold after its last response. Members of another region
	// are tried once in this time, over a link that is billed.
	limitMemory = 2 * time.Second
	// maxLimitedTime is the longest time for which a refusal by a target's limit is remembered: the limit may end earlier.
	maxLimitedTime = time.Second
	// removedCooldown covers the time until the member set drops a restarted or unknown member.
	removedCooldown = 5 * time.Second
)

// recordRefusal avoids the member for a cooldown that depends on the reason. Refusals that concern the request rather
// than the target have no effect.
func (s *memberState) recordRefusal(result *Result, now time.Time) {
	switch result.Reason {
	case failure.TargetLimited:
		s.limitedUntil = now.Add(min(max(result.RetryAfter, refusalCooldown), maxLimitedTime))
	case failure.Draining:
		s.draining = true
	case failure.WrongIncarnation, failure.WrongService, failure.WrongTarget:
		s.failedUntil = now.Add(removedCooldown)
	case failure.TargetUnreachable, failure.ConnectionLimit, failure.ZoneEvacuated:
		s.failedUntil = now.Add(failureCooldown)
	case failure.TargetSlow:
		s.refusedUntil = now.Add(slowCooldown)
	case failure.TargetFailing:
		s.refusedUntil = now.Add(failureCooldown)
	case failure.QueueFull, failure.WaitTooLong, failure.DeadlineUnreachable, failure.AttemptLedgerFull:
		s.refusedUntil = now.Add(refusalCooldown)
	}
}
