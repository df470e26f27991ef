package keys

import (
	"bytes"
	"time"

	"github.com/acacialock/acacialock/internal/rpc"
)

// Intervals between calls of the state machine, each jittered, and limits for them.
const (
	promiseInterval = time.Second
	slowPingFactor  = 5 // factor on the ping interval for members that the view lists as alive
	readInterval    = 300 * time.Millisecond
	retryInterval   = 500 * time.Millisecond
	collectInterval = 300 * time.Millisecond
	maxEditBackoff  = 5 * time.Second
	// minSuspectFailures is the number of failed calls in a row before a member is marked as suspect. With one failure,
	// a single message lost after a long pause would mark a member.
	minSuspectFailures = 3
)

type callKind int

const (
	callRead callKind = iota
	callCommit
	callCollect
	callPromise
	callPing
)

// callKey identifies a call; at most one call with the same key is in flight.
type callKey struct {
	kind callKind
	peer string // member ID; empty: the table
}

// call is one call to the table or to a member.
type call struct {
	callKey
	addr        string    // peer address
	version     uint64    // roster version at which the call was planned
	roster      *Roster   // callCollect: installed roster; callCommit: next value
	baseVersion uint64    // callCommit: table version of the row from which roster was derived
	sent        time.Time // start, on this node's clock
}

// result holds the outcome of a call: err, or the fields that belong to its kind.
type result struct {
	call
	err          error
	absent       bool    // callRead: the row does not exist
	roster       *Roster // callRead, callCommit
	tableVersion uint64  // table version of roster
	collect      *rpc.CollectResponse
	promise      *rpc.PromiseResponse
	ping         *rpc.RosterResponse
}

// startCall adds a call to the calls of this tick and reports whether it did. It does not if the same call is in flight
// or was made too recently, or if too many calls to members are in flight.
func (m *machine) startCall(now time.Time, c call) bool {
	if m.inFlight[c.callKey] || now.Before(m.notBefore[c.callKey]) {
		return false
	}
	if c.peer != "" {
		if m.peerCalls >= m.cfg.MaxPeerCalls {
			return false
		}
		m.peerCalls++
	}
	m.inFlight[c.callKey] = true
	c.sent = now
	m.pending = append(m.pending, c)
	return true
}

// planRead plans a read of the row if it has not been read, a newer one exists, an edit needs its table version, or its
// last confirmation and its last read are both older than maxConfirmationAge.
func (m *machine) planRead(now time.Time) {
	stale := m.latest == nil || !m.row.read
	if m.latest != nil {
		confirmed := m.authority.confirmedAt[m.latest.Version]
		stale = stale || now.Sub(confirmed) > m.maxConfirmationAge() && now.Sub(m.row.at) > m.maxConfirmationAge()
		stale = stale || m.row.commit < m.latest.Commit && len(m.editDue) != 0
	}
	if stale || m.readNeeded {
		m.startCall(now, call{callKey: callKey{kind: callRead}})
	}
}

// maxConfirmationAge returns the age of the last confirmation, 65% of G, from which this member reads the row itself
// and requests promises. Heartbeats bring a confirmation every 4 s in zones of 100 or more members; the rest of G
// leaves time for reads and promises.
func (m *machine) maxConfirmationAge() time.Duration { return m.cfg.G * 13 / 20 }

// planPromises requests promises from all other members while the table does not confirm the installed roster.
func (m *machine) planPromises(now time.Time) {
	if m.installed == nil || m.installed.member(m.cfg.Self.ID) == nil || m.removalSent {
		return
	}
	if now.Sub(m.authority.confirmedAt[m.installed.Version]) < m.maxConfirmationAge() {
		return
	}
	for _, member := range m.installed.Members {
		if !m.isSelf(member.ID) {
			m.startCall(now, call{callKey: callKey{callPromise, member.ID}, addr: member.PeerAddr, version: m.installed.Version})
		}
	}
}

// planCollects collects records from the members that have not yet returned them at the installed version.
func (m *machine) planCollects(now time.Time) {
	if m.installed == nil || m.activated || m.installed.member(m.cfg.Self.ID) == nil {
		return
	}
	for _, member := range m.installed.Members {
		if !m.isSelf(member.ID) && !m.collected[member.ID] {
			m.startCall(now, call{callKey: callKey{callCollect, member.ID}, addr: member.PeerAddr, version: m.installed.Version, roster: m.installed})
		}
	}
}

// planPings plans pings, which detect silent members, newer rosters, activations and nodes that should join. The
// interval grows with this member's rank, so that usually only the first member has to ping.
func (m *machine) planPings(now time.Time) {
	if m.latest == nil {
		return
	}
	rankFactor := time.Duration(1 + m.editRank())
	for _, member := range m.latest.Members {
		if m.isSelf(member.ID) {
			continue
		}
		interval := slowPingFactor * m.cfg.PingInterval * rankFactor
		switch p := m.peer(member.ID); {
		case p.mayKnowNewer, m.handingOver():
			interval = m.cfg.PingInterval / 2
		case m.awaitsActivation() && p.activatedVersion < m.latest.Version, !m.inView(member.ID), p.failures > 0:
			interval = m.cfg.PingInterval * rankFactor
		}
		m.ping(now, member.ID, member.PeerAddr, interval)
	}
	for _, node := range m.viewMembers() {
		if m.latest.member(node.ID) == nil && !m.isSelf(node.ID) {
			m.ping(now, node.ID, node.PeerAddr, m.cfg.PingInterval*rankFactor)
		}
	}
}

func (m *machine) ping(now time.Time, id, addr string, interval time.Duration) {
	key := callKey{callPing, id}
	if due := now.Add(interval * 3 / 2); m.notBefore[key].After(due) {
		m.notBefore[key] = due // the interval was shortened
	}
	if m.startCall(now, call{callKey: key, addr: addr}) {
		m.notBefore[key] = now.Add(m.jitter(interval))
	}
}

// awaitsActivation reports whether the row has to be updated once all members have activated it.
func (m *machine) awaitsActivation() bool {
	return len(m.latest.Quorums) > 1 || m.latest.Solo != "" && m.latest.activeCount() > 1
}

// handingOver reports whether this member is leaving and still hands over its records.
func (m *machine) handingOver() bool {
	self := m.latest.member(m.cfg.Self.ID)
	return self != nil && self.State == StateLeaving
}

func (m *machine) finish(now time.Time, r result) {
	delete(m.inFlight, r.callKey)
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
	m.publishAuthority(now)
}

func (m *machine) finishRead(now time.Time, r result) {
	m.notBefore[r.callKey] = now.Add(m.jitter(readInterval))
	if r.err != nil {
		m.notBefore[r.callKey] = now.Add(m.jitter(2 * retryInterval))
		return
	}
	m.applyRow(now, r)
}

// applyRow processes the row that a read or a successful commit returned.
func (m *machine) applyRow(now time.Time, r result) {
	if r.absent {
		if m.latest == nil {
			m.row = observedRow{read: true, at: r.sent}
		}
		return
	}
	if r.roster.Commit < m.row.commit {
		return // a delayed response with an older row
	}
	m.row = observedRow{read: true, version: r.tableVersion, commit: r.roster.Commit, at: r.sent}
	m.observe(now, r.roster)
	m.confirm(now, r.roster.Commit, r.sent)
}

// finishCommit processes the result of a commit. After any error the row is read again, because the commit may have
// been applied nevertheless.
func (m *machine) finishCommit(now time.Time, r result) {
	if r.err == nil {
		m.commitFailures = 0
		m.notBefore[r.callKey] = now
		m.applyRow(now, r)
		return
	}
	m.row.read = false
	m.readNeeded = true
	m.commitFailures = min(m.commitFailures+1, 6)
	backoff := min(retryInterval<<m.commitFailures/2, maxEditBackoff)
	m.notBefore[r.callKey] = now.Add(m.jitter(backoff))
}

func (m *machine) finishCollect(now time.Time, r result) {
	m.notBefore[r.callKey] = now.Add(m.jitter(collectInterval))
	m.recordPeerResult(now, r.peer, r.err)
	if r.err != nil {
		return
	}
	for _, rec := range r.collect.Records {
		m.records.merge(now, rec)
	}
	if !r.collect.Installed {
		m.peer(r.peer).mayKnowNewer = true
		return
	}
	if m.installed != nil && r.version == m.installed.Version {
		m.collected[r.peer] = true
	}
}

func (m *machine) finishPromise(now time.Time, r result) {
	m.notBefore[r.callKey] = r.sent.Add(m.jitter(promiseInterval))
	if r.err != nil {
		return
	}
	if m.installed == nil || r.version != m.installed.Version {
		return
	}
	if !r.promise.Promised {
		m.peer(r.peer).mayKnowNewer = true
		return
	}
	valid := min(time.Duration(r.promise.ValidMs)*time.Millisecond, m.cfg.G)
	if end := r.sent.Add(valid); end.After(m.authority.receivedUntil[r.peer]) {
		m.authority.receivedUntil[r.peer] = end
	}
}

func (m *machine) finishPing(now time.Time, r result) {
	m.recordPeerResult(now, r.peer, r.err)
	if r.err != nil {
		return
	}
	p := m.peer(r.peer)
	p.mayKnowNewer = false
	p.eligible = r.ping.Eligible
	p.activatedVersion = max(p.activatedVersion, r.ping.ActivatedVersion)
	if len(r.ping.Roster) == 0 || bytes.Equal(r.ping.Roster, m.latestValue) {
		return
	}
	if roster, err := parseRoster(r.ping.Roster); err == nil {
		m.observe(now, roster)
	}
}

// recordPeerResult updates the failure count of a node and the time since which it has not answered.
func (m *machine) recordPeerResult(now time.Time, id string, err error) {
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

// handlePromise answers a request for a promise. An empty response means that none is given.
func (m *machine) handlePromise(now time.Time, req *rpc.PromiseRequest) *rpc.PromiseResponse {
	if m.installed == nil || req.RosterVersion != m.installed.Version || m.latest.Version != m.installed.Version {
		if m.installed != nil && req.RosterVersion > m.latest.Version {
			m.peer(req.Requester).mayKnowNewer = true
		}
		return &rpc.PromiseResponse{}
	}
	if m.installed.member(req.Requester) == nil || m.installed.member(m.cfg.Self.ID) == nil || m.removalSent {
		return &rpc.PromiseResponse{}
	}
	if !now.Before(m.authority.lastConfirmed.Add(m.cfg.Gmax)) {
		// Removing members after Gmax is safe only if a member gives no promises from Gmax after its own last confirmation.
		return &rpc.PromiseResponse{}
	}
	m.authority.recordPromise(now, req.Requester, m.cfg.G)
	return &rpc.PromiseResponse{Promised: true, ValidMs: uint32(m.cfg.G.Milliseconds())}
}

// handleCollect processes the roster of a Collect request and reports whether its version is installed with the
// requester as a member.
func (m *machine) handleCollect(now time.Time, req *rpc.CollectRequest, roster *Roster) bool {
	m.observe(now, roster)
	m.tryInstall(now)
	return m.installed != nil && m.installed.Version == req.RosterVersion && m.installed.member(req.Requester) != nil
}

// handleRoster returns the response to a ping: the latest roster and what this node has installed and activated.
func (m *machine) handleRoster() *rpc.RosterResponse {
	response := &rpc.RosterResponse{Eligible: m.eligible()}
	if m.installed == nil {
		return response
	}
	response.RosterVersion = m.installed.Version
	response.Roster = m.latestValue
	self := m.installed.member(m.cfg.Self.ID)
	if m.activated || self != nil && self.State == StateLeaving {
		response.ActivatedVersion = m.installed.Version
	}
	return response
}

// ownAttempts returns records of all of this node's attempts.
func (m *machine) ownAttempts() []*rpc.KeyRecord {
	return localRecords(m.cfg, func(string) bool { return true })
}
