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

// Pool is the balancer that nodes use. It chooses by recent load samples, which come with answers and from
// asynchronous probes. See the design, section 6.
type Pool struct {
	config Config

	mu     sync.Mutex // held for one pass over the members at most
	peers  []*peer    // replaced whole by Update, sorted by id
	random *rand.Rand

	overflow  overflow
	fleet     fleet
	overdueAt float64 // see overdue
	probes    prober

	// Buffers of one pick.
	allowed, healthy, starting []*peer
	scratch                    []float64
}

// NewPool returns a pool without members. Close ends its probes.
func NewPool(config Config) *Pool {
	config = config.withDefaults()
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	pool := &Pool{config: config, overdueAt: minOverdue, random: rand.New(rand.NewPCG(config.Seed, 1))}
	pool.probes.ctx, pool.probes.cancel = context.WithCancel(context.Background())
	return pool
}

// Close cancels the probes under way and waits for them. Picks stay possible.
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
	known := make(map[string]*peer, len(p.peers))
	for _, old := range p.peers {
		known[old.member.ID] = old
	}
	next := make([]*peer, 0, len(members))
	for _, member := range members {
		next = append(next, p.updated(known[member.ID], member, now))
	}
	slices.SortFunc(next, func(a, b *peer) int { return compareIDs(a, b) })
	p.peers = next
	p.limitEjections(now)
}

func (p *Pool) updated(old *peer, member cluster.Member, now time.Time) *peer {
	if old == nil {
		old = &peer{}
		if len(p.peers) > 0 {
			old.start = slowStart{active: true, since: now}
		}
	}
	old.member = member
	old.distance = p.config.distanceTo(&member)
	return old
}

func compareIDs(a, b *peer) int {
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
	chosen, expect := p.choose(&request, now)
	members := len(p.peers)
	var member cluster.Member
	trial := false
	if chosen != nil {
		member = chosen.member
		member.ID = chosen.id()
		trial = chosen.sent(now, expect)
		p.creditStarts(chosen, now)
	}
	target := p.nextProbe(now)
	p.startChecks(now)
	p.mu.Unlock()
	p.startProbe(target)
	if chosen == nil {
		return Pick{}, noTarget(p.config.Service, members)
	}
	pick := NewPick(member, p.doneOnce(chosen, trial, now))
	pick.doubt = func() { p.doubted(chosen) }
	return pick, nil
}

// doubted checks at once whether the member can be reached.
func (p *Pool) doubted(of *peer) {
	if p.config.Reach == nil {
		return
	}
	now := p.config.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	of.reach.doubt(now)
	p.startChecks(now)
}

func (p *Pool) doneOnce(chosen *peer, trial bool, sent time.Time) func(Result) {
	ended := false // guarded by the pool's lock
	return func(result Result) {
		now := p.config.Clock()
		p.mu.Lock()
		defer p.mu.Unlock()
		if ended {
			return
		}
		ended = true
		attempt := chosen.ended(sent)
		if result.Class == OK {
			p.learnOverdue(attempt, now)
		}
		p.record(chosen, result, now)
		p.limitEjections(now)
		if trial {
			p.endTrial(chosen, result, now)
		}
	}
}

// record applies a result to what is known about the member.
func (p *Pool) record(of *peer, result Result, now time.Time) {
	if result.Sample == nil {
		of.sample.sends = max(0, of.sample.sends-1)
	} else {
		at := result.SampleAt
		if at.IsZero() {
			at = now
		}
		of.observe(*result.Sample, at)
	}
	if of.distance == otherRegion {
		p.overflow.ended(result, now)
	}
	switch result.Class {
	case OK:
		p.change(of, "answer", func() { of.reach = reach{checking: of.reach.checking} })
		of.refusedUntil, of.failedUntil = time.Time{}, time.Time{}
		of.health.answered(p.serviceTime(of, result))
		p.review(of, now)
	case Refused:
		if result.Current != "" {
			of.current = result.Current
			return
		}
		of.refused(result.Reason, now)
	case Failed:
		if p.config.Reach != nil {
			p.change(of, string(result.Reason), func() { of.reach.failed(result.Reason, now) })
		}
		of.failedUntil = now.Add(failureAvoidance)
		of.health.failed()
		p.review(of, now)
	}
}

// serviceTime is the answer's latency without the network.
func (p *Pool) serviceTime(of *peer, result Result) time.Duration {
	return max(0, result.Latency-p.config.roundTrip(of.distance))
}

const (
	// refusalAvoidance is less than a service time: a full queue has room again after that. With none, retries of
	// other calls met the same full targets and 2 to 6% of calls failed instead of 1%.
	refusalAvoidance = 10 * time.Millisecond
	// slowAvoidance is a third of the time for which the pace of a shared machine lasts (docs/measurements.md).
	slowAvoidance = 50 * time.Millisecond
	// failureAvoidance covers a reconnect and a few further tries before the ejection has evidence.
	failureAvoidance = 200 * time.Millisecond
	// goneAvoidance covers the time until the member set drops a restarted or unknown member.
	goneAvoidance = 5 * time.Second
)

// refused avoids the member at once. Refusals that concern the request and not the target change nothing.
func (p *peer) refused(reason failure.Reason, now time.Time) {
	switch reason {
	case failure.Draining:
		p.draining = true
	case failure.WrongIncarnation, failure.WrongService, failure.WrongTarget:
		p.failedUntil = now.Add(goneAvoidance)
	case failure.TargetUnreachable, failure.ConnectionLimit:
		p.failedUntil = now.Add(failureAvoidance)
	case failure.TargetSlow:
		p.refusedUntil = now.Add(slowAvoidance)
	case failure.TargetFailing:
		p.refusedUntil = now.Add(failureAvoidance)
	case failure.QueueFull, failure.DeadlineUnreachable, failure.LedgerFull:
		p.refusedUntil = now.Add(refusalAvoidance)
	}
}
