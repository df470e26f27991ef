package allotment

import (
	"maps"
	"math"
	"time"
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
	calmLifetime = 2 * time.Second
	hotLifetime  = 1200 * time.Millisecond
	// overdueTime is the time after which an unanswered report makes a node careful with tenants whose demand has risen.
	overdueTime = 250 * time.Millisecond
	// minUrgent is the number of requests of a tenant since the last report from which the next one is urgent, unless its
	// usual demand brings more.
	minUrgent = 2
	// alertTime is the time after an urgent report in which reports follow each other like those of a hot node.
	alertTime = 300 * time.Millisecond
	// urgentDeviations is the number of standard deviations by which the requests since the last report must exceed those of a
	// tenant that uses the part usualLoad of its rate.
	urgentDeviations = 2.5
	usualLoad        = 0.8
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
	pending   map[tenantID]tally // counts that no report holds yet
	unacked   *report            // sent, but not known to be received
	to        string             // name of the receiver of the last report
	number    uint64             // of the last report
	busy      bool               // a report is on its way
	urgent    bool               // the next report is due after urgentInterval
	sentAt    time.Duration      // of the last report
	ackedAt   time.Duration      // when the last report was sent that was answered
	acked     bool               // a report was answered, and ackedAt is valid
	suspect   bool               // the last report failed
	unackedAt time.Duration      // when the rows of unacked were first sent
	pendingAt time.Duration      // since when pending collects
	alertTo   time.Duration      // end of the alertTime
	hot       bool               // as announced by the last report
	ackedHot  bool               // as announced by the last report that was answered
}

func newLink() *link { return &link{pending: map[tenantID]tally{}, sentAt: -calmInterval} }

// add adds counts to the next report. usual is the tenant's rate that the nodes of the report may use if all use the same; a
// report with clearly more requests is urgent.
func (l *link) add(tenant tenantID, t tally, usual float64, now time.Duration) {
	sum, known := l.pending[tenant]
	if !known && len(l.pending) >= maxRetained {
		return
	}
	sum = sum.plus(t)
	l.pending[tenant] = sum
	if l.excessive(tenant, usual, now) {
		l.urgent = true
	}
}

// excessive reports whether clearly more requests of the tenant came since the last report than a tenant brings that uses
// the part usualLoad of its rate.
func (l *link) excessive(tenant tenantID, usual float64, now time.Duration) bool {
	expected := usual * usualLoad * (now - l.pendingAt).Seconds()
	return float64(l.pending[tenant].requested) >= max(minUrgent, expected+urgentDeviations*math.Sqrt(expected)+1)
}

// counted reports whether the receiver counts this node as connected.
func (l *link) counted(now time.Duration) bool {
	return l.acked && now-l.ackedAt < lifetime(l.ackedHot)
}

// fresh reports whether the receiver counts this node as connected and the last report didn't fail.
func (l *link) fresh(now time.Duration) bool { return l.counted(now) && !l.suspect }

// overdue reports whether the answer to a report takes so long that the receiver is likely to be unreachable.
func (l *link) overdue(now time.Duration) bool {
	return l.unacked != nil && now-l.unackedAt >= overdueTime
}

// dueAt returns the time of the next report; interval is that of a report that isn't urgent.
func (l *link) dueAt(interval time.Duration) time.Duration {
	switch {
	case l.urgent:
		interval = min(interval, urgentInterval)
	case l.sentAt < l.alertTo:
		interval = min(interval, hotInterval)
	}
	return l.sentAt + interval
}

// forget drops the counts. They were admitted under this node's own part of the allotments, which others have left to it.
func (l *link) forget(now time.Duration) {
	clear(l.pending)
	l.unacked, l.urgent, l.pendingAt = nil, false, now
}

// uncounted returns the counts that the receiver has not confirmed.
func (l *link) uncounted() map[tenantID]tally {
	sums := maps.Clone(l.pending)
	if l.unacked != nil {
		for _, row := range l.unacked.rows {
			sums[row.tenant] = sums[row.tenant].plus(row.tally)
		}
	}
	return sums
}

// next returns the report to send: the last one again if it was not answered.
func (l *link) next(header report, now time.Duration) *report {
	if l.urgent {
		l.alertTo = now + alertTime
	}
	l.busy, l.sentAt, l.hot, l.urgent = true, now, header.hot, false
	l.number++
	header.number = l.number
	if l.unacked != nil {
		header.rowsNumber, header.rows = l.unacked.rowsNumber, l.unacked.rows
		l.unacked = &header
		return &header
	}
	header.rowsNumber = l.number
	for tenant, sum := range l.pending {
		header.rows = append(header.rows, reportRow{tenant, sum})
	}
	clear(l.pending)
	l.unacked, l.unackedAt, l.pendingAt = &header, now, now
	return &header
}

// confirm records the answer to the report with this number. It returns false if that is not the last one.
func (l *link) confirm(number uint64) bool {
	l.busy = false
	if l.unacked == nil || l.unacked.number != number {
		return false
	}
	l.suspect = false
	l.unacked, l.acked, l.ackedAt, l.ackedHot = nil, true, l.sentAt, l.hot
	return true
}

// fail records that the last report was not answered. The next one is sent at once, to another receiver.
func (l *link) fail() { l.busy, l.urgent = false, true }
