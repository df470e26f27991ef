package inbound

import (
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/admission"
	"github.com/acacialock/acacialock/internal/wire"
)

// TargetReport is what a target states about itself in the header of a response.
type TargetReport struct {
	TargetID   string  // id of the target that answered; empty: not stated
	Pace       float64 // factor by which work takes longer than usual now (1: as usual); 0: not stated
	LimitNamed bool    // the response names a limit
	Limit      float64 // requests per second that the target accepts from all nodes together; valid if LimitNamed
	Leaving    bool    // the target is shutting down
	// WarmUpStated is true if the response states the remaining warm-up, WarmUp; 0: the target is warm.
	WarmUpStated bool
	WarmUp       time.Duration
	// LimitErr, LeavingErr and WarmUpErr are set if the target states something that can't be read. Such a limit counts as
	// named: it neither changes nor ends the one in force.
	LimitErr, LeavingErr, WarmUpErr error
}

// Sources of reports, as logged.
const (
	fromResponse = "response" // a response to a request
	fromHealth   = "health"   // a response of the health path
	fromCheckIn  = "check-in" // an announcement of the target
	fromNode     = "node"     // another node, which heard it before this process did
)

const (
	// limitSummaryInterval is the time between two log lines about the requests sent under a limit.
	limitSummaryInterval = 4 * time.Second
	// reportLogInterval is the least time between two log lines about changed or invalid reports: a target may state
	// another value on each response.
	reportLogInterval = time.Second
)

// reportLog decides which reports of a target are logged and counts what the target received under a limit.
type reportLog struct {
	mu            sync.Mutex
	named         bool
	limit         float64
	nextChange    time.Time // no line about a changed limit before
	nextInvalid   time.Time // no line about an invalid report before
	summarySince  time.Time // start of the counts below
	sent, repeats int       // requests sent to the target, and those among them that are not the first send of their call
	healthReads   int
}

// parseReport returns what the target states about itself in a response header.
func (h *Handler) parseReport(header http.Header) TargetReport {
	if h.config.Protocol != nil {
		return h.config.Protocol.ParseReport(header)
	}
	var report TargetReport
	if percent, err := strconv.ParseFloat(header.Get(wire.TargetPace), 64); err == nil && percent > 0 {
		report.Pace = percent / 100
	}
	report.Limit, report.LimitNamed, report.LimitErr = wire.ParseLimit(wire.TargetLimit, header.Values(wire.TargetLimit))
	return report
}

// recordReport applies what the target states about itself in a response header, whatever its status. It returns the report.
func (h *Handler) recordReport(header http.Header, source string) TargetReport {
	report := h.parseReport(header)
	if report.TargetID != "" && h.config.TargetID != "" && report.TargetID != h.config.TargetID {
		if h.config.OnOtherReport != nil {
			h.config.OnOtherReport(report)
		}
		return TargetReport{}
	}
	h.applyReport(report, source)
	return report
}

// applyReport applies what the target states about itself; source is logged. Of an invalid report, a limit is ignored. A health
// path without a limit does not end one: targets may name it on the responses to requests only.
func (h *Handler) applyReport(report TargetReport, source string) {
	h.logReport(&report, source)
	if report.LimitErr == nil && (report.LimitNamed || source != fromHealth) {
		h.limiter.ReportLimit(report.Limit, report.LimitNamed)
	}
	h.applyWarmUp(&report, source)
	switch {
	case report.Leaving && h.config.OnLeaving != nil:
		h.leavingHeardAt.Store(time.Now().UnixNano())
		h.config.OnLeaving(source)
	case source == fromResponse:
		h.stayingHeardAt.Store(time.Now().UnixNano())
	}
}

// ApplyServing applies what the target stated about itself in a response of its health path that shows that it serves and does
// not leave.
func (h *Handler) ApplyServing(report TargetReport) {
	h.stayingHeardAt.Store(time.Now().UnixNano())
	h.applyReport(report, fromHealth)
}

// ApplyResponse applies what the target stated about itself in response to a request for an earlier target.
func (h *Handler) ApplyResponse(report TargetReport) { h.applyReport(report, fromResponse) }

// RateLimit returns the limit that the target names.
func (h *Handler) RateLimit() admission.RateLimit { return h.limiter.RateLimit() }

// targetState returns what the target stated about itself, for other nodes.
func (h *Handler) targetState() wire.TargetState {
	limit := h.limiter.RateLimit()
	state := wire.TargetState{Limit: limit.Rate, Boot: h.config.TargetBoot}
	heardAt := limit.HeardAt
	if at := h.leavingHeardAt.Load(); at != 0 {
		state.Leaving, heardAt = true, time.Unix(0, at)
	}
	if !state.IsZero() {
		state.Age = max(0, time.Since(heardAt))
	}
	return state
}

// adoptState applies what the sender of a request heard from the target before this process did: the process may have
// started since. Statements of another start of the target are ignored.
func (h *Handler) adoptState(r *http.Request) {
	text := r.Header.Get(wire.TargetStatus)
	if text == "" || h.config.TargetBoot == "" {
		return
	}
	state, err := wire.ParseTargetState(text)
	if err != nil || state.Boot != h.config.TargetBoot {
		return
	}
	heardAt := time.Now().Add(-state.Age)
	if state.Limit > 0 && h.limiter.AdoptLimit(state.Limit, heardAt) {
		klog.InfoS("limit of the target learned from another node", "member", h.config.Self.ID, "limit", state.Limit, "age", state.Age)
		h.config.Metrics.Counter("target.limit-adopted").Inc(1)
	}
	if state.Leaving && h.config.OnLeaving != nil && h.stayingHeardAt.Load() < heardAt.UnixNano() {
		h.leavingHeardAt.CompareAndSwap(0, heardAt.UnixNano())
		h.config.OnLeaving(fromNode)
	}
}

// logReport counts and logs invalid reports and changes of the named limit, and the requests sent while one is named.
func (h *Handler) logReport(report *TargetReport, source string) {
	log, now := &h.reports, time.Now()
	log.mu.Lock()
	defer log.mu.Unlock()
	if err := errors.Join(report.LimitErr, report.LeavingErr, report.WarmUpErr); err != nil {
		h.config.Metrics.Counter("target.report-invalid").Inc(1)
		if !now.Before(log.nextInvalid) {
			log.nextInvalid = now.Add(reportLogInterval)
			klog.InfoS("report of the target not usable", "member", h.config.Self.ID, "source", source, "err", err.Error())
		}
	}
	if report.LimitErr != nil {
		return
	}
	if source == fromHealth {
		log.healthReads++
	}
	if source == fromHealth && !report.LimitNamed {
		return
	}
	if (report.LimitNamed != log.named || report.Limit != log.limit) && !now.Before(log.nextChange) {
		log.nextChange = now.Add(reportLogInterval)
		event := "target names no limit any more"
		if report.LimitNamed {
			event = "target names a limit"
			h.config.Metrics.Counter("target.limit-named").Inc(1)
		}
		klog.InfoS(event, "member", h.config.Self.ID, "source", source, "limit", report.Limit, "before", log.limit)
		if !log.named {
			log.summarySince, log.sent, log.repeats, log.healthReads = now, 0, 0, 0
		}
		log.named, log.limit = report.LimitNamed, report.Limit
	}
	if elapsed := now.Sub(log.summarySince); log.named && elapsed >= limitSummaryInterval {
		klog.InfoS("requests under a limit", "member", h.config.Self.ID, "limit", log.limit, "sent", log.sent, "repeats", log.repeats,
			"health_reads", log.healthReads, "over", elapsed.Round(time.Millisecond))
		log.summarySince, log.sent, log.repeats, log.healthReads = now, 0, 0, 0
	}
}

// countSent counts a request that is sent to the target; repeat is true if it is not the first send of its call.
func (h *Handler) countSent(repeat bool) {
	h.config.Metrics.Counter("target.sent").Inc(1)
	h.reports.mu.Lock()
	defer h.reports.mu.Unlock()
	h.reports.sent++
	if repeat {
		h.reports.repeats++
	}
}
