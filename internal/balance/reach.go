package balance

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// firstCheck and lastCheck bound the time between two checks of a member that can't be reached; it doubles.
	firstCheck = 200 * time.Millisecond
	lastCheck  = 2 * time.Second
	// checkTimeout bounds one check. It is four round trips between regions.
	checkTimeout = 250 * time.Millisecond
)

// reach is whether a member can be reached. The pool's lock guards it.
//
// It answers the load after machines are lost for good: nobody removes their rows, and a request that was sent there waited
// for a connection until a quarter to all of its time was gone. A member that a connection failed to gets no request until
// a check, which costs no request, has reached it.
type reach struct {
	lost     bool
	checking bool
	checkAt  time.Time     // no check before
	pause    time.Duration // before the next check
}

// failed takes over a failed attempt. Other failures than one of the connection only ask for a check.
func (r *reach) failed(reason failure.Reason, now time.Time) {
	switch reason {
	case failure.ConnectFailed, failure.NodeUnreachable:
		if !r.lost {
			r.lost, r.pause, r.checkAt = true, firstCheck, now.Add(firstCheck)
		}
	case failure.DeadlineExceeded, failure.ConnectionSilent:
		r.doubt(now)
	}
}

// doubt asks for a check after a sign that the member may not be reached, such as a probe without an answer.
func (r *reach) doubt(now time.Time) {
	if !r.lost && r.pause == 0 {
		r.pause, r.checkAt = firstCheck, now
	}
}

// due reports whether a check is to be made now.
func (r *reach) due(now time.Time) bool {
	return r.pause > 0 && !r.checking && !now.Before(r.checkAt)
}

// checked takes over the result of a check.
func (r *reach) checked(reached bool, now time.Time) {
	r.checking = false
	if reached || r.pause == 0 { // an answer came while the check ran
		*r = reach{}
		return
	}
	r.lost = true
	r.checkAt = now.Add(r.pause)
	r.pause = min(2*r.pause, lastCheck)
}

// startChecks checks the members for which it is time, on goroutines of their own. The pool's lock is held.
func (p *Pool) startChecks(now time.Time) {
	if p.config.Reach == nil || p.probes.ctx.Err() != nil {
		return
	}
	for _, one := range p.peers {
		if !one.reach.due(now) {
			continue
		}
		one.reach.checking = true
		member := one.member
		p.probes.running.Go(func() { p.check(one, member) })
	}
}

func (p *Pool) check(of *peer, member cluster.Member) {
	ctx, cancel := context.WithTimeout(p.probes.ctx, checkTimeout)
	defer cancel()
	reached := p.config.Reach(ctx, member)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.change(of, "check", func() { of.reach.checked(reached, p.config.Clock()) })
}
