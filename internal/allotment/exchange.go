package allotment

import (
	"maps"
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
)

// receive applies a report. ok is false if the sender has to choose another receiver.
func (s *state) receive(r *report, now time.Duration) (reply *answer, ok bool) {
	s.settle(now)
	// A node whose parent is in its group takes no reports, and one that has a parent only those of its group: nodes that
	// know different members can't report to each other in a circle.
	if !s.keeping() && (r.scope != scopeGroup || s.scope == scopeGroup) || r.from == s.name {
		s.parent.urgent = true // this node's parent may have failed
		return nil, false
	}
	from := s.senders[r.from]
	if from == nil || from.boot != r.boot {
		from = &sender{boot: r.boot}
		s.senders[r.from] = from
	}
	if r.number > from.number { // not a late duplicate
		from.number, from.nodes, from.scope, from.validTo = r.number, min(r.nodes, s.size), r.scope, now+lifetime(r.hot)
	}
	if r.rowsNumber > from.counted {
		from.counted = r.rowsNumber
		s.inherit(r.known.rows, s.part(), now)
		for _, row := range r.rows {
			s.count(row.tenant, row.tally, r.scope, now)
		}
	}
	return s.answer(), true
}

// answer returns the limits in force.
func (s *state) answer() *answer {
	a := &answer{}
	for tenant, limited := range s.limits {
		a.rows = append(a.rows, answerRow{tenant, limited})
	}
	if len(a.rows) > maxAnswerRows {
		slices.SortFunc(a.rows, func(x, y answerRow) int {
			switch {
			case x.fraction < y.fraction:
				return -1
			case x.fraction > y.fraction:
				return 1
			}
			return 0
		})
		a.rows = a.rows[:maxAnswerRows]
	}
	return a
}

// outgoing is a message to send: a report on a link or, if link is nil, the limits for a node that reports to this one.
type outgoing struct {
	link   *link
	name   string // of the receiver
	addr   string // its peer address
	report *report
	limits *push
}

// observeLimits notes whether the limits are so much lower than the senders know that they should know at once.
func (s *state) observeLimits() {
	for id, known := range s.pushed {
		if limited, ok := s.limits[id]; !ok || limited.fraction > known {
			delete(s.pushed, id) // the senders learn of higher fractions with the answers to their reports
		}
	}
	for id, limited := range s.limits {
		known, ok := s.pushed[id]
		if !ok {
			known = 1
		}
		if limited.fraction < known*pushFactor && (known-limited.fraction)*limited.demand >= minPushed {
			s.pushDue = true
		}
	}
}

// pushes returns the messages that tell the limits to the nodes that report to this one, if they are due. Without them, the
// nodes would admit the whole demand of a tenant until their next reports.
func (s *state) pushes(now time.Duration) (messages []outgoing) {
	if !s.pushDue || now-s.pushedAt < pushInterval {
		return nil
	}
	s.pushDue, s.pushedAt = false, now
	for id, limited := range s.limits {
		s.pushed[id] = limited.fraction
	}
	told := &push{from: s.name, answer: *s.answer()}
	for _, name := range slices.Sorted(maps.Keys(s.senders)) {
		if addr := s.addrs[name]; addr != "" && s.senders[name].scope != scopePeer {
			messages = append(messages, outgoing{name: name, addr: addr, limits: told})
		}
	}
	return messages
}

// receivePush applies limits that the node to which this one reports has sent.
func (s *state) receivePush(told *push, now time.Duration) {
	s.settle(now)
	if s.keeping() || s.parentName != told.from {
		return
	}
	s.adopt(&told.answer)
}

// adopt obeys the limits that the parent stated.
func (s *state) adopt(stated *answer) {
	clear(s.limits)
	for _, row := range stated.rows {
		s.limits[row.tenant] = row.limit
	}
	s.observeLimits()
}

// poll returns the reports that are due, and the time of the next call.
func (s *state) poll(now time.Duration) (reports []outgoing, next time.Duration) {
	s.settle(now)
	s.sweep(now)
	next = now + calmInterval
	if reports = s.pushes(now); s.pushDue {
		next = min(next, s.pushedAt+pushInterval)
	}
	add := func(l *link, to cluster.Member, scope scope, interval time.Duration) {
		switch due := l.dueAt(interval); {
		case l.busy:
		case now >= due:
			header := report{from: s.name, boot: s.boot, scope: scope, hot: interval <= forwardInterval, nodes: s.nodes()}
			if name := memberName(to.ID); l == s.parent {
				header.nodes = s.claim(name, header, now)
				if name != s.parentName {
					header.known = *s.answer()
				}
			}
			reports = append(reports, outgoing{link: l, name: memberName(to.ID), addr: to.PeerAddr, report: l.next(header, now)})
			l.to = memberName(to.ID)
			next = min(next, now+interval)
		default:
			next = min(next, due)
		}
	}
	avoided := func(addr string) bool { return now < s.avoided[addr].until }
	parent, regional, ok := s.hierarchy.Parent(avoided)
	if ok {
		scope := scopeGroup
		if regional {
			scope = scopeRegion
		}
		add(s.parent, parent, scope, s.interval(now))
		return reports, next
	}
	if !s.keeping() { // the last parent failed a moment ago
		s.parent.suspect = true
		s.settle(now)
	}
	for _, peer := range s.hierarchy.Peers(avoided) {
		l := s.peers[peer.Region]
		if l == nil {
			l = newLink()
			s.peers[peer.Region] = l
		}
		if !l.busy && !l.fresh(now) {
			l.forget(now)
		}
		interval := calmInterval
		if len(s.limits) > 0 || now-s.keepingSince < settleTime {
			interval = hotInterval
		}
		add(l, peer, scopePeer, interval)
	}
	return reports, next
}

// claim returns the number of nodes to state in a report to the parent with this name. While a former parent may still count
// them, it is 0: two nodes that keep accounts must not both use the part of the same nodes.
func (s *state) claim(parent string, header report, now time.Duration) int {
	if parent != s.claimedBy && now < s.claimedTo {
		return 0
	}
	s.claimedBy, s.claimedTo = parent, now+reportTimeout+lifetime(header.hot)
	return header.nodes
}

// interval returns the time between two reports to the parent.
func (s *state) interval(now time.Duration) time.Duration {
	switch {
	case now < s.hotTo || now-s.followingSince < settleTime || len(s.senders) > 0 && len(s.limits) > 0:
		return hotInterval
	case len(s.senders) > 0:
		return forwardInterval
	}
	return calmInterval
}

// answered applies the answer to a report.
func (s *state) answered(sent outgoing, reply *answer, now time.Duration) {
	delete(s.avoided, sent.addr)
	if !sent.link.confirm(sent.report.number) {
		return
	}
	s.settle(now)
	if sent.link != s.parent {
		s.learn(reply, now)
		return
	}
	if s.keeping() {
		return // the answer came too late
	}
	s.scope, s.parentName = sent.report.scope, sent.name
	s.adopt(reply)
}

// learn brings the accounts closer to those of the best node of another region. Both count the same requests, but lost and
// repeated reports let them drift apart. A node that keeps accounts only since a moment ago takes over the debts.
func (s *state) learn(stated *answer, now time.Duration) {
	if !s.keeping() {
		return
	}
	s.inherit(stated.rows, 1, now)
	known := make(map[tenantID]limit, len(stated.rows))
	for _, row := range stated.rows {
		known[row.tenant] = row.limit
	}
	for id, a := range s.accounts {
		if theirs, limited := known[id]; limited || a.tokens < 0 { // a tenant that isn't limited there has no debt there
			a.tokens += learnFactor * (theirs.tokens - a.tokens)
		}
	}
}

// inherit takes over a part of the debts that another node knows, if this node keeps accounts only since a moment ago.
func (s *state) inherit(rows []answerRow, part float64, now time.Duration) {
	if !s.keeping() || now-s.keepingSince >= settleTime {
		return
	}
	for _, row := range rows {
		if s.tenants[row.tenant] == nil {
			continue
		}
		a := s.accounts[row.tenant]
		if a == nil {
			a = &account{at: now}
			s.accounts[row.tenant] = a
		}
		a.tokens, a.demand = min(a.tokens, row.tokens*part), max(a.demand, row.demand*part)
	}
}

// refused records that the receiver doesn't take reports from this node. While the last answer is valid, it is asked again:
// it may not know yet that its own parent has failed.
func (s *state) refused(sent outgoing, now time.Duration) {
	if sent.link == s.parent && s.claimedBy == sent.name && s.parentName != sent.name {
		s.claimedTo = now // it counted nothing
	}
	if sent.link == s.parent && s.parent.fresh(now) {
		sent.link.busy = false
		return
	}
	s.failed(sent, now)
}

// dropPeer lets another region's best node count as cut off until it reports again.
func (s *state) dropPeer(name string) {
	if from := s.senders[name]; from != nil && from.scope == scopePeer {
		delete(s.senders, name)
	}
}

// receiverGone records that a report failed because its receiver's process has ended, which counts nothing any more.
func (s *state) receiverGone(sent outgoing, now time.Duration) {
	if sent.link == s.parent && s.claimedBy == sent.name {
		s.claimedTo = now
	}
	s.failed(sent, now)
}

// failed records that a report was not answered.
func (s *state) failed(sent outgoing, now time.Duration) {
	sent.link.fail()
	if sent.link != s.parent {
		s.dropPeer(sent.name)
	}
	if sent.link == s.parent && len(s.senders) > 0 {
		s.parent.suspect = true // the nodes that report to this one have a part that serves their usual demand
	}
	before := s.avoided[sent.addr]
	if before.failures == 0 { // asked again at once
		s.avoided[sent.addr] = avoidance{now, 1}
		return
	}
	wait := min(minAvoidTime<<min(before.failures-1, 4), maxAvoidTime)
	s.avoided[sent.addr] = avoidance{now + wait, before.failures + 1}
}
