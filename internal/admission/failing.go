package admission

import (
	"math/bits"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// failWindow is the number of last results by which a target is judged. The target's node sees all of them; 60 entry nodes
	// that judge by ten results of their own lose 600 requests first.
	failWindow = 10
	// failLimit is the number of failures in the window from which a target fails. Targets that work fail one in 250.
	failLimit = 5
	// failRecovery is the number of successes in a row after which the target gets all requests again. One alone is likely at a
	// target that fails every other request.
	failRecovery = 2
	// firstTrial and lastTrial bound the time between two trials of a failing target; it doubles.
	firstTrial = 100 * time.Millisecond
	lastTrial  = time.Second
)

// failing follows whether the target fails most of what it runs. It is not safe for concurrent use and does no I/O.
//
// It answers the load of targets that fail at once behind a good health path: they have the shortest queues and so drew four
// times as many requests as the others, and one request in seven was lost. Requests that have other targets to try are
// refused before they run, but for single trials. When all targets fail, for example because a service that they call does,
// none is left to try and requests run as before.
type failing struct {
	results uint16    // one bit a result, the newest lowest; 1: failed
	state   bool      // the target fails
	passed  int       // successes in a row since it fails
	nextAt  time.Time // of the next trial
	pause   time.Duration
}

// record takes over a result and reports whether the state changed.
func (f *failing) record(failed bool, now time.Time) bool {
	f.results = f.results << 1 & (1<<failWindow - 1)
	if failed {
		f.results |= 1
	}
	switch {
	case !f.state && bits.OnesCount16(f.results) >= failLimit:
		f.state, f.passed, f.pause, f.nextAt = true, 0, firstTrial, now.Add(firstTrial)
		return true
	case !f.state:
		return false
	case failed:
		f.passed = 0
		return false
	}
	f.passed++
	f.nextAt = now // another trial may follow at once
	if f.passed < failRecovery {
		return false
	}
	*f = failing{}
	return true
}

// refuses reports whether a request that has other targets to try must leave. Each pause lets one through.
func (f *failing) refuses(now time.Time) bool {
	if !f.state {
		return false
	}
	if now.Before(f.nextAt) {
		return true
	}
	f.pause = min(2*f.pause, lastTrial)
	f.nextAt = now.Add(f.pause)
	return false
}

// Ended takes over whether the target failed a request that it got. It reports whether that changed the view of the target,
// and whether the target fails now.
func (g *Gate) Ended(failed bool) (changed, fails bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed = g.failing.record(failed, time.Now())
	return changed, g.failing.state
}

func failsNow() *failure.Error {
	return failure.New(failure.TargetFailing, failure.NotRun, "the target failed %d of its last %d requests or more", failLimit, failWindow)
}
