package admission

import (
	"math"
	"time"
)

const (
	// coldBurstTime is the time whose requests a cold target's unused rate saves up.
	coldBurstTime = 250 * time.Millisecond
	// warmReadInterval is the time after which a statement that the target is warm is read again if more requests start than a
	// cold target bears. At 60 requests/s, 9 start in that time.
	warmReadInterval = 150 * time.Millisecond
	// checkInLateness is the time by which an announcement of the target can be late: one that arrives sooner after the target
	// may have been started again does not show that the new start has warmed up.
	checkInLateness = 5 * time.Second
)

// coldLimit bounds the requests that start at the target while it warms up. It answers targets that come back together,
// cold, while the load of all of them is there: above a certain rate a cold target crashes. The node beside the target is
// the only one that reaches it, so its bucket bounds the sum over all senders. After the warm-up, requests start at once
// without a ramp: the target itself states when it ends. A coldLimit is not safe for concurrent use and does no I/O.
type coldLimit struct {
	rate float64 // requests per second that a cold target bears; 0: no bound, and the rest has no effect
	// assumed is true while it is not known whether the target is cold: from its start, and after it may have been started
	// again. Until it is known, the target counts as cold.
	assumed    bool
	restarted  time.Time // when the target may have been started again; zero: never
	until      time.Time // end of the warm-up as stated last
	heardAt    time.Time // when a response last stated the remaining warm-up
	tokens     float64   // requests that may start now at a cold target; negative after requests that started without permission
	refilledAt time.Time // last time at which tokens were added
}

// active reports whether the rate is bounded now.
func (c *coldLimit) active(now time.Time) bool {
	return c.rate > 0 && (c.assumed || now.Before(c.until))
}

// report applies the remaining warm-up that a response states.
func (c *coldLimit) report(remaining time.Duration, now time.Time) {
	c.assumed, c.until, c.heardAt = false, now.Add(remaining), now
}

// announce applies the remaining warm-up of an announcement, which may be late: it extends the warm-up, but ends it only if
// nothing else is known.
func (c *coldLimit) announce(remaining time.Duration, now time.Time) {
	if end := now.Add(remaining); end.After(c.until) {
		c.until = end
	}
	if c.restarted.IsZero() || now.Sub(c.restarted) >= checkInLateness {
		c.assumed = false
	}
}

// assume records that the target may have been started again.
func (c *coldLimit) assume(now time.Time) { c.assumed, c.restarted = true, now }

func (c *coldLimit) burst() float64 { return max(1, c.rate*coldBurstTime.Seconds()) }

// refill adds the tokens since the last call.
func (c *coldLimit) refill(now time.Time) {
	if elapsed := now.Sub(c.refilledAt); elapsed > 0 {
		c.tokens = min(c.tokens+c.rate*elapsed.Seconds(), c.burst())
		c.refilledAt = now
	}
}

// take counts a request that starts now. Requests at a warm target count as well, so that those that it got just before it
// turns cold are part of what it bears, but leave no debt.
func (c *coldLimit) take(now time.Time) {
	if c.rate == 0 {
		return
	}
	c.refill(now)
	c.tokens--
	if !c.active(now) {
		c.tokens = max(c.tokens, 0)
	}
}

// needsReading reports whether the target must state again that it is warm, because more requests start than a cold one
// bears. It answers targets that turn cold while they serve.
func (c *coldLimit) needsReading(now time.Time) bool {
	return c.rate > 0 && !c.active(now) && c.tokens < 1 && now.Sub(c.heardAt) >= warmReadInterval
}

// wait returns the time until a request can start behind the given number of others; 0: now.
func (c *coldLimit) wait(ahead int, now time.Time) time.Duration {
	if !c.active(now) {
		return 0
	}
	c.refill(now)
	missing := float64(ahead+1) - c.tokens
	if missing <= 0 {
		return 0
	}
	wait := time.Duration(math.Ceil(missing / c.rate * float64(time.Second)))
	if c.assumed {
		return wait
	}
	return min(wait, c.until.Sub(now))
}

// refreshWarmUp reads the health path if the target must state again that it is warm. The request that starts does not wait
// for it. The mutex is held.
func (l *Limiter) refreshWarmUp(now time.Time) {
	if l.readPace != nil && l.cold.needsReading(now) && !now.Before(l.pace.nextRead) {
		l.schedulePaceRead(now)
	}
}

// SetColdRate sets the number of requests per second that the target bears while it warms up; 0: no bound.
func (l *Limiter) SetColdRate(rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate = min(max(rate, 0), maxRate)
	if rate != l.cold.rate {
		l.cold.rate = rate
		l.grantQueued()
	}
}

// ReportWarmUp applies the remaining warm-up that a response of the target states; 0: it is warm. It returns whether the
// target is now known to be cold and was not before, or the reverse.
func (l *Limiter) ReportWarmUp(remaining time.Duration) (changed bool) {
	return l.updateCold(remaining, (*coldLimit).report)
}

// ReportNoWarmUp records a response of the health path that states no warm-up: the target is warm if nothing else is known.
// It returns the same as ReportWarmUp.
func (l *Limiter) ReportNoWarmUp() (changed bool) {
	return l.updateCold(0, func(c *coldLimit, _ time.Duration, now time.Time) { c.assumed, c.heardAt = false, now })
}

// AnnounceWarmUp applies the remaining warm-up of an announcement of the target, which may be late. It returns the same as
// ReportWarmUp.
func (l *Limiter) AnnounceWarmUp(remaining time.Duration) (changed bool) {
	return l.updateCold(remaining, (*coldLimit).announce)
}

func (l *Limiter) updateCold(remaining time.Duration, apply func(*coldLimit, time.Duration, time.Time)) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	wasCold := l.cold.active(now)
	apply(&l.cold, remaining, now)
	if l.cold.rate == 0 {
		return false
	}
	if l.cold.until.After(l.warmUpUntil) {
		l.warmUpUntil = l.cold.until
	}
	l.refuseUnreachable(now)
	l.grantQueued()
	return wasCold != l.cold.active(now)
}

// AssumeCold makes the target count as cold until a response states whether it is, because it may have been started again. It
// returns whether that changed anything.
func (l *Limiter) AssumeCold() (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	wasCold, wasAssumed := l.cold.active(now), l.cold.assumed
	l.cold.assume(now)
	if !l.cold.active(now) {
		return false
	}
	if l.readPace != nil && !wasAssumed {
		l.schedulePaceRead(now) // the health path states whether the target is cold
	}
	return !wasCold
}

// ColdFor returns the time for which the target still warms up, as far as it is known; 0: it is warm, not bounded or not
// known.
func (l *Limiter) ColdFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.cold.active(now) {
		return 0
	}
	return max(0, l.cold.until.Sub(now))
}

// IsCold reports whether requests start at the rate of a cold target only.
func (l *Limiter) IsCold() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cold.active(time.Now())
}
