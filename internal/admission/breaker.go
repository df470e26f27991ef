package admission

import (
	"math/bits"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// breakerWindow is the number of most recent results that are evaluated. The target's node sees the results of all
	// requests; if 60 entry nodes evaluated ten results each on their own, 600 requests would fail first.
	breakerWindow = 10
	// breakerThreshold is the number of failures in the window that opens the breaker. A working target fails one
	// request in 250.
	breakerThreshold = 5
	// breakerRecovery is the number of consecutive successes that closes the breaker. A single success is likely even at
	// a target that fails every other request.
	breakerRecovery = 2
	// minTrialInterval and maxTrialInterval bound the time between two half-open trials; it doubles with each trial.
	minTrialInterval = 100 * time.Millisecond
	maxTrialInterval = time.Second
)

// breaker is a circuit breaker that opens while the target fails most requests. It is not safe for concurrent use and
// does no I/O.
//
// It guards against targets that fail requests immediately while their health check passes: such targets have the
// shortest queues, so they drew four times as many requests as the others, and one request in seven failed. While the
// breaker is open, requests that can go to another target are refused before they run, except for single half-open
// trials. If all targets fail, for example because a service that they call fails, no other target remains and
// requests run as usual.
type breaker struct {
	results       uint16        // one bit per result, the newest in the lowest bit; 1: failed
	open          bool          // the target fails most requests
	successes     int           // consecutive successes since the breaker opened
	nextTrial     time.Time     // time of the next half-open trial
	trialInterval time.Duration // time between trials
}

// record adds a result and reports whether the breaker opened or closed.
func (b *breaker) record(failed bool, now time.Time) bool {
	b.results = b.results << 1 & (1<<breakerWindow - 1)
	if failed {
		b.results |= 1
	}
	switch {
	case !b.open && bits.OnesCount16(b.results) >= breakerThreshold:
		b.open, b.successes, b.trialInterval, b.nextTrial = true, 0, minTrialInterval, now.Add(minTrialInterval)
		return true
	case !b.open:
		return false
	case failed:
		b.successes = 0
		return false
	}
	b.successes++
	b.nextTrial = now // another trial may follow at once
	if b.successes < breakerRecovery {
		return false
	}
	*b = breaker{}
	return true
}

// rejects reports whether a request that can go to another target must be refused. While the breaker is open, it lets
// one request pass as a half-open trial after each trial interval and then doubles the interval.
func (b *breaker) rejects(now time.Time) bool {
	if !b.open {
		return false
	}
	if now.Before(b.nextTrial) {
		return true
	}
	b.trialInterval = min(2*b.trialInterval, maxTrialInterval)
	b.nextTrial = now.Add(b.trialInterval)
	return false
}

// RecordResult records whether the target failed a request that was sent to it. It reports whether that changed the
// state of the circuit breaker, and whether the target counts as failing now.
func (l *Limiter) RecordResult(failed bool) (changed, failing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed = l.breaker.record(failed, time.Now())
	return changed, l.breaker.open
}

func targetFailingError() *failure.Error {
	return failure.New(failure.TargetFailing, failure.NotRun,
		"the target failed %d of its last %d requests or more", breakerThreshold, breakerWindow)
}
