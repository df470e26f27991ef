package admission

import (
	"math"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// minRate is the lowest rate in requests per second at which a target is used, also if it names a lower limit: its
	// responses are the only sign that the limit has ended.
	minRate = 0.1
	// maxRate is a rate in requests per second that no target reaches. It keeps the arithmetic with higher limits finite.
	maxRate = 1e6
	// burstTime is the time whose requests an unused limit saves up.
	burstTime = 500 * time.Millisecond
	// raiseDelay is the time without a response that confirms a limit after which a higher limit, or its end, is believed.
	// Responses on several connections overtake each other, and a target may name another limit on each.
	raiseDelay = time.Second
	// maxRateLimitAge is the time after which a limit ends of which nothing more is heard. It is three times as long as the
	// time between two requests at minRate.
	maxRateLimitAge = 30 * time.Second
	// rampDoubling is the time in which the rate doubles after the end of a limit, so that the load does not return at once.
	rampDoubling = 500 * time.Millisecond
	// rampDuration is the time after the end of a limit in which the rate is still limited: to 64 times the limit at last.
	rampDuration = 3 * time.Second
	// minRampRate is the lowest rate in requests per second at which a ramp starts.
	minRampRate = 1.0
	// healthReadsPerRequest is the number of reads of the target's health path for each request that the limit admits. The
	// reads are no requests and show the moment at which a request runs shortest.
	healthReadsPerRequest = 2
)

// RateLimit is the limit that a target names for the requests per second from all nodes together.
type RateLimit struct {
	Rate    float64   // requests per second; 0: the target names no limit
	HeardAt time.Time // when the target last named a limit
}

// rateLimit is a token bucket for the requests that start at the target, at the rate that the target names. The node beside
// the target is the only one that reaches it, so no other node needs to count. The zero value limits nothing. It is not
// safe for concurrent use and does no I/O.
type rateLimit struct {
	rate        float64   // requests per second; 0: no limit is in force
	heardAt     time.Time // when a limit was last named
	confirmedAt time.Time // when this limit or a lower one was last named
	endedAt     time.Time // when the limit ended and the ramp began; zero: it is in force
	tokens      float64   // requests that may start now; negative after requests that started without permission
	refilledAt  time.Time
	// grants counts the requests started under the limit, and lastGrant holds its value at the last request of each kind.
	grants    int
	lastGrant map[string]int
}

// report applies what a response states: a limit, or none if named is false.
func (r *rateLimit) report(rate float64, named bool, now time.Time) {
	r.refill(now)
	confirmed := now.Sub(r.confirmedAt) < raiseDelay
	if !named {
		if r.inForce() && !confirmed {
			r.endedAt = now
		}
		return
	}
	rate = min(max(rate, minRate), maxRate)
	r.heardAt = now
	switch {
	case !r.active():
		*r = rateLimit{rate: rate, heardAt: now, refilledAt: now, lastGrant: map[string]int{}}
	case rate > r.rate && r.inForce() && confirmed:
		return
	}
	r.rate, r.confirmedAt, r.endedAt = rate, now, time.Time{}
	r.tokens = min(r.tokens, r.burst())
}

// active reports whether the rate is limited: a limit is in force, or its ramp has not ended.
func (r *rateLimit) active() bool { return r.rate > 0 }

// inForce reports whether a limit is in force that has not ended.
func (r *rateLimit) inForce() bool { return r.rate > 0 && r.endedAt.IsZero() }

// currentRate returns the requests per second that may start now.
func (r *rateLimit) currentRate(now time.Time) float64 {
	if r.inForce() {
		return r.rate
	}
	return max(r.rate, minRampRate) * math.Exp2(now.Sub(r.endedAt).Seconds()/rampDoubling.Seconds())
}

// burst returns the number of requests that an unused limit saves up.
func (r *rateLimit) burst() float64 { return max(1, r.rate*burstTime.Seconds()) }

// refill adds the tokens since the last call and ends a limit that is too old and a ramp that is over.
func (r *rateLimit) refill(now time.Time) {
	switch {
	case !r.active():
		return
	case r.inForce() && now.Sub(r.heardAt) >= maxRateLimitAge:
		r.endedAt = now
	case !r.inForce() && now.Sub(r.endedAt) >= rampDuration:
		*r = rateLimit{}
		return
	}
	if elapsed := now.Sub(r.refilledAt); elapsed > 0 {
		r.tokens = min(r.tokens+r.currentRate(now)*elapsed.Seconds(), r.burst())
		r.refilledAt = now
	}
}

// take counts a request of the kind that starts now.
func (r *rateLimit) take(kind string) {
	if !r.active() {
		return
	}
	r.tokens--
	r.grants++
	r.lastGrant[kind] = r.grants
}

// wait returns the time until a request can start behind the given number of others; 0: now.
func (r *rateLimit) wait(ahead int, now time.Time) time.Duration {
	if !r.active() {
		return 0
	}
	missing := float64(ahead+1) - r.tokens
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / r.currentRate(now) * float64(time.Second)))
}

// fairShareGrants is the number of requests started under a limit of which each kind that waits gets one. With strict
// priorities, a kind of higher rank whose rate exceeds the limit would take it all.
const fairShareGrants = 4

// isStarved reports whether the kind has had no request among the last ones started under the limit.
func (r *rateLimit) isStarved(kind string) bool {
	return r.active() && r.grants-r.lastGrant[kind] >= fairShareGrants
}

// ReportLimit applies what a response of the target states about the requests per second that it accepts from all nodes
// together: a limit, or none if named is false. A lower limit applies at once, a higher one or its end once no response has
// confirmed the lower one for raiseDelay.
func (l *Limiter) ReportLimit(rate float64, named bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.heardTarget = now
	if !named && !l.rate.active() {
		return
	}
	l.rate.report(rate, named, now)
	l.refuseUnreachable(now)
	l.grantQueued()
}

// AdoptLimit applies a limit that another node heard the target name at heardAt. It returns false if the limit is too old, or
// if this limiter has itself heard from the target since or knows a limit already.
func (l *Limiter) AdoptLimit(rate float64, heardAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.heardTarget.After(heardAt) || l.rate.active() || now.Sub(heardAt) >= maxRateLimitAge {
		return false
	}
	l.rate.report(rate, true, now)
	l.rate.heardAt, l.rate.confirmedAt = heardAt, heardAt
	return true
}

// RateLimit returns the limit that the target names. During the ramp after its end, Rate is 0.
func (l *Limiter) RateLimit() RateLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rate.refill(time.Now())
	if !l.rate.inForce() {
		return RateLimit{}
	}
	return RateLimit{Rate: l.rate.rate, HeardAt: l.rate.heardAt}
}

// CountUnplannedSend counts a request that reached the target without a slot of its own: net/http sends a request again if
// a kept connection closes.
func (l *Limiter) CountUnplannedSend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.rate.active() {
		l.rate.refill(now)
		l.rate.tokens--
	}
	l.cold.take(now)
}

// limited reports whether the rate of the requests that start is bounded now, by the target's own limit or because it is cold.
func (l *Limiter) limited(now time.Time) bool { return l.rate.active() || l.cold.active(now) }

// delayHealthReads sets the time of the next read of the target's health path under a limit; see healthReadsPerRequest. Until
// then a fast reading holds, and a slow one for slowReadingLifetime. The mutex is held.
func (l *Limiter) delayHealthReads(now time.Time) {
	l.pace.limited = l.rate.active()
	if l.pace.limited {
		interval := time.Duration(float64(time.Second) / (healthReadsPerRequest * l.rate.currentRate(now)))
		l.pace.nextRead = now.Add(interval)
	}
}

// limitWait returns the time until the limits admit a request that ranks behind the given number of queued ones. The mutex
// is held.
func (l *Limiter) limitWait(ahead int, now time.Time) time.Duration {
	l.rate.refill(now)
	return max(l.rate.wait(ahead, now), l.cold.wait(ahead, now))
}

// limitDelays reports whether the limit delays the request by more than a way to another region takes, and the request can
// meet its soft deadline there. The mutex is held.
func (l *Limiter) limitDelays(w *waiter, now time.Time) bool {
	return w.hasOverflowSlack(now) && l.limitWait(l.queue.countAhead(w, now), now) >= overflowTime
}

// limitRate returns the lowest of the limits in force, in requests per second.
func (l *Limiter) limitRate() float64 {
	if !l.cold.active(time.Now()) || l.rate.active() && l.rate.rate < l.cold.rate {
		return l.rate.rate
	}
	return l.cold.rate
}

// limitRefusal returns the refusal of a request that the limit does not admit in time, or now.
func (l *Limiter) limitRefusal(wait time.Duration) *failure.Error {
	refusal := failure.New(failure.TargetLimited, failure.NotRun, "the target accepts %.3g requests/s and %d wait", l.limitRate(), len(l.queue.waiters))
	refusal.RetryAfter = wait
	return refusal
}

// limitAdmitsInTime reports whether the limit admits a request behind the given number of queued ones early enough: before
// its soft deadline or, if that can't be met in any case, before its deadline and behind no other. It answers more requests
// than the limit admits: late ones would wait until others take their place, and be refused then. The mutex is held.
func (l *Limiter) limitAdmitsInTime(w *waiter, ahead int, now time.Time) bool {
	if !l.limited(now) || w.Exclusive {
		return true
	}
	end := now.Add(l.limitWait(ahead, now) + w.serviceTime)
	if w.SoftDeadline.IsZero() {
		return !end.After(w.Deadline)
	}
	if w.late(now) {
		return ahead == 0 && !end.After(w.Deadline)
	}
	return !end.After(w.SoftDeadline)
}

// refuseUnreachable refuses the queued requests that the limit does not admit in time any more, because the limit is lower
// now or requests of higher rank have arrived. The mutex is held.
func (l *Limiter) refuseUnreachable(now time.Time) {
	if !l.limited(now) {
		return
	}
	for i := 0; i < len(l.queue.waiters); {
		w := l.queue.waiters[i]
		if l.limitAdmitsInTime(w, l.queue.countAhead(w, now), now) {
			i++
			continue
		}
		l.queue.remove(i).result <- result{refusal: l.limitRefusal(l.limitWait(len(l.queue.waiters), now))}
	}
}

// scheduleGrant lets queued requests start when the limit admits the next one. The mutex is held.
func (l *Limiter) scheduleGrant(now time.Time) {
	if l.grantScheduled || len(l.queue.waiters) == 0 {
		return
	}
	wait := l.limitWait(0, now)
	if wait <= 0 {
		return
	}
	l.grantScheduled = true
	time.AfterFunc(wait, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.grantScheduled = false
		l.grantQueued()
	})
}
