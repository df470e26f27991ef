package inbound

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/admission"
	"github.com/acacialock/acacialock/internal/failure"
)

// Progress implements admission.Caller.
func (e *exchange) Progress() admission.Progress {
	return admission.Progress{
		Waiting: e.body.waiting.Load() || e.writing.Load(),
		Moved:   e.body.moved.Load() + e.written.Load(),
	}
}

// CutOff implements admission.Caller. It interrupts the reads and writes that wait for the caller. A request whose target has its whole
// body is not cancelled, since its outcome would be unknown.
func (e *exchange) CutOff() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.slotReleased {
		return // the connection may serve another request
	}
	e.cutOff.Store(true)
	e.handler.config.Metrics.Counter("target.cut-off").Inc(1)
	klog.InfoS("request cut off", "request", e.r.Header.Get(e.handler.config.RequestIDHeader), "reason", failure.CallerStalled,
		"reading", e.body.waiting.Load(), "writing", e.writing.Load(), "moved", e.Progress().Moved)
	if e.writing.Load() {
		_ = e.control.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed
	}
	if e.body.waiting.Load() {
		e.body.interrupt()
		e.cancelTarget()
	}
}
