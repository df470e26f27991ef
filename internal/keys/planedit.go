package keys

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
)

const (
	// joinDelay is the delay before a node adds itself. It gives the first member time to add several nodes in one
	// commit.
	joinDelay = 3 * time.Second
	// joinBatchDelay is how long the first member waits for further nodes before it adds those that want to join.
	joinBatchDelay = 500 * time.Millisecond
	// activationGrace is the maximum time for which joins and leaves wait until the members have activated the previous
	// change.
	activationGrace = 5 * time.Second
)

// edit is a possible change of the row. Members use different delays so that they don't commit the same change at once.
type edit struct {
	name  string // key of machine.editDue
	delay time.Duration
	build func(now time.Time) *Roster // returns nil when the edit is not needed
}

// planEdit plans the commit of the first edit that is needed and whose delay has passed.
func (m *machine) planEdit(now time.Time) {
	if !m.row.read {
		return
	}
	for _, e := range m.edits() {
		next := e.build(now)
		if next == nil {
			delete(m.editDue, e.name)
			continue
		}
		due, scheduled := m.editDue[e.name]
		if !scheduled {
			m.editDue[e.name] = now
			if e.delay > 0 {
				m.editDue[e.name] = now.Add(m.jitter(e.delay))
			}
			due = m.editDue[e.name]
		}
		if now.Before(due) || m.latest != nil && m.row.commit != m.latest.Commit {
			continue
		}
		started := m.startCall(now, call{callKey: callKey{kind: callCommit}, version: next.Version, roster: next, baseVersion: m.row.version})
		if started && e.name == "left" {
			m.removalSent = true
			m.publishAuthority(now)
		}
		return
	}
}

// edits returns the possible edits, the most urgent first.
func (m *machine) edits() []edit {
	if m.latest == nil {
		return []edit{{"create", m.createDelay(), m.buildCreate}}
	}
	self := m.latest.member(m.cfg.Self.ID)
	if self == nil {
		return []edit{{"join", m.selfJoinDelay(), m.buildJoin}}
	}
	rankDelay := time.Duration(m.editRank()) * m.cfg.EditDelay
	return []edit{
		{"clear", 0, m.buildClear},
		{"lost", rankDelay, m.buildLost},
		{"suspect", rankDelay, m.buildSuspect},
		{"left", 0, m.buildLeft},
		{"return", 0, m.buildReturn},
		{"leave", 0, m.buildLeave},
		{"join", joinBatchDelay + rankDelay, m.buildJoins},
		{"activated", rankDelay, m.buildActivated},
		{"prune", rankDelay, m.buildPrune},
	}
}

// createDelay returns no delay for the first node in the view, which creates the roster, and joinDelay for the others.
func (m *machine) createDelay() time.Duration {
	members := m.viewMembers()
	if len(members) == 0 || members[0].ID >= m.cfg.Self.ID {
		return 0
	}
	return joinDelay
}

// selfJoinDelay returns the delay before this node adds itself; it is short when no active member could add it.
func (m *machine) selfJoinDelay() time.Duration {
	if m.latest.activeCount() == 0 {
		return joinBatchDelay
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
	return m.latest.withJoined([]cluster.Member{m.cfg.Self})
}

func (m *machine) buildClear(time.Time) *Roster {
	if m.latest.member(m.cfg.Self.ID).Suspect == 0 {
		return nil
	}
	return m.latest.withCleared(m.cfg.Self.ID)
}

// buildLost removes suspect members whose marks are so old that the members' authority has ended: G after the mark if
// no majority of promises can exist without a remaining member (canRemoveEarly), otherwise Gmax+G. Both include the
// clock drift margin.
func (m *machine) buildLost(now time.Time) *Roster {
	var early, afterGmax []string
	for _, member := range m.latest.Members {
		mark, marked := m.suspectMarks[member.ID]
		if !marked || m.isSelf(member.ID) {
			continue
		}
		if now.Sub(mark.at) > withDriftMargin(m.cfg.G) {
			early = append(early, member.ID)
		}
		if now.Sub(mark.at) > withDriftMargin(m.cfg.Gmax+m.cfg.G) {
			afterGmax = append(afterGmax, member.ID)
		}
	}
	if len(early) != 0 && m.latest.canRemoveEarly(early) {
		return m.latest.withLost(early)
	}
	if len(afterGmax) != 0 {
		return m.latest.withLost(afterGmax)
	}
	return nil
}

// buildSuspect marks the members that have not answered for SuspectAfter.
func (m *machine) buildSuspect(now time.Time) *Roster {
	var silent []string
	for _, member := range m.latest.Members {
		p := m.peer(member.ID)
		if m.isSelf(member.ID) || member.Suspect != 0 || p.silentSince.IsZero() {
			continue
		}
		if p.failures >= minSuspectFailures && now.Sub(p.silentSince) >= m.cfg.SuspectAfter {
			silent = append(silent, member.ID)
		}
	}
	if len(silent) == 0 {
		return nil
	}
	return m.latest.withSuspects(silent)
}

// canChangeMembers reports whether the member set may change now: the latest roster is installed here, and either all
// members have activated it or activationGrace has passed since.
func (m *machine) canChangeMembers(now time.Time) bool {
	if m.installed == nil || m.installed.Version != m.latest.Version {
		return false
	}
	return len(m.latest.Quorums) == 1 || now.Sub(m.installedAt) > activationGrace
}

func (m *machine) buildLeave(now time.Time) *Roster {
	if m.latest.member(m.cfg.Self.ID).State == StateLeaving || !m.shouldLeave() || !m.canChangeMembers(now) {
		return nil
	}
	return m.latest.withLeaving(m.cfg.Self.ID)
}

// buildLeft removes this leaving member once all members have activated the latest roster, so that others hold its
// records.
func (m *machine) buildLeft(time.Time) *Roster {
	if m.latest.member(m.cfg.Self.ID).State != StateLeaving {
		return nil
	}
	if m.latest.activeCount() == 0 {
		if !m.leaveRequested {
			return nil
		}
		return m.buildLastLeft()
	}
	if !m.allActivated() {
		return nil
	}
	return m.latest.withLeft(m.cfg.Self.ID)
}

// buildReturn makes this leaving member active again when no active member remains to take over its records. Otherwise
// the records would be lost if the home region changed and the nodes of the new one were lost during the handover.
func (m *machine) buildReturn(time.Time) *Roster {
	self := m.latest.member(m.cfg.Self.ID)
	if self.State != StateLeaving || m.leaveRequested || m.latest.activeCount() != 0 {
		return nil
	}
	return m.latest.withReturned(self.ID)
}

// buildLastLeft removes this node if it is the last member and no other node can take over its records. Without records
// nothing is lost and it counts as left, otherwise as lost.
func (m *machine) buildLastLeft() *Roster {
	for _, node := range m.viewMembers() {
		if !m.isSelf(node.ID) {
			return nil // it can join and take over the records
		}
	}
	if len(m.latest.Members) > 1 {
		return nil
	}
	if m.records.count.Load() == 0 && len(m.ownAttempts()) == 0 {
		return m.latest.withLeft(m.cfg.Self.ID)
	}
	next := m.latest.withLost([]string{m.cfg.Self.ID})
	next.Lost[len(next.Lost)-1].Alone = true
	return next
}

// allActivated reports whether every active member has activated the latest roster and every leaving one installed it.
func (m *machine) allActivated() bool {
	if m.installed == nil || m.installed.Version != m.latest.Version {
		return false
	}
	for _, member := range m.latest.Members {
		if m.isSelf(member.ID) {
			if member.State == StateActive && !m.activated {
				return false
			}
			continue
		}
		if m.peer(member.ID).activatedVersion < m.latest.Version {
			return false
		}
	}
	return true
}

// buildJoins adds the nodes of the home region that answered a ping as eligible.
func (m *machine) buildJoins(now time.Time) *Roster {
	if !m.canChangeMembers(now) {
		return nil
	}
	var joining []cluster.Member
	for _, node := range m.viewMembers() {
		if m.latest.member(node.ID) == nil && m.peer(node.ID).eligible {
			joining = append(joining, node)
		}
	}
	if len(joining) == 0 {
		return nil
	}
	return m.latest.withJoined(joining)
}

func (m *machine) buildActivated(time.Time) *Roster {
	if !m.awaitsActivation() || !m.allActivated() {
		return nil
	}
	return m.latest.withActivated()
}

// buildPrune removes the entries of lost members once every record from the time of their membership has expired.
func (m *machine) buildPrune(now time.Time) *Roster {
	retention := m.retention()
	expired := map[LostMember]bool{}
	for lost, at := range m.lostSeenAt {
		if now.Sub(at) > withDriftMargin(retention) {
			expired[lost] = true
		}
	}
	if len(expired) == 0 {
		return nil
	}
	return m.latest.withoutLost(expired)
}

// retention returns how long records are retained after their last grant.
func (m *machine) retention() time.Duration { return configuredRetention(m.cfg) }

// configuredRetention returns the retention time of records for the configuration and the current service list.
func configuredRetention(cfg *Config) time.Duration {
	return RecordRetention(resendWindow(cfg.View, cfg.Self.Service), cfg.GrantLife)
}

// RecordRetention returns how long owners and runners retain a record after its grant: resendWindow plus grantLife plus
// 10%, the largest difference between the rates of two clocks.
func RecordRetention(resendWindow, grantLife time.Duration) time.Duration {
	return withDriftMargin(resendWindow + grantLife)
}
