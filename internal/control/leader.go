package control

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

const (
	maxBehindNodes      = 10                     // node ids listed in the lease row as behind the newest service list
	joinBatchDelay      = 100 * time.Millisecond // time to batch changes before a write of the members row
	tombstoneTTL        = 10 * time.Minute       // no late heartbeat of a replaced node can arrive after this time
	minIsolationMembers = 3                      // a leader with fewer silent members never counts as isolated
	maxReannounced      = 64                     // entries announced again per prune during a store outage
	pruneInterval       = time.Second
)

// memberRecord holds what a leader knows about one node of its zone.
type memberRecord struct {
	member            cluster.Member
	lastSeen          time.Time             // last heartbeat or announcement; in the future for inherited members
	heartbeatReceived bool                  // a heartbeat was received during this tenure
	joined            bool                  // the node has a service list and so counts as a member
	leaving           bool                  // the node has announced its departure
	listVersion       uint64                // of the list in force at the node
	refusals          uint64                // requests refused by the node since its start
	lastFull          *rpc.HeartbeatRequest // last full heartbeat request; see shortenedRequest
}

// recordMember records a heartbeat, or an announcement forwarded by another node. It ignores ids with a tombstone and
// ids without an incarnation.
func (s *state) recordMember(request *rpc.HeartbeatRequest, heartbeat bool) {
	info := request.GetSelf()
	id := info.GetId()
	if _, removed := s.lease.tombstones[id]; removed || memberName(id) == id {
		return
	}
	r := s.lease.records[id]
	if r == nil {
		if info.GetLeaving() {
			return
		}
		s.lease.removeOldIncarnations(id)
		r = &memberRecord{member: memberFromInfo(info)}
		s.lease.records[id] = r
	}
	if r.update(request, heartbeat) {
		s.handleMemberChange(r)
	}
}

// removeOldIncarnations replaces the records of other incarnations of id's node by tombstones.
func (t *tenure) removeOldIncarnations(id string) {
	for other := range t.records {
		if other != id && memberName(other) == memberName(id) {
			delete(t.records, other)
			t.tombstones[other] = time.Now()
		}
	}
}

// update applies a heartbeat or announcement and reports whether the member joined, began to drain or left.
func (r *memberRecord) update(request *rpc.HeartbeatRequest, heartbeat bool) bool {
	before := *r
	info := request.GetSelf()
	if heartbeat || time.Now().After(r.lastSeen) {
		r.lastSeen = time.Now()
	}
	if heartbeat {
		r.heartbeatReceived = true
		r.listVersion = request.GetListVersion()
		r.refusals = request.GetRefusals()
	}
	r.joined = r.joined || !heartbeat || request.GetListVersion() > 0
	r.member.Draining = r.member.Draining || info.GetDraining()
	r.leaving = r.leaving || info.GetLeaving()
	return r.joined != before.joined || r.leaving != before.leaving || r.member.Draining != before.member.Draining
}

// handleMemberChange schedules a write of the members row. Drains and departures are also announced to the other zones
// immediately, and so are joins while the store is down.
func (s *state) handleMemberChange(r *memberRecord) {
	s.markSoftStateChanged()
	s.scheduleMembersWrite()
	if r.member.Draining || r.leaving || !s.storeUp {
		s.announceRecord(r)
	}
}

// announceRecord announces the state of a member to the other zones.
func (s *state) announceRecord(r *memberRecord) {
	info := memberToInfo(r.member)
	info.Leaving = r.leaving
	s.announce(info, s.representatives())
}

// recordOwnHeartbeat records a heartbeat of this node, the leader itself.
func (s *state) recordOwnHeartbeat() {
	request := &rpc.HeartbeatRequest{Self: memberToInfo(s.self),
		ListVersion: s.list.version(), Refusals: s.cfg.Refusals()}
	request.Self.Leaving = s.leaving
	s.recordMember(request, true)
}

// inheritMembers creates records for the members written by the last lease holder, with TakeoverGrace as their timeout.
func (s *state) inheritMembers(members []cluster.Member) {
	lastSeen := time.Now().Add(s.cfg.TakeoverGrace - s.cfg.MemberTimeout) // the heartbeat interval is not scaled up yet
	for _, m := range members {
		known := s.lease.records[m.ID] != nil
		if known || s.lease.hasRecordNamed(memberName(m.ID)) {
			continue
		}
		s.lease.records[m.ID] = &memberRecord{member: m, lastSeen: lastSeen, joined: true}
	}
	s.recordOwnHeartbeat()
}

// hasRecordNamed reports whether there is a record of any incarnation of the named node.
func (t *tenure) hasRecordNamed(name string) bool {
	for id := range t.records {
		if memberName(id) == name {
			return true
		}
	}
	return false
}

// desiredMembers returns the members that the members row should contain, sorted by id.
func (t *tenure) desiredMembers() []cluster.Member {
	members := []cluster.Member{}
	for _, r := range t.records {
		if r.joined && !r.leaving {
			members = append(members, r.member)
		}
	}
	sortMembers(members)
	return members
}

// uncommittedChanges returns the joins, drains and departures that the members row does not contain yet.
func (t *tenure) uncommittedChanges(z *zoneView) []softEntry {
	var entries []softEntry
	for _, r := range t.records {
		if r.joined && (z == nil || !z.reflects(r)) {
			entries = append(entries, softEntry{member: r.member, leaving: r.leaving, updatedAt: r.lastSeen})
		}
	}
	return entries
}

// reflects reports whether the members row matches a record.
func (z *zoneView) reflects(r *memberRecord) bool {
	at, found := findMember(z.members, r.member.ID)
	if r.leaving {
		return !found
	}
	return found && z.members[at] == r.member
}

// scheduleMembersWrite moves the next commit forward if the members row is outdated, but keeps MembersWriteInterval
// between writes.
func (s *state) scheduleMembersWrite() {
	if s.lease == nil || !s.lease.membersLoaded || s.lease.commitUncertain || !s.membersRowOutdated() {
		return
	}
	at := time.Now().Add(joinBatchDelay)
	if next := s.lease.membersWrittenAt.Add(s.cfg.MembersWriteInterval); next.After(at) {
		at = next
	}
	if at.Before(s.due[taskRenew]) {
		s.due[taskRenew] = at
	}
}

// membersRowOutdated reports whether the members row differs from the desired members.
func (s *state) membersRowOutdated() bool {
	return !slices.Equal(s.lease.desiredMembers(), s.zones[s.self.Zone].members)
}

// nextMembers returns the members row to write, or nil if it is up to date or was written within MembersWriteInterval.
// The interval does not apply to the commit that releases the lease.
func (s *state) nextMembers() *cluster.MembersRow {
	s.recordOwnHeartbeat()
	now := time.Now()
	recent := now.Before(s.lease.membersWrittenAt.Add(s.cfg.MembersWriteInterval))
	if (recent && !s.lease.releasing) || !s.membersRowOutdated() {
		return nil
	}
	return &cluster.MembersRow{
		Zone:    s.self.Zone,
		Version: s.zoneVersion(s.self.Zone) + 1,
		Epoch:   s.lease.lease.Epoch,
		Members: s.lease.desiredMembers(),
	}
}

// nextLease returns the renewed lease row with a summary of the heartbeats.
func (s *state) nextLease() cluster.LeaseRow {
	next := s.lease.lease
	next.Renewals++
	if s.lease.releasing {
		next.Holder = ""
		next.HolderAddr = ""
	}
	next.Nodes, next.BehindCount, next.Refusals = 0, 0, 0
	next.MinListVersion, next.BehindIDs, next.DrainingIDs = 0, nil, nil
	newest := s.newestListVersion()
	for _, id := range sortedKeys(s.lease.records) {
		addToSummary(&next, s.lease.records[id], newest)
	}
	return next
}

// addToSummary adds a member's last heartbeat to the summary in the lease row. newest is the newest known list version.
func addToSummary(lease *cluster.LeaseRow, r *memberRecord, newest uint64) {
	if !r.heartbeatReceived {
		return
	}
	lease.Nodes++
	lease.Refusals += r.refusals
	if lease.Nodes == 1 || r.listVersion < lease.MinListVersion {
		lease.MinListVersion = r.listVersion
	}
	if r.member.Draining {
		lease.DrainingIDs = append(lease.DrainingIDs, r.member.ID)
	}
	if r.listVersion >= newest {
		return
	}
	lease.BehindCount++
	if len(lease.BehindIDs) < maxBehindNodes {
		lease.BehindIDs = append(lease.BehindIDs, r.member.ID)
	}
}

// prune removes expired soft state and, on a leader, silent members and expired tombstones. An isolated leader yields
// the lease instead; during a store outage, uncommitted changes are announced again and no member is removed.
func (s *state) prune() {
	s.scheduleAfter(taskPrune, pruneInterval)
	s.pruneSoft()
	if s.lease == nil || !s.lease.membersLoaded {
		return
	}
	s.recordOwnHeartbeat()
	if s.isolated() {
		s.yieldLease()
		return
	}
	if s.storeUp {
		s.removeSilentMembers()
	} else {
		s.reannounce()
	}
	s.scheduleMembersWrite()
	for id, since := range s.lease.tombstones {
		if time.Since(since) > tombstoneTTL {
			delete(s.lease.tombstones, id)
		}
	}
}

const (
	// maxMembersPerInterval is the number of members up to which heartbeats are sent every HeartbeatInterval. A leader
	// of 25 members sends and receives 11.5 KB/s at an interval of 1 s; the limit for a node is 14 KB/s.
	maxMembersPerInterval = 25
	// maxIntervalFactor limits how far the interval is scaled up in large zones, so that confirmations of the key
	// roster arrive well before they expire after 10 s.
	maxIntervalFactor = 4
)

// zoneHeartbeatInterval returns the heartbeat interval of the zone. It is proportional to the number of members, so
// that the network traffic and CPU time of the leader stay within limits.
func (s *state) zoneHeartbeatInterval() time.Duration {
	base := s.cfg.HeartbeatInterval
	scaled := base * time.Duration(len(s.lease.records)) / maxMembersPerInterval
	return min(max(scaled, base), maxIntervalFactor*base)
}

// memberTimeout returns MemberTimeout plus twice the increase of the heartbeat interval, so that a member of a large
// zone can miss as many heartbeats as in a small zone.
func (s *state) memberTimeout() time.Duration {
	return s.cfg.MemberTimeout + 2*(s.zoneHeartbeatInterval()-s.cfg.HeartbeatInterval)
}

// removeSilentMembers removes members that are silent or whose departure is committed. Removals of silent members reach
// the table with the next commit, and other nodes only after that commit.
func (s *state) removeSilentMembers() {
	timeout := s.memberTimeout()
	for id, r := range s.lease.records {
		if r.leaving && s.zones[s.self.Zone].reflects(r) {
			delete(s.lease.records, id)
			s.lease.tombstones[id] = time.Now()
			continue
		}
		if time.Since(r.lastSeen) > timeout {
			klog.Infof("zone %s: removing member %s: no heartbeat within %s", s.self.Zone, id, timeout)
			s.incrementCounter("member.removed")
			delete(s.lease.records, id)
		}
	}
}

// isolated reports whether all members that sent heartbeats in this tenure have become silent, which indicates a fault
// of the leader's own network. One of them must have exceeded the member timeout and all others half of it: heartbeats
// are spread over an interval, so with the full timeout for all, the first members would be removed before the last one
// counts as silent.
func (s *state) isolated() bool {
	timeout := s.memberTimeout()
	others := 0
	expired := false
	for id, r := range s.lease.records {
		if id == s.self.ID || !r.heartbeatReceived {
			continue
		}
		silence := time.Since(r.lastSeen)
		if silence <= timeout/2 {
			return false
		}
		expired = expired || silence > timeout
		others++
	}
	return expired && others >= minIsolationMembers
}

// yieldLease steps down and lets the lease expire, so that a node that the others can reach takes it over. This node
// does not compete for it for twice the lease duration.
func (s *state) yieldLease() {
	s.incrementCounter("lease.yielded")
	s.stepDown()
	s.watch.notBefore = time.Now().Add(2 * s.cfg.LeaseDuration)
}

// reannounce repeats the announcements of uncommitted changes during a store outage, for leaders that could not be
// reached before.
func (s *state) reannounce() {
	remaining := maxReannounced
	z := s.zones[s.self.Zone]
	for _, id := range sortedKeys(s.lease.records) {
		r := s.lease.records[id]
		if remaining > 0 && r.joined && !z.reflects(r) {
			s.announceRecord(r)
			remaining--
		}
	}
}
