package admission

import (
	"time"

	"github.com/acacialock/acacialock/internal/failure"
)

const (
	// paceFresh is the age up to which a reading decides whether a request may start. Targets share machines whose speed
	// changes about every 150 ms (docs/measurements.md), so that a reading of that age is wrong in one of 20 cases.
	paceFresh = 10 * time.Millisecond
	// paceRecheck is the time between two readings while requests wait for the target to get faster. It is below the 60
	// questions a second that platforms allow for each target.
	paceRecheck = 20 * time.Millisecond
	// slowFactor is the factor to its usual pace from which a target counts as slow.
	slowFactor = 1.5
	// longestSpell is the time after which the pace of a slow target counts as its usual one. Waiting would not help then, and
	// the balancer sees the longer times.
	longestSpell = time.Second
	// spellGap is the time between two readings from which they say nothing about what lies between them.
	spellGap = 100 * time.Millisecond
	// readingPause is the time without questions after one that was not answered.
	readingPause = time.Second
	// shortWork is the usual time up to which a request starts at any speed: it loses less than a detour costs.
	shortWork = 5 * time.Millisecond
)

// pace follows how much longer than usual work takes at the target at this moment. It answers the load of machines that are
// shared with others: the speed at its start decides how long a request takes, so that a request that starts in a slow
// spell of 150 ms takes five times as long, and waiting for the end of the spell or going elsewhere is quicker. It is not
// safe for concurrent use and does no I/O.
type pace struct {
	told   bool // the target tells its pace
	factor float64
	at     time.Time
	// usual is the factor of the target outside slow spells. It is above 1 while a target that has just started is slow as a
	// whole: measured against 1, such targets got no work for a second after each slow reading.
	usual     float64
	slowSince time.Time // of the present slow spell; zero: the target is not slow
	spellLow  float64   // lowest factor of the present slow spell
	askAgain  time.Time // no question before
}

// read takes over a reading.
func (p *pace) read(factor float64, now time.Time) {
	unseen := now.Sub(p.at) > spellGap
	if !p.told || factor < p.usual {
		p.usual = factor
	}
	p.told, p.factor, p.at = true, factor, now
	switch {
	case !p.above():
		p.slowSince = time.Time{}
		return
	case p.slowSince.IsZero() || unseen:
		p.slowSince, p.spellLow = now, factor
	}
	p.spellLow = min(p.spellLow, factor)
	if now.Sub(p.slowSince) >= longestSpell {
		p.usual = p.spellLow
	}
}

// above reports whether the last reading is that of a slow spell.
func (p *pace) above() bool { return p.factor >= slowFactor*p.usual }

// failed takes over that a question was not answered.
func (p *pace) failed(now time.Time) { p.askAgain = now.Add(readingPause) }

// slow reports whether the last reading speaks against a start now.
func (p *pace) slow(now time.Time) bool {
	return p.told && p.above() && !p.outdated(now)
}

// stale reports whether a new reading is needed before a request may start.
func (p *pace) stale(now time.Time) bool {
	return p.told && now.Sub(p.at) > paceFresh && !now.Before(p.askAgain)
}

// outdated reports whether the reading is too old to say anything and no newer one can be had.
func (p *pace) outdated(now time.Time) bool {
	return now.Sub(p.at) > paceRecheck && now.Before(p.askAgain)
}

// holds reports whether a request that usually takes that long must not start now.
func (p *pace) holds(takes time.Duration, now time.Time) bool {
	if takes > 0 && takes < shortWork {
		return false
	}
	return p.stale(now) || p.slow(now)
}

// OnPaceNeeded sets the function that reads the target's pace. It is called on a goroutine of its own, one call at a time,
// when a request waits for a reading, and returns false when the target gave none.
func (g *Gate) OnPaceNeeded(read func() (factor float64, ok bool)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readPace = read
}

// SetPace takes over that work takes that factor of its usual time at the target now.
func (g *Gate) SetPace(factor float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.takePace(factor)
}

// takePace applies a reading; requests that may run elsewhere leave when it is slow. The mutex is held.
func (g *Gate) takePace(factor float64) {
	now := time.Now()
	g.pace.read(factor, now)
	if g.pace.slow(now) {
		for i := 0; i < len(g.queue.waiters); {
			if w := g.queue.waiters[i]; w.movable && g.pace.holds(w.takes, now) {
				g.queue.remove(i).verdict <- verdict{refused: slowNow(g.pace.factor)}
				continue
			}
			i++
		}
	}
	g.grant()
}

// PaceAge is the age of the last reading; -1 ms: none.
func (g *Gate) PaceAge() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pace.told {
		return -time.Millisecond
	}
	return time.Since(g.pace.at)
}

func slowNow(factor float64) *failure.Error {
	return failure.New(failure.TargetSlow, failure.NotRun, "the target takes %.1f times as long as usual now", factor)
}

// heldByPace reports whether a slot is free for the request and only the target's pace speaks against its start.
func (g *Gate) heldByPace(w *waiter, now time.Time) bool {
	return g.readPace != nil && g.free(w.Alone) && g.pace.holds(w.takes, now)
}

// wantPace starts a reading unless one is under way. The mutex is held.
func (g *Gate) wantPace(now time.Time) {
	if g.readingPace {
		return
	}
	g.readingPace = true
	if g.pace.stale(now) {
		go g.askPace()
		return
	}
	time.AfterFunc(paceRecheck-now.Sub(g.pace.at), g.askPace)
}

func (g *Gate) askPace() {
	factor, ok := g.readPace()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readingPace = false
	if ok {
		g.takePace(factor)
		return
	}
	g.pace.failed(time.Now())
	g.grant()
}
