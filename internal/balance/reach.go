package balance

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// minCheckInterval and maxCheckInterval bound the interval between checks of an unreachable member, which doubles
	// after each failed check.
	minCheckInterval = 200 * time.Millisecond
	maxCheckInterval = 2 * time.Second
	// checkTimeout limits one check. It is four round trips between regions.
	checkTimeout = 250 * time.Millisecond
)

// reachability tracks whether a member can be reached. The pool's lock guards it.
//
// It handles the permanent loss of machines: their rows are not removed, and requests sent to them spent a quarter to
// all of their time waiting for a connection. A member to which a connection failed receives no
// requests until a check, which does not involve a request, has reached it.
type reachability struct {
	lost        bool
	checking    bool
	nextCheckAt time.Time     // earliest time of the next check
	interval    time.Duration // delay of the next check if this one fails; 0 if no check is scheduled
}

// recordFailure updates the state after a failed attempt. Connection failures mark the member as lost; timeouts and
// silent connections only request a check.
func (r *reachability) recordFailure(reason failure.Reason, now time.Time) {
	switch reason {
	case failure.ConnectFailed, failure.NodeUnreachable:
		if !r.lost {
			r.lost, r.interval, r.nextCheckAt = true, minCheckInterval, now.Add(minCheckInterval)
		}
	case failure.DeadlineExceeded, failure.ConnectionSilent:
		r.requestCheck(now)
	}
}

// requestCheck schedules an immediate check after an indication that the member may be unreachable, such as a failed
// probe.
func (r *reachability) requestCheck(now time.Time) {
	if !r.lost && r.interval == 0 {
		r.interval, r.nextCheckAt = minCheckInterval, now
	}
}

// checkDue reports whether a check should start now.
func (r *reachability) checkDue(now time.Time) bool {
	return r.interval > 0 && !r.checking && !now.Before(r.nextCheckAt)
}

// recordCheck updates the state with the result of a check.
func (r *reachability) recordCheck(reached bool, now time.Time) {
	r.checking = false
	if reached || r.interval == 0 { // a response arrived during the check
		*r = reachability{}
		return
	}
	r.lost = true
	r.nextCheckAt = now.Add(r.interval)
	r.interval = min(2*r.interval, maxCheckInterval)
}

// startChecks starts the checks that are due, each on its own goroutine. The caller holds the pool's lock.
func (p *Pool) startChecks(now time.Time) {
	if p.config.CheckReachable == nil || p.probes.ctx.Err() != nil {
		return
	}
	for _, state := range p.states {
		if !state.reachability.checkDue(now) {
			continue
		}
		state.reachability.checking = true
		member := state.member
		p.probes.running.Go(func() { p.check(state, member) })
	}
}

func (p *Pool) check(state *memberState, member cluster.Member) {
	ctx, cancel := context.WithTimeout(p.probes.ctx, checkTimeout)
	defer cancel()
	reached := p.config.CheckReachable(ctx, member)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateReachability(state, "check", func() { state.reachability.recordCheck(reached, p.config.Clock()) })
}
