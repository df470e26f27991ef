package quarantine

import (
	"context"
	"time"
)

// Run is a request that is sent to the target. End must be called.
type Run struct {
	guard  *Guard
	pass   *Pass
	digest *Digest

	// Guarded by the monitor's mutex.
	sentAt time.Time // zero until a connection was found for it
	broken bool
	crash  *crash
}

// Begin starts the watch over a request that passed.
func (g *Guard) Begin(pass *Pass, digest *Digest) *Run {
	run := &Run{guard: g, pass: pass, digest: digest}
	g.monitor.keepSentinel()
	g.monitor.mu.Lock()
	defer g.monitor.mu.Unlock()
	g.monitor.runs[run] = struct{}{}
	return run
}

// Sent notes that a connection to the target was found, so that the request may reach it from now on.
func (r *Run) Sent() {
	r.guard.monitor.mu.Lock()
	defer r.guard.monitor.mu.Unlock()
	r.sentAt = time.Now()
}

// Broke judges the break of the request's connection by the target. When the target died, the requests at it become
// suspects, and Broke returns after they were shared, so that no caller sends a copy before the other nodes know. A
// break of a request that runs alone always counts as a crash.
func (r *Run) Broke(ctx context.Context) bool {
	at := time.Now()
	m := r.guard.monitor
	m.mu.Lock()
	r.broken = true
	m.mu.Unlock()
	if !r.pass.alone && !m.died(ctx, at) {
		return r.joined()
	}
	r.crashed(ctx, at)
	return true
}

// TimedOut judges a request that was not answered until its deadline. A target that accepts no connect counts as dead.
func (r *Run) TimedOut(ctx context.Context) {
	at := time.Now()
	if r.guard.monitor.refuses(ctx) {
		r.crashed(ctx, at)
	}
}

// crashed marks and shares the requests at the target, or waits until another request did.
func (r *Run) crashed(ctx context.Context, at time.Time) {
	marked, crash := r.guard.monitor.attribute(r, at)
	if len(marked) > 0 {
		r.guard.crashed(ctx, marked)
		close(crash.shared)
	}
	<-crash.shared
}

// joined reports whether another request's judgement included this one, and waits for its share.
func (r *Run) joined() bool {
	m := r.guard.monitor
	m.mu.Lock()
	crash := r.crash
	m.mu.Unlock()
	if crash == nil {
		return false
	}
	<-crash.shared
	return true
}

// End ends the watch. A suspect that completed alone is cleared.
func (r *Run) End(ctx context.Context, completed bool) {
	m := r.guard.monitor
	m.mu.Lock()
	delete(m.runs, r)
	crashed := r.crash != nil
	m.mu.Unlock()
	if r.pass.alone && completed && !crashed {
		r.guard.clear(ctx, r.pass.matched)
	}
}

// fingerprint is the suspect as which the request ran, or its own fingerprint.
func (r *Run) fingerprint() Fingerprint {
	if len(r.pass.matched) > 0 {
		return r.pass.matched[0]
	}
	return r.digest.Fingerprint()
}
