package keys

import (
	"bytes"
	"time"

	"github.com/acacialock/acacialock/internal/rpc"
)

// Intervals of the state machine's calls; each is jittered.
const (
	promiseInterval = time.Second
	slowPing        = 5 // times the ping interval, for members that control knows to be alive
	readInterval    = 300 * time.Millisecond
	retryInterval   = 500 * time.Millisecond
	collectInterval = 300 * time.Millisecond
	maxEditBackoff  = 5 * time.Second
	// minFailures keeps one lost message after a long pause from marking a member.
	minFailures = 3
)

type callKind int

const (
	callRead callKind = iota
	callCommit
	callCollect
	callPromise
	callPing
)

// callKey names a call of which one may be in flight.
type callKey struct {
	kind callKind
	peer string
}

// call is one call to the table or to a member.
type call struct {
	callKey
	addr    string
	version uint64    // roster version at which the call was planned
	roster  *Roster   // callCollect: installed roster; callCommit: next value
	base    uint64    // callCommit: table version that the value was made from
	sent    time.Time // on this member's clock
}

// result is what came of a call.
type result struct {
	call
	err     error
	absent  bool    // callRead: the row does not exist
	roster  *Roster // callRead, callCommit
	row     uint64  // table version of roster
	collect *rpc.CollectResponse
	promise *rpc.PromiseResponse
	ping    *rpc.RosterResponse
}

// start plans a call unless the same one is in flight, came too recently, or too many calls to members are in flight.
func (m *machine) start(now time.Time, c call) bool {
	if m.busy[c.callKey] || now.Before(m.next[c.callKey]) {
		return false
	}
	if c.peer != "" {
		if m.peerCalls >= m.cfg.MaxPeerCalls {
			return false
		}
		m.peerCalls++
	}
	m.busy[c.callKey] = true
	c.sent = now
	m.pending = append(m.pending, c)
	return true
}

// planRead reads the row when a newer one exists, when an edit needs its table version, or when control has not
// confirmed it for a while.
func (m *machine) planRead(now time.Time) {
	stale := m.known == nil || !m.row.read
	if m.known != nil {
		confirmed := m.authority.confirmed[m.known.Version]
		stale = stale || now.Sub(confirmed) > m.patience() && now.Sub(m.row.at) > m.patience()
		stale = stale || m.row.commit < m.known.Commit && len(m.needs) != 0
	}
	if stale || m.wantRow {
		m.start(now, call{callKey: callKey{kind: callRead}})
	}
}

// patience is how old a confirmation may get before the member looks for another source. Heartbeats bring one every 4 s
// in a zone of 100 members and more; the rest of G is for reads and promises.
func (m *machine) patience() time.Duration { return m.cfg.G * 13 / 20 }

// planPromises asks for promises while the table does not confirm the roster.
func (m *machine) planPromises(now time.Time) {
	if m.installed == nil || m.installed.member(m.cfg.Self.ID) == nil || m.closing {
		return
	}
	if now.Sub(m.authority.confirmed[m.installed.Version]) < m.patience() {
		return
	}
	for _, member := range m.installed.Members {
		if !m.isSelf(member.ID) {
			m.start(now, call{callKey: callKey{callPromise, member.ID}, addr: member.PeerAddr, version: m.installed.Version})
		}
	}
}

// planCollects asks the members that have not yet handed over the records of the installed version.
func (m *machine) planCollects(now time.Time) {
	if m.installed == nil || m.activated || m.installed.member(m.cfg.Self.ID) == nil {
		return
	}
	for _, member := range m.installed.Members {
		if !m.isSelf(member.ID) && !m.collected[member.ID] {
			m.start(now, call{callKey: callKey{callCollect, member.ID}, addr: member.PeerAddr, version: m.installed.Version, roster: m.installed})
		}
	}
}

// planPings looks for silent members, newer rosters, activations and nodes that should join. Members of a low rank ask
// more rarely, so that usually only the first one does.
func (m *machine) planPings(now time.Time) {
	if m.known == nil {
		return
	}
	slow := time.Duration(1 + m.rank())
	for _, member := range m.known.Members {
		if m.isSelf(member.ID) {
			continue
		}
		interval := slowPing * m.cfg.PingInterval * slow
		switch p := m.peer(member.ID); {
		case p.curious, m.handingOver():
			interval = m.cfg.PingInterval / 2
		case m.awaitsActivation() && p.version < m.known.Version, !m.inView(member.ID), p.failures > 0:
			interval = m.cfg.PingInterval * slow
		}
		m.ping(now, member.ID, member.PeerAddr, interval)
	}
	for _, node := range m.viewMembers() {
		if m.known.member(node.ID) == nil && !m.isSelf(node.ID) {
			m.ping(now, node.ID, node.PeerAddr, m.cfg.PingInterval*slow)
		}
	}
}

func (m *machine) ping(now time.Time, id, addr string, interval time.Duration) {
	key := callKey{callPing, id}
	if due := now.Add(interval * 3 / 2); m.next[key].After(due) {
		m.next[key] = due // the interval became shorter
	}
	if m.start(now, call{callKey: key, addr: addr}) {
		m.next[key] = now.Add(m.jitter(interval))
	}
}

// awaitsActivation reports whether the row waits for the members' activation.
func (m *machine) awaitsActivation() bool {
	return len(m.known.Quorums) > 1 || m.known.Solo != "" && m.known.activeCount() > 1
}

func (m *machine) handingOver() bool {
	self := m.known.member(m.cfg.Self.ID)
	return self != nil && self.State == StateLeaving
}

// finish takes the result of a call.
func (m *machine) finish(now time.Time, r result) {
	delete(m.busy, r.callKey)
	if r.peer != "" {
		m.peerCalls--
	}
	switch r.kind {
	case callRead:
		m.finishRead(now, r)
	case callCommit:
		m.finishCommit(now, r)
	case callCollect:
		m.finishCollect(now, r)
	case callPromise:
		m.finishPromise(now, r)
	case callPing:
		m.finishPing(now, r)
	}
	m.tryActivate()
	m.publish(now)
}

func (m *machine) finishRead(now time.Time, r result) {
	m.next[r.callKey] = now.Add(m.jitter(readInterval))
	if r.err != nil {
		m.next[r.callKey] = now.Add(m.jitter(2 * retryInterval))
		return
	}
	m.takeRow(now, r)
}

func (m *machine) takeRow(now time.Time, r result) {
	if r.absent {
		if m.known == nil {
			m.row = rowSeen{read: true, at: r.sent}
		}
		return
	}
	if r.roster.Commit < m.row.commit {
		return // an older answer that came late
	}
	m.row = rowSeen{read: true, version: r.row, commit: r.roster.Commit, at: r.sent}
	m.observe(now, r.roster)
	m.confirm(now, r.roster.Commit, r.sent)
}

// finishCommit reads the row again unless the commit is known to have been applied.
func (m *machine) finishCommit(now time.Time, r result) {
	if r.err == nil {
		m.conflicts = 0
		m.next[r.callKey] = now
		m.takeRow(now, r)
		return
	}
	m.row.read = false
	m.wantRow = true
	m.conflicts = min(m.conflicts+1, 6)
	backoff := min(retryInterval<<m.conflicts/2, maxEditBackoff)
	m.next[r.callKey] = now.Add(m.jitter(backoff))
}

func (m *machine) finishCollect(now time.Time, r result) {
	m.next[r.callKey] = now.Add(m.jitter(collectInterval))
	m.noteAnswer(now, r.peer, r.err)
	if r.err != nil {
		return
	}
	for _, rec := range r.collect.Records {
		m.records.merge(now, rec)
	}
	if !r.collect.Installed {
		m.peer(r.peer).curious = true
		return
	}
	if m.installed != nil && r.version == m.installed.Version {
		m.collected[r.peer] = true
	}
}

func (m *machine) finishPromise(now time.Time, r result) {
	m.next[r.callKey] = r.sent.Add(m.jitter(promiseInterval))
	if r.err != nil {
		return
	}
	if m.installed == nil || r.version != m.installed.Version {
		return
	}
	if !r.promise.Promised {
		m.peer(r.peer).curious = true
		return
	}
	valid := min(time.Duration(r.promise.ValidMs)*time.Millisecond, m.cfg.G)
	if end := r.sent.Add(valid); end.After(m.authority.held[r.peer]) {
		m.authority.held[r.peer] = end
	}
}

func (m *machine) finishPing(now time.Time, r result) {
	m.noteAnswer(now, r.peer, r.err)
	if r.err != nil {
		return
	}
	p := m.peer(r.peer)
	p.curious = false
	p.eligible = r.ping.Eligible
	p.version = max(p.version, r.ping.ActivatedVersion)
	if len(r.ping.Roster) == 0 || bytes.Equal(r.ping.Roster, m.knownValue) {
		return
	}
	if roster, err := parseRoster(r.ping.Roster); err == nil {
		m.observe(now, roster)
	}
}

// noteAnswer tracks since when a node is silent.
func (m *machine) noteAnswer(now time.Time, id string, err error) {
	p := m.peer(id)
	if err == nil {
		p.silentSince, p.failures = time.Time{}, 0
		return
	}
	p.eligible = false
	p.failures++
	if p.silentSince.IsZero() {
		p.silentSince = now
	}
}

// promise answers a member that asks for one.
func (m *machine) promise(now time.Time, req *rpc.PromiseRequest) *rpc.PromiseResponse {
	if m.installed == nil || req.RosterVersion != m.installed.Version || m.known.Version != m.installed.Version {
		if m.installed != nil && req.RosterVersion > m.known.Version {
			m.peer(req.Requester).curious = true
		}
		return &rpc.PromiseResponse{}
	}
	if m.installed.member(req.Requester) == nil || m.installed.member(m.cfg.Self.ID) == nil || m.closing {
		return &rpc.PromiseResponse{}
	}
	if !now.Before(m.authority.alive.Add(m.cfg.Gmax)) {
		return &rpc.PromiseResponse{} // removal after Gmax relies on promises ending with the giver's own confirmation
	}
	m.authority.promise(now, req.Requester, m.cfg.G)
	return &rpc.PromiseResponse{Promised: true, ValidMs: uint32(m.cfg.G.Milliseconds())}
}

// install takes a member's roster for Collect and reports whether the requested version is installed.
func (m *machine) install(now time.Time, req *rpc.CollectRequest, roster *Roster) bool {
	m.observe(now, roster)
	m.tryInstall(now)
	return m.installed != nil && m.installed.Version == req.RosterVersion && m.installed.member(req.Requester) != nil
}

// status answers a ping.
func (m *machine) status() *rpc.RosterResponse {
	response := &rpc.RosterResponse{Eligible: m.eligible()}
	if m.installed == nil {
		return response
	}
	response.RosterVersion = m.installed.Version
	response.Roster = m.knownValue
	self := m.installed.member(m.cfg.Self.ID)
	if m.activated || self != nil && self.State == StateLeaving {
		response.ActivatedVersion = m.installed.Version
	}
	return response
}

// ownAttempts lists this node's attempts as records.
func (m *machine) ownAttempts() []*rpc.KeyRecord {
	return runnerRecords(m.cfg, func(string) bool { return true })
}
