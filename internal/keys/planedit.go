package keys

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
)

const (
	// joinDelay lets the first member add several nodes in one commit before a node adds itself.
	joinDelay = 3 * time.Second
	// joinBatch is how long the first member waits for more nodes that join.
	joinBatch = 500 * time.Millisecond
	// activationGrace holds joins and leaves back while the members activate the previous change.
	activationGrace = 5 * time.Second
)

// edit is one possible change of the row. Its delay keeps members from committing the same change together.
type edit struct {
	name  string
	delay time.Duration
	build func(now time.Time) *Roster // nil: not needed
}

// planEdit commits the first edit that is needed and whose delay has passed.
func (m *machine) planEdit(now time.Time) {
	if !m.row.read {
		return
	}
	for _, e := range m.edits() {
		next := e.build(now)
		if next == nil {
			delete(m.needs, e.name)
			continue
		}
		since, waiting := m.needs[e.name]
		if !waiting {
			m.needs[e.name] = now
			if e.delay > 0 {
				m.needs[e.name] = now.Add(m.jitter(e.delay))
			}
			since = m.needs[e.name]
		}
		if now.Before(since) || m.known != nil && m.row.commit != m.known.Commit {
			continue
		}
		started := m.start(now, call{callKey: callKey{kind: callCommit}, version: next.Version, roster: next, base: m.row.version})
		if started && e.name == "left" {
			m.closing = true
			m.publish(now)
		}
		return
	}
}

// edits lists the possible changes, the most urgent first.
func (m *machine) edits() []edit {
	if m.known == nil {
		return []edit{{"create", m.createDelay(), m.buildCreate}}
	}
	self := m.known.member(m.cfg.Self.ID)
	if self == nil {
		return []edit{{"join", m.selfJoinDelay(), m.buildJoin}}
	}
	behind := time.Duration(m.rank()) * m.cfg.EditDelay
	return []edit{
		{"clear", 0, m.buildClear},
		{"lost", behind, m.buildLost},
		{"suspect", behind, m.buildSuspect},
		{"left", 0, m.buildLeft},
		{"return", 0, m.buildReturn},
		{"leave", 0, m.buildLeave},
		{"join", joinBatch + behind, m.buildJoins},
		{"activated", behind, m.buildActivated},
		{"prune", behind, m.buildPrune},
	}
}

func (m *machine) createDelay() time.Duration {
	members := m.viewMembers()
	if len(members) == 0 || members[0].ID >= m.cfg.Self.ID {
		return 0
	}
	return joinDelay
}

func (m *machine) selfJoinDelay() time.Duration {
	if m.known.activeCount() == 0 {
		return joinBatch
	}
	return joinDelay
}

func (m *machine) buildCreate(time.Time) *Roster {
	if !m.eligible() {
		return nil
	}
	return (&Roster{Service: m.cfg.Self.Service}).withJoined([]cluster.Member{m.cfg.Self})
}

func (m *machine) buildJoin(time.Time) *Roster {
	if !m.eligible() {
		return nil
	}
	return m.known.withJoined([]cluster.Member{m.cfg.Self})
}

func (m *machine) buildClear(time.Time) *Roster {
	if m.known.member(m.cfg.Self.ID).Suspect == 0 {
		return nil
	}
	return m.known.withCleared(m.cfg.Self.ID)
}

// buildLost removes the members whose marks are old enough for the authority of their holders to have ended.
func (m *machine) buildLost(now time.Time) *Roster {
	var soon, late []string
	for _, member := range m.known.Members {
		mark, marked := m.marks[member.ID]
		if !marked || m.isSelf(member.ID) {
			continue
		}
		if now.Sub(mark.at) > rateMargin(m.cfg.G) {
			soon = append(soon, member.ID)
		}
		if now.Sub(mark.at) > rateMargin(m.cfg.Gmax+m.cfg.G) {
			late = append(late, member.ID)
		}
	}
	if len(soon) != 0 && m.known.removableSoon(soon) {
		return m.known.withLost(soon)
	}
	if len(late) != 0 {
		return m.known.withLost(late)
	}
	return nil
}

func (m *machine) buildSuspect(now time.Time) *Roster {
	var silent []string
	for _, member := range m.known.Members {
		p := m.peer(member.ID)
		if m.isSelf(member.ID) || member.Suspect != 0 || p.silentSince.IsZero() {
			continue
		}
		if p.failures >= minFailures && now.Sub(p.silentSince) >= m.cfg.SuspectAfter {
			silent = append(silent, member.ID)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	return m.known.withSuspects(silent)
}

// settled reports whether a change of the member set need not wait for the activation of the previous one.
func (m *machine) settled(now time.Time) bool {
	if m.installed == nil || m.installed.Version != m.known.Version {
		return false
	}
	return len(m.known.Quorums) == 1 || now.Sub(m.installAt) > activationGrace
}

func (m *machine) buildLeave(now time.Time) *Roster {
	if m.known.member(m.cfg.Self.ID).State == StateLeaving || !m.shouldLeave() || !m.settled(now) {
		return nil
	}
	return m.known.withLeaving(m.cfg.Self.ID)
}

// buildLeft removes this leaving member once every active member holds the records of its keys.
func (m *machine) buildLeft(time.Time) *Roster {
	if m.known.member(m.cfg.Self.ID).State != StateLeaving {
		return nil
	}
	if m.known.activeCount() == 0 {
		if !m.wantLeave {
			return nil
		}
		return m.leftAlone()
	}
	if !m.allActivated() {
		return nil
	}
	return m.known.withLeft(m.cfg.Self.ID)
}

// buildReturn makes this member active again when the members that it left the keys to are gone. It keeps the records
// in the roster when the home region moved and its nodes were lost during the handover.
func (m *machine) buildReturn(time.Time) *Roster {
	self := m.known.member(m.cfg.Self.ID)
	if self.State != StateLeaving || m.wantLeave || m.known.activeCount() != 0 {
		return nil
	}
	return m.known.withReturned(self.ID)
}

// leftAlone removes the last member; without records nothing is lost.
func (m *machine) leftAlone() *Roster {
	for _, node := range m.viewMembers() {
		if !m.isSelf(node.ID) {
			return nil // it can join and take the records
		}
	}
	if len(m.known.Members) > 1 {
		return nil
	}
	if m.records.count.Load() == 0 && len(m.ownAttempts()) == 0 {
		return m.known.withLeft(m.cfg.Self.ID)
	}
	next := m.known.withLost([]string{m.cfg.Self.ID})
	next.Lost[len(next.Lost)-1].Alone = true
	return next
}

// allActivated reports whether every member has activated the newest roster.
func (m *machine) allActivated() bool {
	if m.installed == nil || m.installed.Version != m.known.Version {
		return false
	}
	for _, member := range m.known.Members {
		if m.isSelf(member.ID) {
			if member.State == StateActive && !m.activated {
				return false
			}
			continue
		}
		if m.peer(member.ID).version < m.known.Version {
			return false
		}
	}
	return true
}

// buildJoins adds the nodes of the home region that answered and want to join.
func (m *machine) buildJoins(now time.Time) *Roster {
	if !m.settled(now) {
		return nil
	}
	var joining []cluster.Member
	for _, node := range m.viewMembers() {
		if m.known.member(node.ID) == nil && m.peer(node.ID).eligible {
			joining = append(joining, node)
		}
	}
	if len(joining) == 0 {
		return nil
	}
	return m.known.withJoined(joining)
}

func (m *machine) buildActivated(time.Time) *Roster {
	if !m.awaitsActivation() || !m.allActivated() {
		return nil
	}
	return m.known.withActivated()
}

// buildPrune drops lost members after every record from their time has expired.
func (m *machine) buildPrune(now time.Time) *Roster {
	keep := m.keep()
	expired := map[LostMember]bool{}
	for lost, at := range m.lostSeen {
		if now.Sub(at) > rateMargin(keep) {
			expired[lost] = true
		}
	}
	if len(expired) == 0 {
		return nil
	}
	return m.known.withoutLost(expired)
}

// keep is how long records are kept after their grant.
func (m *machine) keep() time.Duration { return keepTime(m.cfg) }

func keepTime(cfg *Config) time.Duration {
	return KeepTime(resendWindow(cfg.View, cfg.Self.Service), cfg.GrantLife)
}

// KeepTime is how long owners and runners keep a record after its grant, on clocks whose rates differ by up to 10%.
func KeepTime(resendWindow, grantLife time.Duration) time.Duration {
	return rateMargin(resendWindow + grantLife)
}
