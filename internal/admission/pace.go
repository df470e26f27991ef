package admission

import (
	"time"

	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// paceMaxAge is the age up to which a reading decides whether a request may start. Targets share machines whose
	// speed changes about every 150 ms (docs/measurements.md), so a reading of this age is wrong in one of 20 cases.
	paceMaxAge = 10 * time.Millisecond
	// paceReadInterval is the time between two readings while requests wait for the target to get faster. The
	// resulting 50 reads per second are below the 60 that platforms allow for each target.
	paceReadInterval = 20 * time.Millisecond
	// slowFactor is the multiple of its baseline from which a target counts as slow.
	slowFactor = 1.5
	// maxSlowPeriod is the time after which the pace of a slow target becomes its baseline. Waiting does not help
	// then, and the balancer sees the longer service times.
	maxSlowPeriod = time.Second
	// maxReadingGap is the longest time between two readings of one slow period. After a longer gap the target may have
	// been fast in between, so a new period begins.
	maxReadingGap = 100 * time.Millisecond
	// failedReadBackoff is the time without reads after a failed one.
	failedReadBackoff = time.Second
	// unknownReadBackoff is the time without reads after a failed one of a target that has never reported its pace, and
	// probably reports none.
	unknownReadBackoff = 30 * time.Second
	// maxFirstBaseline is the baseline that the first reading sets at most: a target that has just started takes up to twice
	// as long as usual, and a higher factor is a slow period.
	maxFirstBaseline = 2.0
	// slowReadingLifetime is the time for which a slow reading holds requests while a limit of the target delays the next one:
	// two thirds of the time for which a machine keeps its speed.
	slowReadingLifetime = 100 * time.Millisecond
	// shortServiceTime is the service time below which a request starts at any pace: a slow run costs it less than a
	// move to another target.
	shortServiceTime = 5 * time.Millisecond
)

// paceTracker tracks the pace of the target: the factor by which work takes longer than usual at the moment. On a
// machine that is shared with others, the speed at its start decides how long a request takes. A request that starts
// in a slow period of 150 ms takes five times as long, so it is faster to wait for the end of the period or to use
// another target. A paceTracker is not safe for concurrent use and does no I/O.
type paceTracker struct {
	known  bool      // the target has reported its pace at least once
	factor float64   // last reading
	readAt time.Time // of the last reading
	// baseline is the factor of the target outside slow periods. It is above 1 while a target that has just started is
	// slow all the time: with a fixed baseline of 1, such targets got no work for a second after each slow reading.
	baseline  float64
	slowSince time.Time // start of the current slow period; zero: the target is not slow
	slowMin   float64   // lowest factor of the current slow period
	nextRead  time.Time // no read before this time, after a failed one or under a limit of the target
	limited   bool      // the reads are delayed by a limit of the target
}

// update adds a reading.
func (p *paceTracker) update(factor float64, now time.Time) {
	afterGap := now.Sub(p.readAt) > maxReadingGap
	if !p.known {
		p.baseline = maxFirstBaseline
	}
	p.baseline = min(p.baseline, factor)
	p.known, p.factor, p.readAt = true, factor, now
	switch {
	case !p.aboveThreshold():
		p.slowSince = time.Time{}
		return
	case p.slowSince.IsZero() || afterGap:
		p.slowSince, p.slowMin = now, factor
	}
	p.slowMin = min(p.slowMin, factor)
	if now.Sub(p.slowSince) >= maxSlowPeriod {
		p.baseline = p.slowMin
	}
}

// aboveThreshold reports whether the last reading belongs to a slow period.
func (p *paceTracker) aboveThreshold() bool { return p.factor >= slowFactor*p.baseline }

// readFailed records that the pace could not be read, and delays the next read.
func (p *paceTracker) readFailed(now time.Time) {
	p.nextRead = now.Add(failedReadBackoff)
	if !p.known {
		p.nextRead = now.Add(unknownReadBackoff)
	}
}

// isSlow reports whether the last reading is slow and not outdated, so that no request should start now.
func (p *paceTracker) isSlow(now time.Time) bool {
	return p.known && p.aboveThreshold() && !p.isOutdated(now)
}

// isStale reports whether a new reading is needed before a request may start. That includes the first one: without it, a
// third of the first requests at each target that has just started began in a slow period.
func (p *paceTracker) isStale(now time.Time) bool {
	return now.Sub(p.readAt) > paceMaxAge && !now.Before(p.nextRead)
}

// isOutdated reports whether the reading is too old to be used and no newer one is available because the last read
// failed or the next one is delayed.
func (p *paceTracker) isOutdated(now time.Time) bool {
	return now.Sub(p.readAt) > p.lifetime() && now.Before(p.nextRead)
}

// lifetime returns the age up to which a reading is used while there is no newer one.
func (p *paceTracker) lifetime() time.Duration {
	if p.limited {
		return slowReadingLifetime
	}
	return paceReadInterval
}

// readDelay returns the time until the next read, or until the last reading is outdated if that is earlier.
func (p *paceTracker) readDelay(now time.Time) time.Duration {
	due := p.readAt.Add(paceReadInterval)
	if p.nextRead.After(due) {
		due = p.nextRead
	}
	if outdated := p.readAt.Add(p.lifetime() + time.Millisecond); due.After(outdated) {
		due = outdated
	}
	return max(due.Sub(now), 0)
}

// mustWait reports whether a request with the given usual service time must not start now. A service time of 0 is
// unknown.
func (p *paceTracker) mustWait(serviceTime time.Duration, now time.Time) bool {
	if serviceTime > 0 && serviceTime < shortServiceTime {
		return false
	}
	return p.isStale(now) || p.isSlow(now)
}

// SetPaceReader sets the function that reads the target's pace: the factor by which work takes longer than usual now.
// The limiter calls it on a separate goroutine, one call at a time, when a request waits for a reading. The function
// returns false if the target reported no pace.
func (l *Limiter) SetPaceReader(read func() (factor float64, ok bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readPace = read
}

// SetPace records a reading of the target's pace: the factor by which work takes longer than usual now.
func (l *Limiter) SetPace(factor float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyPace(factor)
}

// applyPace records a reading. If it is slow, queued requests that can go to another target are refused. The mutex is
// held.
func (l *Limiter) applyPace(factor float64) {
	now := time.Now()
	l.pace.update(factor, now)
	if l.pace.isSlow(now) {
		for i := 0; i < len(l.queue.waiters); {
			if w := l.queue.waiters[i]; w.refuseIfSlow && l.pace.mustWait(w.serviceTime, now) {
				l.queue.remove(i).result <- result{refusal: targetSlowError(l.pace.factor)}
				continue
			}
			i++
		}
	}
	l.grantQueued()
}

// PaceAge returns the age of the last reading, or -1 ms if there is none.
func (l *Limiter) PaceAge() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.pace.known {
		return -time.Millisecond
	}
	return time.Since(l.pace.readAt)
}

func targetSlowError(factor float64) *failure.Error {
	return failure.New(failure.TargetSlow, failure.NotRun, "the target takes %.1f times as long as usual now", factor)
}

// heldByPace reports whether a slot is free for the request and only the target's pace prevents its start.
func (l *Limiter) heldByPace(w *waiter, now time.Time) bool {
	return l.readPace != nil && l.canStart(w.Exclusive) && l.pace.mustWait(w.serviceTime, now)
}

// schedulePaceRead starts a read of the pace now or, if the last reading is not stale, when the next one is due, unless one is
// running or scheduled. The mutex is held.
func (l *Limiter) schedulePaceRead(now time.Time) {
	if l.paceReadPending {
		return
	}
	l.paceReadPending = true
	if l.pace.isStale(now) {
		go l.refreshPace()
		return
	}
	time.AfterFunc(l.pace.readDelay(now), l.refreshPace)
}

// refreshPace reads the pace and applies it, or delays the next read if that failed.
func (l *Limiter) refreshPace() {
	l.mu.Lock()
	if l.rate.active() && time.Now().Before(l.pace.nextRead) {
		l.paceReadPending = false
		l.grantQueued()
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	factor, ok := l.readPace()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paceReadPending = false
	if !ok {
		l.pace.readFailed(time.Now())
		l.grantQueued()
		return
	}
	l.delayHealthReads(time.Now())
	l.applyPace(factor)
}
