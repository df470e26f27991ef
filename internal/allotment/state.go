package allotment

import (
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
