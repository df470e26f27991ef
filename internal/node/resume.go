package node

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/inbound"
	"github.com/acacialock/acacialock/internal/membership"
)

// restore adds the state that an earlier process stored to what was received meanwhile, and starts the boot that has checked
// in, unless it has left.
func (t *localTarget) restore(storedRow membership.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	received := t.state.boot()
	t.state.restore(targetState{
		targetID:       storedRow.Target.ID,
		startedAt:      storedRow.Target.StartedAt,
		sequence:       storedRow.Target.Sequence,
		slots:          storedRow.Target.Slots,
		draining:       storedRow.Member.Draining && !storedRow.Leaving,
		departed:       storedRow.Departed,
		leaving:        storedRow.Leaving,
		leavingHeardAt: now,
		lastHeard:      now,
	}, now)
	t.fullSpeed = storedRow.Member.FullSpeed
	t.membersLoaded = true
	klog.InfoS("target restored", "target", t.state.targetID, "born", t.state.startedAt, "draining", t.state.isDraining(),
		"gone", t.state.departed, "stored", storedRow.Target.ID, "received", received.targetID)
	pending := t.pending
	t.pending = nil
	if t.state.departed && !storedRow.Departed {
		t.publishRow()
		return
	}
	if pending != nil && pending.boot() == t.state.boot() {
		t.applyCheckIn(pending)
	}
}

// resumeTimeout bounds the request to the target's health path after a start of the node.
const resumeTimeout = 200 * time.Millisecond

// resume serves the target of an earlier process of this node, which keeps running while the node restarts. Waiting for
// its next check-in, up to 1.5 s, left all requests without a target after many nodes were killed at once. The earlier
// process may have acknowledged a drain that its row does not show, so the target's health path must confirm that it is
// serving. Each request carries the target's id, so that a target that has replaced this one rejects it.
func (t *localTarget) resume(ctx context.Context, storedRow membership.Row) {
	if storedRow.Target.ID == "" || storedRow.Departed || storedRow.Member.Draining || storedRow.Target.Slots == 0 ||
		storedRow.Member.Service != t.node.settings.Service {
		return
	}
	t.startIfServing(ctx, &CheckIn{
		TargetID: storedRow.Target.ID, StartedAt: storedRow.Target.StartedAt, Slots: storedRow.Target.Slots,
	})
}

// startIfServing starts a boot of an earlier process if the target's health path shows that it serves. A target without a
// health path is started by its first check-in.
func (t *localTarget) startIfServing(ctx context.Context, checkIn *CheckIn) {
	report, serving := t.checkServing(ctx, checkIn.TargetID)
	if report.Leaving {
		t.recordLeaving(checkIn.boot(), "health")
	}
	service := t.node.view.Load().Service(t.node.settings.Service)
	t.mu.Lock()
	defer t.mu.Unlock()
	checkedIn := !t.state.firstCheckIn.IsZero()
	if service != nil && service.HealthPath == "" {
		serving = checkedIn
	}
	if !serving || t.current.Load() != nil || t.state.boot() != checkIn.boot() || t.state.isDraining() {
		return // a check-in may have arrived in the meantime
	}
	t.startBoot(checkIn)
	t.current.Load().resumed = !checkedIn
	t.current.Load().handler.ApplyServing(report)
	t.publishRow()
}

// checkServing queries the health path and reports whether the target has that id, is serving and does not leave. It returns
// what that target states about itself.
func (t *localTarget) checkServing(ctx context.Context, targetID string) (inbound.TargetReport, bool) {
	service := t.node.view.Load().Service(t.node.settings.Service)
	if service == nil || service.HealthPath == "" {
		return inbound.TargetReport{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, resumeTimeout)
	defer cancel()
	transport := inbound.NewHealthTransport()
	defer transport.CloseIdleConnections()
	response, err := inbound.CheckHealth(ctx, transport, t.node.settings.TargetAddr, service.HealthPath)
	if err != nil {
		klog.InfoS("health path of the target not read", "target", targetID, "err", err.Error())
		return inbound.TargetReport{}, false
	}
	report := t.node.platform.Protocol(targetID).ParseReport(response.Header)
	if report.TargetID != "" && report.TargetID != targetID {
		report = inbound.TargetReport{}
	}
	if !t.node.platform.IsServing(response, targetID) || report.Leaving {
		klog.InfoS("target does not serve", "target", targetID, "status", response.StatusCode, "leaving", report.Leaving)
		return report, false
	}
	return report, true
}
