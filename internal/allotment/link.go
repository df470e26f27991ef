package allotment

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
)

const (
	// calmInterval is the time between two reports of a node to which none reports, and forwardInterval of one that forwards
	// the counts of others. hotInterval is that of a node that sees requests of a limited tenant.
	calmInterval    = time.Second
	forwardInterval = 500 * time.Millisecond
	hotInterval     = 250 * time.Millisecond
	// urgentInterval is the least time between two reports if many requests of one tenant were admitted since the last one.
	urgentInterval = 100 * time.Millisecond
	// calmLifetime is the time after which a node counts as cut off whose last report did not announce that it is hot;
	// hotLifetime is that of the others. Both sides of a cut then use no more than their part of the allotments. Until then,
	// together they may admit more: with half of the nodes cut off, rate x lifetime / 2.
	calmLifetime = 2500 * time.Millisecond
	hotLifetime  = 1200 * time.Millisecond
	// minUrgent is the number of requests of a tenant since the last report from which the next one is urgent, unless its
	// usual demand brings more.
	minUrgent = 3
	// maxRetained bounds the tenants whose counts wait for a report.
	maxRetained = maxRows / 2
)

// lifetime returns the time for which a report, or the answer to it, is valid.
func lifetime(hot bool) time.Duration {
	if hot {
		return hotLifetime
	}
	return calmLifetime
}

// link carries reports to one receiver at a time: the parent of this node, or the best node of another region. It is not
// safe for concurrent use.
type link struct {
	pending  map[tenantID]tally // counts that no report holds yet
	unacked  *report            // sent, but not known to be received
	to       cluster.Member     // the receiver of unacked
	number   uint64             // of the last report
	busy     bool               // a report is on its way
	urgent   bool               // the next report is due after urgentInterval
	sentAt   time.Duration      // of the last report
	ackedAt  time.Duration      // when the last report was sent that was answered
	acked    bool               // a report was answered, and ackedAt is valid
	hot      bool               // as announced by the last report
	ackedHot bool               // as announced by the last report that was answered
}

func newLink() *link { return &link{pending: map[tenantID]tally{}, sentAt: -calmInterval} }

// add adds counts to the next report. usual is the number of requests from which the report is urgent.
func (l *link) add(tenant tenantID, t tally, usual float64) {
	sum, known := l.pending[tenant]
	if !known && len(l.pending) >= maxRetained {
		return
	}
	sum = sum.plus(t)
	l.pending[tenant] = sum
	if float64(sum.requested) >= max(minUrgent, usual) {
		l.urgent = true
	}
}

// fresh reports whether the receiver counts this node as connected.
func (l *link) fresh(now time.Duration) bool { return l.acked && now-l.ackedAt < lifetime(l.ackedHot) }

// dueAt returns the time of the next report; interval is that of a report that isn't urgent.
func (l *link) dueAt(interval time.Duration) time.Duration {
	if l.urgent {
		interval = min(interval, urgentInterval)
	}
	return l.sentAt + interval
}

// forget drops the counts. They were admitted under this node's own part of the allotments, which others have left to it.
func (l *link) forget() {
	clear(l.pending)
	l.unacked, l.urgent = nil, false
}

// next returns the report to send to the receiver: the last one again if it was not answered.
func (l *link) next(to cluster.Member, header report, now time.Duration) *report {
	l.busy, l.sentAt, l.hot, l.urgent = true, now, header.hot, false
	if l.unacked != nil {
		again := header
		again.number, again.rows = l.unacked.number, l.unacked.rows
		l.unacked, l.to = &again, to
		return &again
	}
	l.number++
	header.number = l.number
	for tenant, sum := range l.pending {
		header.rows = append(header.rows, reportRow{tenant, sum})
	}
	clear(l.pending)
	l.unacked, l.to = &header, to
	return &header
}

// confirm records the answer to the report with this number. It returns false if that is not the last one.
func (l *link) confirm(number uint64) bool {
	l.busy = false
	if l.unacked == nil || l.unacked.number != number {
		return false
	}
	l.unacked, l.acked, l.ackedAt, l.ackedHot = nil, true, l.sentAt, l.hot
	return true
}

// fail records that the last report was not answered. The next one is sent at once, to another receiver.
func (l *link) fail() { l.busy, l.urgent = false, true }
