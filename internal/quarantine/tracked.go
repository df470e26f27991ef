package quarantine

import (
	"context"
	"time"
)

// TrackedRequest is a request that is sent to the target. Finish must be called.
type TrackedRequest struct {
	guard  *Guard
	pass   *Pass
	digest *Digest

	// Guarded by the monitor's mutex.
	sentAt time.Time // zero until the request got a connection
	broken bool
	crash  *crash
}

// Track starts tracking an admitted request.
func (g *Guard) Track(pass *Pass, digest *Digest) *TrackedRequest {
	tracked := &TrackedRequest{guard: g, pass: pass, digest: digest}
	g.monitor.ensureSentinel()
	g.monitor.mu.Lock()
	defer g.monitor.mu.Unlock()
	g.monitor.requests[tracked] = struct{}{}
	return tracked
}

// MarkSent records that the request got a connection, so that it may reach the target from now on.
func (r *TrackedRequest) MarkSent() {
	r.guard.monitor.mu.Lock()
	defer r.guard.monitor.mu.Unlock()
	r.sentAt = time.Now()
}

// ReportBreak reports that the target closed the request's connection and returns whether the target crashed. In that
// case the requests at the target become suspects, and ReportBreak returns after they were shared, so that no caller
// can resend a request before the other nodes know of it. A break of a request that runs in isolation always counts as
// a crash.
func (r *TrackedRequest) ReportBreak(ctx context.Context) bool {
	at := time.Now()
	m := r.guard.monitor
	m.mu.Lock()
	r.broken = true
	m.mu.Unlock()
	if !r.pass.isolated && !m.targetCrashed(ctx, at) {
		return r.awaitReportedCrash()
	}
	r.reportCrash(ctx, at)
	return true
}

// ReportTimeout reports that the request got no response before its deadline. If the target accepts no connection, that
// counts as a crash.
func (r *TrackedRequest) ReportTimeout(ctx context.Context) {
	at := time.Now()
	if r.guard.monitor.refusesConnections(ctx) {
		r.reportCrash(ctx, at)
	}
}

// reportCrash records and shares the requests at the target, or waits until another request has done so.
func (r *TrackedRequest) reportCrash(ctx context.Context, at time.Time) {
	marked, crash := r.guard.monitor.attributeCrash(r, at)
	if len(marked) > 0 {
		r.guard.recordCrash(ctx, marked)
		close(crash.shared)
	}
	<-crash.shared
}

// awaitReportedCrash reports whether another request reported a crash that includes this one. If so, it waits until the
// suspects have been shared.
func (r *TrackedRequest) awaitReportedCrash() bool {
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

// Finish ends the tracking. A suspect that completed in isolation is cleared.
func (r *TrackedRequest) Finish(ctx context.Context, completed bool) {
	m := r.guard.monitor
	m.mu.Lock()
	delete(m.requests, r)
	crashed := r.crash != nil
	m.mu.Unlock()
	if r.pass.isolated && completed && !crashed {
		r.guard.clearSuspects(ctx, r.pass.matched)
	}
}

// fingerprint returns the first suspect that the request matched or, if there is none, its own fingerprint.
func (r *TrackedRequest) fingerprint() Fingerprint {
	if len(r.pass.matched) > 0 {
		return r.pass.matched[0]
	}
	return r.digest.Fingerprint()
}
