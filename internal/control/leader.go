package control

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

const (
	maxBehind        = 10                     // nodes named in the lease row as behind the newest service list
	joinBatch        = 100 * time.Millisecond // time to gather changes before a write of the members row
	goneLife         = 10 * time.Minute       // a late heartbeat of a replaced node can't arrive after it
	isolationMembers = 3                      // heard members whose common silence means that the leader is cut off
	maxReannounced   = 64                     // entries announced again per prune in an outage
	pruneInterval    = time.Second
)

// record is what a leader knows of one node of its zone.
type record struct {
	member   cluster.Member
	seen     time.Time // last sign of life; a new leader sets it ahead for inherited members
	heard    bool      // a heartbeat arrived in this tenure
	joined   bool      // the node has a service list and counts as a member
	leaving  bool
	list     uint64
	refusals uint64
	full     *rpc.HeartbeatRequest // last heartbeat that was not shortened
}

// record takes a heartbeat, or an announcement passed on by another node.
func (s *state) record(request *rpc.HeartbeatRequest, heartbeat bool) {
	info := request.GetSelf()
	id := info.GetId()
	if _, gone := s.lease.gone[id]; gone || memberName(id) == id {
		return
	}
	r := s.lease.records[id]
	if r == nil {
		if info.GetLeaving() {
			return
		}
		s.lease.replace(id)
		r = &record{member: fromInfo(info)}
		s.lease.records[id] = r
	}
	if r.update(request, heartbeat) {
		s.memberChanged(r)
	}
}

// replace drops the earlier incarnations of id's node.
func (t *tenure) replace(id string) {
	for other := range t.records {
		if other != id && memberName(other) == memberName(id) {
			delete(t.records, other)
			t.gone[other] = time.Now()
		}
	}
}

// update reports whether the member joined, began to drain or left.
func (r *record) update(request *rpc.HeartbeatRequest, heartbeat bool) bool {
	before := *r
	info := request.GetSelf()
	if heartbeat || time.Now().After(r.seen) {
		r.seen = time.Now()
	}
	if heartbeat {
		r.heard = true
		r.list = request.GetListVersion()
		r.refusals = request.GetRefusals()
	}
	r.joined = r.joined || !heartbeat || request.GetListVersion() > 0
	r.member.Draining = r.member.Draining || info.GetDraining()
	r.leaving = r.leaving || info.GetLeaving()
	return r.joined != before.joined || r.leaving != before.leaving || r.member.Draining != before.member.Draining
}

// memberChanged schedules the write of the members row. Other zones learn of drains and departures at once, and of
// joins too when the table can't tell them.
func (s *state) memberChanged(r *record) {
	s.changedSoft()
	s.scheduleMembers()
	if r.member.Draining || r.leaving || !s.storeUp {
		s.announceRecord(r)
	}
}

func (s *state) announceRecord(r *record) {
	info := toInfo(r.member)
	info.Leaving = r.leaving
	s.announce(info, s.representatives())
}

// recordSelf takes this node's own heartbeat.
func (s *state) recordSelf() {
	request := &rpc.HeartbeatRequest{Self: toInfo(s.self), ListVersion: s.list.version(), Refusals: s.cfg.Refusals()}
	request.Self.Leaving = s.leaving
	s.record(request, true)
}

// inherit takes over the members that the last holder wrote.
func (s *state) inherit(members []cluster.Member) {
	seen := time.Now().Add(s.cfg.TakeoverGrace - s.cfg.MemberTimeout) // the interval was not stretched yet
	for _, m := range members {
		known := s.lease.records[m.ID] != nil
		if known || s.lease.hasName(memberName(m.ID)) {
			continue
		}
		s.lease.records[m.ID] = &record{member: m, seen: seen, joined: true}
	}
	s.recordSelf()
}

func (t *tenure) hasName(name string) bool {
	for id := range t.records {
		if memberName(id) == name {
			return true
		}
	}
	return false
}

// desired returns the members that the members row should hold.
func (t *tenure) desired() []cluster.Member {
	members := []cluster.Member{}
	for _, r := range t.records {
		if r.joined && !r.leaving {
			members = append(members, r.member)
		}
	}
	sortMembers(members)
	return members
}

// uncommitted returns the joins, drains and departures that the members row does not hold.
func (t *tenure) uncommitted(z *zoneView) []softEntry {
	var entries []softEntry
	for _, r := range t.records {
		if r.joined && (z == nil || !z.holds(r)) {
			entries = append(entries, softEntry{member: r.member, leaving: r.leaving, at: r.seen})
		}
	}
	return entries
}

func (z *zoneView) holds(r *record) bool {
	at, found := findMember(z.members, r.member.ID)
	if r.leaving {
		return !found
	}
	return found && z.members[at] == r.member
}

// scheduleMembers brings the next commit forward when the members row is out of date, at most one write per interval.
func (s *state) scheduleMembers() {
	if s.lease == nil || !s.lease.loaded || s.lease.unsure || !s.membersChanged() {
		return
	}
	at := time.Now().Add(joinBatch)
	if next := s.lease.wrote.Add(s.cfg.MembersInterval); next.After(at) {
		at = next
	}
	if at.Before(s.due[taskRenew]) {
		s.due[taskRenew] = at
	}
}

func (s *state) membersChanged() bool {
	return !slices.Equal(s.lease.desired(), s.zones[s.self.Zone].members)
}

// nextMembers returns the next members row, or nil when it is current or was just written.
func (s *state) nextMembers() *cluster.MembersRow {
	s.recordSelf()
	now := time.Now()
	recent := now.Before(s.lease.wrote.Add(s.cfg.MembersInterval))
	if (recent && !s.lease.released) || !s.membersChanged() {
		return nil
	}
	return &cluster.MembersRow{
		Zone:    s.self.Zone,
		Version: s.zoneVersion(s.self.Zone) + 1,
		Epoch:   s.lease.lease.Epoch,
		Members: s.lease.desired(),
	}
}

// nextLease returns the renewed lease row with the summary of the heartbeats.
func (s *state) nextLease() cluster.LeaseRow {
	next := s.lease.lease
	next.Renewals++
	if s.lease.released {
		next.Holder = ""
		next.HolderAddr = ""
	}
	next.Nodes, next.BehindCount, next.Refusals = 0, 0, 0
	next.MinList, next.Behind, next.DrainingIDs = 0, nil, nil
	newest := s.newestList()
	for _, id := range sortedKeys(s.lease.records) {
		summarize(&next, s.lease.records[id], newest)
	}
	return next
}

func summarize(lease *cluster.LeaseRow, r *record, newest uint64) {
	if !r.heard {
		return
	}
	lease.Nodes++
	lease.Refusals += r.refusals
	if lease.Nodes == 1 || r.list < lease.MinList {
		lease.MinList = r.list
	}
	if r.member.Draining {
		lease.DrainingIDs = append(lease.DrainingIDs, r.member.ID)
	}
	if r.list >= newest {
		return
	}
	lease.BehindCount++
	if len(lease.Behind) < maxBehind {
		lease.Behind = append(lease.Behind, r.member.ID)
	}
}

// prune drops outdated soft state and, at a leader, the members that are silent.
func (s *state) prune() {
	s.after(taskPrune, pruneInterval)
	s.pruneSoft()
	if s.lease == nil || !s.lease.loaded {
		return
	}
	s.recordSelf()
	if s.isolated() {
		s.yield()
		return
	}
	if s.storeUp {
		s.removeSilent()
	} else {
		s.reannounce()
	}
	s.scheduleMembers()
	for id, since := range s.lease.gone {
		if time.Since(since) > goneLife {
			delete(s.lease.gone, id)
		}
	}
}

const (
	// membersPerInterval is the number of members that a leader serves in one HeartbeatInterval. A leader of 25 members
	// sends and receives 11.5 KB/s at 1 s; the limit for a node is 14 KB/s.
	membersPerInterval = 25
	// maxStretch bounds the stretching, so that a confirmation of the key roster arrives well within its life of 10 s.
	maxStretch = 4
)

// zoneInterval is the time between heartbeats that keeps this leader's traffic and processor time within its limits.
func (s *state) zoneInterval() time.Duration {
	base := s.cfg.HeartbeatInterval
	stretched := base * time.Duration(len(s.lease.records)) / membersPerInterval
	return min(max(stretched, base), maxStretch*base)
}

// memberTimeout leaves a member as many heartbeats as in a small zone.
func (s *state) memberTimeout() time.Duration {
	return s.cfg.MemberTimeout + 2*(s.zoneInterval()-s.cfg.HeartbeatInterval)
}

// removeSilent drops silent members. The table learns of it by the next commit, nodes after that commit only.
func (s *state) removeSilent() {
	timeout := s.memberTimeout()
	for id, r := range s.lease.records {
		if r.leaving && s.zones[s.self.Zone].holds(r) {
			delete(s.lease.records, id)
			s.lease.gone[id] = time.Now()
			continue
		}
		if time.Since(r.seen) > timeout {
			klog.Infof("zone %s: member %s was silent for %s and is removed", s.self.Zone, id, timeout)
			s.count("member.removed")
			delete(s.lease.records, id)
		}
	}
}

// isolated reports whether all members that this leader heard became silent, which points to the leader's own network.
// Heartbeats are spread over an interval, so the others count as silent after half of the timeout: with the whole
// timeout the first ones would be removed before the last is silent.
func (s *state) isolated() bool {
	timeout := s.memberTimeout()
	others := 0
	expired := false
	for id, r := range s.lease.records {
		if id == s.self.ID || !r.heard {
			continue
		}
		silent := time.Since(r.seen)
		if silent <= timeout/2 {
			return false
		}
		expired = expired || silent > timeout
		others++
	}
	return expired && others >= isolationMembers
}

// yield lets the lease lapse, so that a node which the others can reach takes it.
func (s *state) yield() {
	s.count("lease.yielded")
	s.stepDown()
	s.watch.notBefore = time.Now().Add(2 * s.cfg.LeaseDuration)
}

// reannounce repeats what the table can't hold in an outage, for leaders that could not be reached the first time.
func (s *state) reannounce() {
	left := maxReannounced
	z := s.zones[s.self.Zone]
	for _, id := range sortedKeys(s.lease.records) {
		r := s.lease.records[id]
		if left > 0 && r.joined && !z.holds(r) {
			s.announceRecord(r)
			left--
		}
	}
}
