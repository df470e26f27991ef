package allotment

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/membership"
	"github.com/acacialock/acacialock/internal/servicelist"
)

const (
	// accountInterval is the time between two computations of the limits.
	accountInterval = 100 * time.Millisecond
	// settleTime is the time after this node began to keep accounts in which new accounts are empty, since it doesn't know
	// what was spent before.
	settleTime = 5 * time.Second
	// suspendTime is the time without a step after which the process counts as suspended. It takes one at least each
	// calmInterval.
	suspendTime = 2 * time.Second
	// minPartNodes is the part of all nodes from which those that are cut off together get extraRate and extraBurst of each
	// tenant beyond their part, in requests per second and requests. They even out chance for small tenants; at most four
	// such parts exist, which stay within the 20 requests by which the allotment may be exceeded in 5 s.
	minPartNodes = 0.2
	extraRate    = 0.5
	extraBurst   = 2.0
	// smallRate is the rate in requests per second below which chance matters.
	smallRate = 5.0
	// slackBurst is the number of requests that are saved up beyond the burst, so that chance doesn't let usual traffic of a
	// small tenant be refused.
	slackBurst = 7.0
	// pushFactor is the part of the fraction known to the nodes below which a lower one is sent to them at once, and
	// pushInterval the least time between two such messages.
	pushFactor   = 0.7
	pushInterval = 200 * time.Millisecond
	// minPushed is the number of requests per second that a lower fraction must refuse to be sent at once. Small tenants are
	// limited by chance often, and each time all nodes would be told.
	minPushed = 6.0
	// learnFactor is the part of the difference to the tokens that another region's best node knows that is made up with each
	// answer.
	learnFactor = 0.25
	// maxAnswerRows bounds the limited tenants in an answer; those with the lowest fraction go first.
	maxAnswerRows = 1000
	// minAvoidTime is the time for which a node isn't asked that did not answer, and maxAvoidTime the one after repeated
	// failures.
	minAvoidTime = 2 * time.Second
	maxAvoidTime = 15 * time.Second
)

// sender is a node that reports to this one.
type sender struct {
	boot    uint64
	number  uint64 // of the last report
	counted uint64 // rowsNumber of the last rows that were counted
	nodes   int
	scope   scope
	validTo time.Duration
}

// avoidance is a node that did not answer.
type avoidance struct {
	until    time.Duration
	failures int
}

// state decides for one node which requests the allotments admit. All times are those of a clock that counts on while the
// machine is suspended. It is not safe for concurrent use and does no I/O.
//
// The counts of all nodes meet in the accounts of the best node of each region. If this node has a parent that answers, it
// passes on its counts and obeys the limits of the answers. Otherwise it keeps accounts itself, with the part of the
// allotments that corresponds to the part of all nodes that report to it.
type state struct {
	name   string
	boot   uint64
	random func() float64 // in [0, 1)

	tenants   map[tenantID]*servicelist.Tenant // those with a rate
	hierarchy membership.Hierarchy
	size      int // number of nodes in the system, this one included

	gates   map[tenantID]*gate
	senders map[string]*sender
	avoided map[string]avoidance // by peer address

	parent     *link
	scope      scope  // of the parent's confirmed link
	claimedBy  string // node that may count this one, until claimedTo
	claimedTo  time.Duration
	parentName string           // of the node that answered last
	peers      map[string]*link // to other regions' best nodes, by their region
	limits     map[tenantID]limit
	hotTo      time.Duration // time until which this node counts as hot

	accounts     map[tenantID]*account // nil while the parent keeps them
	keepingSince time.Duration
	// followingSince is the time at which this node last ceased to keep accounts. For the settleTime, it reports often: its
	// parent may not know the demand either.
	followingSince time.Duration
	computedAt     time.Duration
	computedPart   float64 // part of the allotments at the last computation
	sweptAt        time.Duration
	settledAt      time.Duration
	wasAlone       bool

	addrs    map[string]string    // peer addresses by name
	pushed   map[tenantID]float64 // fractions that the senders know
	pushDue  bool
	pushedAt time.Duration

	events    []limitChange
	changes   int64 // of the node that keeps this node's accounts
	fallbacks int64 // times that this node began to keep accounts without others
}

func newState(name string, boot uint64, random func() float64) *state {
	return &state{
		name: name, boot: boot, random: random,
		tenants: map[tenantID]*servicelist.Tenant{}, size: 1,
		gates: map[tenantID]*gate{}, senders: map[string]*sender{}, avoided: map[string]avoidance{},
		parent: newLink(), peers: map[string]*link{}, limits: map[tenantID]limit{}, pushed: map[tenantID]float64{},
	}
}

// memberName returns the name of the node of a member, which stays the same over restarts.
func memberName(id string) string {
	name, _, _ := strings.Cut(id, "@")
	return name
}

// configure sets the tenants and the members.
func (s *state) configure(tenants map[tenantID]*servicelist.Tenant, members []cluster.Member, self cluster.Member) {
	s.tenants, s.hierarchy = tenants, membership.NewHierarchy(members, self)
	s.addrs = make(map[string]string, len(members))
	names := map[string]bool{s.name: true}
	for _, member := range members {
		s.addrs[memberName(member.ID)] = member.PeerAddr
		names[memberName(member.ID)] = true // the node of a draining target still serves callers
	}
	s.size = len(names)
	for tenant := range s.gates {
		if tenants[tenant] == nil {
			delete(s.gates, tenant)
		}
	}
	for tenant := range s.accounts {
		if tenants[tenant] == nil {
			delete(s.accounts, tenant)
		}
	}
}

// admit takes a request of the tenant at this node.
func (s *state) admit(id tenantID, tenant *servicelist.Tenant, now time.Duration) (retryAfter time.Duration, ok bool) {
	s.settle(now)
	g := s.gates[id]
	if g == nil {
		tokens := burst(tenant, s.part())
		if s.alone() {
			tokens = 1 // all nodes of the system may have restarted at once
		}
		g = newGate(tenant, tokens, s.random(), now)
		s.gates[id] = g
	}
	var limited *limit
	if found, ok := s.limits[id]; ok && !s.alone() {
		limited = &found
		s.hotTo = now + time.Second
	}
	part := s.part()
	if ownPart := s.ownPart(); !s.keeping() && s.parent.overdue(now) && s.parent.excessive(id, tenant.Rate*ownPart, now) {
		part = ownPart // the node is likely to be cut off, and the demand of the tenant has risen
	}
	retryAfter, ok = g.admit(tenant, part, limited, now)
	t := tally{requested: 1}
	switch {
	case ok:
		t.admitted = 1
	case g.refused == 1:
		s.record(limitChange{tenant: tenant.Name, limited: true, fallback: s.alone(), retryAfter: retryAfter})
	}
	s.count(id, t, scopeGroup, now)
	return retryAfter, ok
}

// giveBack returns an admitted request of the tenant. It returns false if there is none to return.
func (s *state) giveBack(id tenantID, now time.Duration) bool {
	s.settle(now)
	g := s.gates[id]
	if g == nil || !g.giveBack(s.part()) {
		return false
	}
	s.count(id, tally{admitted: -1}, scopeGroup, now)
	return true
}

// limitChange is the moment at which a tenant starts or stops being refused at this node.
type limitChange struct {
	tenant     string
	limited    bool
	fallback   bool          // this node hears from no other one
	retryAfter time.Duration // of the first refusal
	refused    int64         // requests while it was limited
}

// maxEvents bounds the limitChanges between two calls of takeEvents.
const maxEvents = 20

func (s *state) record(event limitChange) {
	if len(s.events) < maxEvents {
		s.events = append(s.events, event)
	}
}

// takeEvents returns the changes since the last call.
func (s *state) takeEvents() []limitChange {
	taken := s.events
	s.events = nil
	return taken
}

// limitedTenants returns the number of tenants that this node refused lately.
func (s *state) limitedTenants() (sum int64) {
	for _, g := range s.gates {
		if g.refused > 0 {
			sum++
		}
	}
	return sum
}

// keeping reports whether this node keeps accounts.
func (s *state) keeping() bool { return s.accounts != nil }

// alone reports whether this node keeps accounts for no other node. Its gates then hold its part exactly.
func (s *state) alone() bool {
	return s.keeping() && len(s.senders) == 0
}

// part returns the part of the allotments that the nodes may use that this node knows to count together.
func (s *state) part() float64 {
	if !s.keeping() {
		return 1
	}
	return min(1, float64(s.nodes()+s.peerNodes())/float64(s.size))
}

// ownPart returns the part of all nodes whose counts this node reports.
func (s *state) ownPart() float64 { return min(1, float64(s.nodes())/float64(s.size)) }

// nodes returns the number of nodes whose counts this node reports, and peerNodes that of the other regions' reports.
func (s *state) nodes() int {
	sum := 1
	for _, from := range s.senders {
		if from.scope != scopePeer {
			sum += from.nodes
		}
	}
	return sum
}

func (s *state) peerNodes() (sum int) {
	for _, from := range s.senders {
		if from.scope == scopePeer {
			sum += from.nodes
		}
	}
	return sum
}

// allotment returns the rate and the burst of the tenant that the accounts of this node may admit.
func (s *state) allotment(tenant *servicelist.Tenant, part float64) (rate, saved float64) {
	rate, saved = tenant.Rate*part, burst(tenant, part)+slackBurst*part
	if part < 1 && part >= minPartNodes && rate < smallRate {
		rate, saved = min(tenant.Rate, rate+extraRate), min(burst(tenant, 1)+slackBurst, saved+extraBurst)
	}
	return rate, saved
}

// settle adapts the state to the time: senders and the parent may have fallen silent.
func (s *state) settle(now time.Duration) {
	if now-s.settledAt >= suspendTime && s.keeping() {
		s.accounts = nil // others have kept the accounts since
		s.limits = map[tenantID]limit{}
	}
	s.settledAt = now
	for name, from := range s.senders {
		if now >= from.validTo {
			delete(s.senders, name)
		}
	}
	if len(s.senders) > 0 && s.parent.urgent && s.parent.overdue(now) {
		s.parent.suspect = true
	}
	for _, peer := range s.peers {
		if peer.urgent && peer.overdue(now) {
			s.dropPeer(peer.to)
		}
	}
	switch fresh := s.parent.fresh(now); {
	case fresh && s.keeping():
		s.accounts, s.limits = nil, map[tenantID]limit{}
		s.peers = map[string]*link{}
		s.followingSince = now
		s.changes++
	case !fresh && !s.keeping():
		s.beginKeeping(now)
	}
	if !s.parent.counted(now) && !s.parent.busy {
		s.parent.forget(now)
	}
	if alone := s.alone(); alone != s.wasAlone {
		if s.wasAlone = alone; alone {
			s.enterAlone(now)
		}
	}
	if s.keeping() {
		s.compute(now)
	}
}

// beginKeeping begins to keep accounts. They start with the debts that the former keeper stated.
func (s *state) beginKeeping(now time.Duration) {
	s.accounts = map[tenantID]*account{}
	for id, limited := range s.limits {
		if s.tenants[id] != nil {
			s.accounts[id] = &account{tokens: min(0, limited.tokens) * s.part(), demand: limited.demand * s.part(), at: now}
		}
	}
	s.countUnacked(now)
	s.limits = map[tenantID]limit{}
	s.keepingSince, s.computedAt, s.computedPart = now, now-accountInterval, s.part()
	s.changes++
}

// countUnacked counts the requests that the former keeper of the accounts may not know of, beyond what the part of these nodes
// has brought since.
func (s *state) countUnacked(now time.Duration) {
	if !s.parent.acked {
		return
	}
	elapsed := min(now-s.parent.ackedAt, calmLifetime).Seconds()
	for id, t := range s.parent.uncounted() {
		tenant := s.tenants[id]
		if tenant == nil {
			continue
		}
		a := s.accounts[id]
		if a == nil {
			a = &account{at: now}
			s.accounts[id] = a
		}
		a.count(t)
		a.tokens = min(0, a.tokens+tenant.Rate*s.part()*elapsed)
	}
}

// enterAlone lets the gates begin with one request of each tenant at most, or with the tenant's debt.
func (s *state) enterAlone(now time.Duration) {
	s.fallbacks++
	for id, g := range s.gates {
		g.refill(s.part(), now)
		g.tokens = min(g.tokens, 1)
		if a := s.accounts[id]; a != nil {
			g.tokens = min(g.tokens, a.tokens)
		}
	}
}

// compute updates the accounts and the limits that follow from them.
func (s *state) compute(now time.Duration) {
	if now-s.computedAt < accountInterval {
		return
	}
	s.computedAt = now
	part := s.part()
	kept := min(1, part/s.computedPart) // the nodes that fell silent may use their part of the tokens
	s.computedPart = part
	clear(s.limits)
	for id, a := range s.accounts {
		if a.tokens > 0 {
			a.tokens *= kept
		}
		rate, saved := s.allotment(s.tenants[id], part)
		a.advance(rate, saved, now)
		if fraction := a.fraction(rate); fraction < 1 {
			s.limits[id] = limit{fraction, a.tokens, a.demand}
		}
		if a.idle(saved) {
			delete(s.accounts, id)
		}
	}
	s.observeLimits()
}

// count records counts of this node or of a sender with this scope.
func (s *state) count(id tenantID, t tally, from scope, now time.Duration) {
	tenant := s.tenants[id]
	if tenant == nil || t == (tally{}) {
		return // the list differs between nodes for a moment
	}
	usual := tenant.Rate * s.ownPart()
	if s.parent.counted(now) { // also after a failure, until the parent leaves this node its part
		s.parent.add(id, t, usual, now)
	}
	if !s.keeping() {
		return
	}
	rate, saved := s.allotment(tenant, s.part())
	a := s.accounts[id]
	if a == nil {
		a = &account{at: now}
		if now-s.keepingSince >= settleTime {
			a.tokens = saved
		}
		s.accounts[id] = a
	}
	a.advance(rate, saved, now)
	a.count(t)
	if from == scopePeer {
		return
	}
	for _, peer := range s.peers {
		peer.add(id, t, usual, now)
	}
}

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

// sweep drops what is not needed any more.
func (s *state) sweep(now time.Duration) {
	if now-s.sweptAt < time.Second {
		return
	}
	s.sweptAt = now
	for id, g := range s.gates {
		if g.refused > 0 && now-g.refusedAt >= refusalPause {
			s.record(limitChange{tenant: g.tenant.Name, refused: g.refused})
			g.refused = 0
		}
		if now-g.lastAt >= gateIdleTime {
			delete(s.gates, id)
		}
	}
	for addr, avoidance := range s.avoided {
		if now-avoidance.until > maxAvoidTime {
			delete(s.avoided, addr)
		}
	}
}

// idle reports whether there is nothing to count.
func (s *state) idle() bool { return len(s.tenants) == 0 }

// urgent reports whether a report is due before the time that poll returned.
func (s *state) urgent() bool {
	if s.pushDue || s.parent.urgent && !s.parent.busy {
		return true
	}
	for _, peer := range s.peers {
		if peer.urgent && !peer.busy {
			return true
		}
	}
	return false
}
