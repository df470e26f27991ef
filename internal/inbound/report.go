package inbound

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/wire"
)

// TargetReport is what a target states about itself in the header of a response.
type TargetReport struct {
	TargetID   string  // id of the target that answered; empty: not stated
	Pace       float64 // factor by which work takes longer than usual now (1: as usual); 0: not stated
	LimitNamed bool    // the response names a limit
	Limit      float64 // requests per second that the target accepts from all nodes together; valid if LimitNamed
	Leaving    bool    // the target is shutting down
	// Err is set if the target states something that can't be used. A limit that can't be used counts as named: it neither
	// changes nor ends the one in force.
	Err error
}

// reportSource is where a report was received, as logged.
type reportSource string

const (
	fromResponse reportSource = "response" // a response to a request
	fromHealth   reportSource = "health"   // a response of the health path
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
	report.Limit, report.LimitNamed, report.Err = wire.ParseLimit(wire.TargetLimit, header.Values(wire.TargetLimit))
	return report
}

// recordReport applies what the target states about itself in a response header. It returns the report.
func (h *Handler) recordReport(header http.Header, source reportSource) TargetReport {
	report := h.parseReport(header)
	h.logReport(&report, source)
	return report
}

// logReport counts and logs invalid reports and changes of the named limit, and the requests sent while one is named.
func (h *Handler) logReport(report *TargetReport, source reportSource) {
	log, now := &h.reports, time.Now()
	log.mu.Lock()
	defer log.mu.Unlock()
	if report.Err != nil {
		h.config.Metrics.Counter("target.report-invalid").Inc(1)
		if !now.Before(log.nextInvalid) {
			log.nextInvalid = now.Add(reportLogInterval)
			klog.InfoS("report of the target not usable", "member", h.config.Self.ID, "source", source, "err", report.Err.Error())
		}
		return
	}
	if source == fromHealth {
		log.healthReads++
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
