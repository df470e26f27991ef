package keys

import (
	"math/rand/v2"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
)

// machine is the roster state machine of one member. It does no I/O: tick returns the calls to make, finish takes their
// results, and the handle methods answer members. One goroutine calls its methods.
type machine struct {
	cfg     *Config
	rng     *rand.Rand
	gate    *gate
	records *store

	known      *Roster // newest row seen; never changed in place
	knownValue []byte  // known, encoded
	row        rowSeen
	installed  *Roster // mirrors gate.roster
	wantRow    bool    // the table is known to hold a newer row
	collected  map[string]bool
	activated  bool
	authority  authority
	peers      map[string]*peer
	marks      map[string]seenMark // suspect members
	lostSeen   map[LostMember]time.Time
	needs      map[string]time.Time // since when an edit has been needed
	busy       map[callKey]bool
	next       map[callKey]time.Time // earliest time of the next call
	wantLeave  bool
	// wasInvolved is set once this node was a member or may have asked to become one.
	wasInvolved bool
	closing     bool // the removal of this member was sent
	pending     []call
	peerCalls   int
	installAt   time.Time
	conflicts   int
}

// rowSeen is what the last successful read or commit of the row showed.
type rowSeen struct {
	read    bool
	version uint64 // table version; 0: the row does not exist
	commit  uint64
	at      time.Time
}

// peer is what this member observed of another node.
type peer struct {
	silentSince time.Time // zero: it answered last
	failures    int
	version     uint64 // roster version it reported as activated
	eligible    bool
	curious     bool // it may know a newer roster
}

// seenMark is a suspect mark and when this member first saw it.
type seenMark struct {
	commit uint64
	at     time.Time
}

func newMachine(cfg *Config, g *gate, records *store) *machine {
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &machine{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), gate: g, records: records,
		collected: map[string]bool{}, peers: map[string]*peer{}, marks: map[string]seenMark{},
		lostSeen: map[LostMember]time.Time{}, needs: map[string]time.Time{},
		busy: map[callKey]bool{}, next: map[callKey]time.Time{},
		authority: newAuthority(),
	}
}

// jitter returns a random duration from half of d up to one and a half.
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
	m.publish(now)
	if !m.involved() {
		return nil
	}
	m.wasInvolved = true
	m.planRead(now)
	m.planPromises(now)
	m.planCollects(now)
	m.planPings(now)
	m.planEdit(now)
	return m.pending
}

// involved reports whether this node is a member, should become one, or has to learn whether it is one to leave.
func (m *machine) involved() bool {
	return m.eligible() || m.wantLeave || m.known != nil && m.known.member(m.cfg.Self.ID) != nil
}

// eligible reports whether this node belongs in the roster: it is in the home region and stays.
func (m *machine) eligible() bool {
	return !m.wantLeave && m.inHomeRegion(m.cfg.Self.Region)
}

func (m *machine) inHomeRegion(region string) bool {
	entry := m.cfg.View.Load().Service(m.cfg.Self.Service)
	return entry != nil && entry.HomeRegion != "" && entry.HomeRegion == region
}

// shouldLeave reports whether this member must hand over: the node stops, or the home region moved and has members.
func (m *machine) shouldLeave() bool {
	if m.wantLeave {
		return true
	}
	if m.inHomeRegion(m.cfg.Self.Region) {
		return false
	}
	for _, member := range m.known.Members {
		if member.State == StateActive && m.inHomeRegion(member.Region) {
			return true
		}
	}
	return false
}

func (m *machine) isSelf(id string) bool { return id == m.cfg.Self.ID }

// out reports whether the table showed that this node is no member, with no commit of its own in flight.
func (m *machine) out() bool {
	if !m.wasInvolved {
		return true // a node outside the home region never reads the row
	}
	if !m.row.read || m.wantRow || m.busy[callKey{kind: callCommit}] {
		return false
	}
	return m.known == nil || m.known.member(m.cfg.Self.ID) == nil
}

// observe takes a committed row, from the table or from a member.
func (m *machine) observe(now time.Time, roster *Roster) {
	if m.known != nil && roster.Commit <= m.known.Commit {
		return
	}
	m.known = roster
	m.knownValue = roster.encode()
	m.wantRow = false
	m.noteMarks(now)
	m.noteLost(now)
	m.tryInstall(now)
}

func (m *machine) noteMarks(now time.Time) {
	marks := map[string]seenMark{}
	for _, member := range m.known.Members {
		if member.Suspect == 0 {
			continue
		}
		mark, seen := m.marks[member.ID]
		if !seen || mark.commit != member.Suspect {
			mark = seenMark{commit: member.Suspect, at: now}
		}
		marks[member.ID] = mark
	}
	m.marks = marks
}

func (m *machine) noteLost(now time.Time) {
	seen := map[LostMember]time.Time{}
	for _, lost := range m.known.Lost {
		at, known := m.lostSeen[lost]
		if !known {
			at = now
		}
		seen[lost] = at
	}
	m.lostSeen = seen
}

// tryInstall installs the newest known roster once no promise forbids it.
func (m *machine) tryInstall(now time.Time) {
	if m.known == nil || m.installed == m.known {
		return
	}
	newVersion := m.installed == nil || m.known.Version != m.installed.Version
	if newVersion && m.authority.promisedToRemoved(now, m.known) {
		return
	}
	m.gate.mu.Lock()
	if newVersion {
		m.gate.install(m.known)
	}
	m.gate.roster = m.known
	m.gate.mu.Unlock()
	m.installed = m.known
	if newVersion {
		m.activated = false
		m.collected = map[string]bool{}
		m.installAt = now
		m.authority.installed(m.known.Version)
	}
	if self := m.known.member(m.cfg.Self.ID); self != nil && self.State == StateActive {
		m.closing = false // it joined again
	}
	m.publish(now)
}

// tryActivate activates the installed version once every other member has answered Collect.
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
	m.gate.earlier = nil
	m.gate.mu.Unlock()
}

// publish gives claims the present end of authority.
func (m *machine) publish(now time.Time) {
	until := time.Time{}
	if m.installed != nil && !m.closing {
		until = m.authority.until(m.cfg, m.installed)
	}
	m.gate.mu.Lock()
	m.gate.until = until
	m.gate.mu.Unlock()
}

// confirm takes the table's word that its row was at that commit at asOf.
func (m *machine) confirm(now time.Time, commit uint64, asOf time.Time) {
	if asOf.After(now) {
		asOf = now
	}
	if m.known == nil || commit > m.known.Commit {
		m.wantRow = true
		return
	}
	if commit < m.known.Commit {
		return
	}
	self := m.known.member(m.cfg.Self.ID)
	if self == nil || self.Suspect != 0 {
		return
	}
	m.authority.confirm(m.known.Version, asOf)
	m.publish(now)
}

// viewMembers are the service's members in the home region that control knows and that stay.
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

// rank is this member's place among those that may edit the row; members that are marked are passed over.
func (m *machine) rank() int {
	place := 0
	for _, member := range m.known.Members {
		if m.isSelf(member.ID) {
			return place
		}
		if member.State == StateActive && member.Suspect == 0 {
			place++
		}
	}
	return place
}
