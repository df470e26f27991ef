package keys

import (
	"math/rand/v2"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
)

// machine is the roster state machine of one node. It does no I/O: tick returns the calls to make, finish processes
// their results, and the handle methods answer requests of other members. It is not safe for concurrent use.
type machine struct {
	cfg     *Config
	rng     *rand.Rand
	gate    *gate
	records *store

	latest         *Roster // newest roster seen; never modified in place
	latestValue    []byte  // latest, encoded
	row            observedRow
	installed      *Roster         // same as gate.roster
	readNeeded     bool            // the table is known or presumed to hold a newer row
	collected      map[string]bool // by member ID: it returned its records at the installed version
	activated      bool            // installed is activated
	authority      authority
	peers          map[string]*peer
	suspectMarks   map[string]suspectMark // by member ID: suspect members of latest
	lostSeenAt     map[LostMember]time.Time
	editDue        map[string]time.Time // by name of a needed edit: earliest time to commit it
	inFlight       map[callKey]bool
	notBefore      map[callKey]time.Time // earliest time of the next call
	leaveRequested bool
	// everParticipated is set at the first tick at which this node participates; from then on it may be a member.
	everParticipated bool
	removalSent      bool   // the commit that removes this member was started
	pending          []call // calls planned in this tick
	peerCalls        int    // calls to members in flight
	installedAt      time.Time
	commitFailures   int // failed commits in a row, up to 6
}

// observedRow is the state of the row at the last successful read or commit.
type observedRow struct {
	read    bool      // false before the first read and after a commit whose result is unknown
	version uint64    // table version; 0: the row does not exist
	commit  uint64    // commit number of the roster
	at      time.Time // start of the read or commit
}

// peer is what this node has observed of another node.
type peer struct {
	silentSince      time.Time // first failed call since the last answer; zero: the last call succeeded
	failures         int       // failed calls since the last answer
	activatedVersion uint64    // newest roster version that it reported as activated
	eligible         bool
	mayKnowNewer     bool // it may know a newer roster
}

// suspectMark is the suspect mark of a member.
type suspectMark struct {
	commit uint64    // commit that set the mark
	at     time.Time // when this node first saw it
}

func newMachine(cfg *Config, g *gate, records *store) *machine {
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), gate: g, records: records,
		collected: map[string]bool{}, peers: map[string]*peer{}, suspectMarks: map[string]suspectMark{},
		lostSeenAt: map[LostMember]time.Time{}, editDue: map[string]time.Time{},
		inFlight: map[callKey]bool{}, notBefore: map[callKey]time.Time{},
		authority: newAuthority(),
	}
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (m *machine) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(m.rng.Int64N(int64(d)+1))
}

func (m *machine) peer(id string) *peer {
	p := m.peers[id]
	if p == nil {
		p = &peer{}
		m.peers[id] = p
	}
	return p
}

// tick advances the machine and returns the calls to make now.
func (m *machine) tick(now time.Time) []call {
	m.pending = nil
	m.tryInstall(now)
	m.tryActivate()
	m.publishAuthority(now)
	if !m.participates() {
		return nil
	}
	m.everParticipated = true
	m.planRead(now)
	m.planPromises(now)
	m.planCollects(now)
	m.planPings(now)
	m.planEdit(now)
	return m.pending
}

// participates reports whether this node is a member, should become one, or has to find out whether it is one in order
// to leave.
func (m *machine) participates() bool {
	return m.eligible() || m.leaveRequested || m.latest != nil && m.latest.member(m.cfg.Self.ID) != nil
}

// eligible reports whether this node should be a member: it is in the home region and was not asked to leave.
func (m *machine) eligible() bool {
	return !m.leaveRequested && m.inHomeRegion(m.cfg.Self.Region)
}

func (m *machine) inHomeRegion(region string) bool {
	entry := m.cfg.View.Load().Service(m.cfg.Self.Service)
	return entry != nil && entry.HomeRegion != "" && entry.HomeRegion == region
}

// shouldLeave reports whether this member must hand over its records: it was asked to leave, or the home region changed
// and the new one has active members.
func (m *machine) shouldLeave() bool {
	if m.leaveRequested {
		return true
	}
	if m.inHomeRegion(m.cfg.Self.Region) {
		return false
	}
	for _, member := range m.latest.Members {
		if member.State == StateActive && m.inHomeRegion(member.Region) {
			return true
		}
	}
	return false
}

func (m *machine) isSelf(id string) bool { return id == m.cfg.Self.ID }

// hasLeft reports whether this node is known not to be a member: the table showed it with no commit of this node in
// flight, or the node never participated.
func (m *machine) hasLeft() bool {
	if !m.everParticipated {
		return true // a node outside the home region never reads the row
	}
	if !m.row.read || m.readNeeded || m.inFlight[callKey{kind: callCommit}] {
		return false
	}
	return m.latest == nil || m.latest.member(m.cfg.Self.ID) == nil
}

// observe processes a committed roster that was received from the table or from a member.
func (m *machine) observe(now time.Time, roster *Roster) {
	if m.latest != nil && roster.Commit <= m.latest.Commit {
		return
	}
	m.latest = roster
	m.latestValue = roster.encode()
	m.readNeeded = false
	m.recordSuspects(now)
	m.recordLost(now)
	m.tryInstall(now)
}

// recordSuspects updates suspectMarks from the latest roster and keeps the time at which each mark was first seen.
func (m *machine) recordSuspects(now time.Time) {
	marks := map[string]suspectMark{}
	for _, member := range m.latest.Members {
		if member.Suspect == 0 {
			continue
		}
		mark, seen := m.suspectMarks[member.ID]
		if !seen || mark.commit != member.Suspect {
			mark = suspectMark{commit: member.Suspect, at: now}
		}
		marks[member.ID] = mark
	}
	m.suspectMarks = marks
}

// recordLost updates lostSeenAt from the latest roster and keeps the time at which each entry was first seen.
func (m *machine) recordLost(now time.Time) {
	seen := map[LostMember]time.Time{}
	for _, lost := range m.latest.Lost {
		at, known := m.lostSeenAt[lost]
		if !known {
			at = now
		}
		seen[lost] = at
	}
	m.lostSeenAt = seen
}

// tryInstall installs the latest roster unless a promise to a member that it lists as lost is still in force.
func (m *machine) tryInstall(now time.Time) {
	if m.latest == nil || m.installed == m.latest {
		return
	}
	newVersion := m.installed == nil || m.latest.Version != m.installed.Version
	if newVersion && m.authority.hasPromiseToLost(now, m.latest) {
		return
	}
	m.gate.mu.Lock()
	if newVersion {
		m.gate.install(m.latest)
	}
	m.gate.roster = m.latest
	m.gate.mu.Unlock()
	m.installed = m.latest
	if newVersion {
		m.activated = false
		m.collected = map[string]bool{}
		m.installedAt = now
		m.authority.onInstall(m.latest.Version)
	}
	if self := m.latest.member(m.cfg.Self.ID); self != nil && self.State == StateActive {
		m.removalSent = false // this node joined again
	}
	m.publishAuthority(now)
}

// tryActivate activates the installed version once every other member has returned its records by Collect.
func (m *machine) tryActivate() {
	if m.installed == nil || m.activated {
		return
	}
	self := m.installed.member(m.cfg.Self.ID)
	if self == nil {
		return
	}
	for _, member := range m.installed.Members {
		if !m.isSelf(member.ID) && !m.collected[member.ID] {
			return
		}
	}
	for _, own := range m.ownAttempts() {
		m.records.merge(m.cfg.Clock.Now(), own)
	}
	m.activated = true
	m.gate.mu.Lock()
	m.gate.activated = true
	m.gate.previousRosters = nil
	m.gate.mu.Unlock()
}

// publishAuthority passes the current end of authority to the gate.
func (m *machine) publishAuthority(now time.Time) {
	until := time.Time{}
	if m.installed != nil && !m.removalSent {
		until = m.authority.validUntil(m.cfg, m.installed)
	}
	m.gate.mu.Lock()
	m.gate.expiry = until
	m.gate.mu.Unlock()
}

// confirm processes a confirmation that the row in the table had the commit number at asOf.
func (m *machine) confirm(now time.Time, commit uint64, asOf time.Time) {
	if asOf.After(now) {
		asOf = now
	}
	if m.latest == nil || commit > m.latest.Commit {
		m.readNeeded = true
		return
	}
	if commit < m.latest.Commit {
		return
	}
	self := m.latest.member(m.cfg.Self.ID)
	if self == nil || self.Suspect != 0 {
		return
	}
	m.authority.confirm(m.latest.Version, asOf)
	m.publishAuthority(now)
}

// viewMembers returns the service's nodes in the home region that the view lists and that are not draining.
func (m *machine) viewMembers() []cluster.Member {
	var found []cluster.Member
	for _, member := range m.cfg.View.Load().Members[m.cfg.Self.Service] {
		if !member.Draining && m.inHomeRegion(member.Region) {
			found = append(found, member)
		}
	}
	return found
}

func (m *machine) inView(id string) bool {
	for _, member := range m.cfg.View.Load().Members[m.cfg.Self.Service] {
		if member.ID == id {
			return true
		}
	}
	return false
}

// editRank returns the number of active members that sort before this member and are not marked as suspect. Members
// with a higher rank wait longer before they edit the row.
func (m *machine) editRank() int {
	rank := 0
	for _, member := range m.latest.Members {
		if m.isSelf(member.ID) {
			return rank
		}
		if member.State == StateActive && member.Suspect == 0 {
			rank++
		}
	}
	return rank
}
