package control

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

// softEntry is a join, drain or departure that the table may not hold yet.
type softEntry struct {
	member  cluster.Member
	leaving bool
	at      time.Time
	base    uint64 // version of the zone's members when the entry was learned
}

// softState holds what a node learned outside the members rows.
type softState struct {
	announced map[string]*softEntry // by member id; from announcements and from heartbeats to an acting leader
	received  []softEntry           // from the leader's last answer
	// receivedVersion is the leader's version of received; version is the version of what this node gives out. Both
	// are compared for equality only and start at random, so that versions of different nodes differ.
	receivedVersion uint64
	version         uint64
}

func newSoftState(random *rand.Rand) softState {
	return softState{announced: map[string]*softEntry{}, version: random.Uint64() | 1}
}

// changedSoft marks the soft state that this node gives out as changed.
func (s *state) changedSoft() {
	s.soft.version++
	s.dirty = true
}

// learn records a member's soft state and reports whether it is new.
func (s *state) learn(info *rpc.MemberInfo) bool {
	m := fromInfo(info)
	if m.ID == s.self.ID || memberName(m.ID) == m.ID {
		return false
	}
	if old := s.soft.announced[m.ID]; old != nil {
		old.at = time.Now()
		if old.leaving || !info.GetLeaving() && (old.member.Draining || old.member == m) {
			return false // departures and drains are not taken back
		}
	}
	s.forgetOlder(m.ID)
	s.soft.announced[m.ID] = &softEntry{member: m, leaving: info.GetLeaving(), at: time.Now(), base: s.zoneVersion(m.Zone)}
	s.changedSoft()
	return true
}

// forgetOlder drops the announced incarnations that id replaces.
func (s *state) forgetOlder(id string) {
	for other := range s.soft.announced {
		if other != id && memberName(other) == memberName(id) {
			delete(s.soft.announced, other)
		}
	}
}

func (s *state) zoneVersion(zone string) uint64 {
	if z := s.zones[zone]; z != nil {
		return z.version
	}
	return 0
}

// pruneSoft drops entries that the members rows have overtaken or should hold by now. Without a leader that reaches the
// store, entries have no end of life, because the rows can't catch up.
func (s *state) pruneSoft() {
	rowsCurrent := s.lease != nil && s.storeUp || s.lease == nil && s.hasLeader()
	for id, e := range s.soft.announced {
		expired := rowsCurrent && time.Since(e.at) > s.cfg.SoftLife
		if expired || s.overtaken(e) {
			delete(s.soft.announced, id)
			s.changedSoft()
		}
	}
}

// overtaken reports whether the zone's members row says the same as the entry, or names a later incarnation.
func (s *state) overtaken(e *softEntry) bool {
	z := s.zones[e.member.Zone]
	if z == nil || z.version == e.base {
		return false
	}
	if at, ok := findMember(z.members, e.member.ID); ok {
		return !e.leaving && (z.members[at].Draining || !e.member.Draining)
	}
	return e.leaving || hasName(z.members, memberName(e.member.ID))
}

// softNow returns the soft state that this node applies and, as a leader or acting leader, gives out.
func (s *state) softNow() []softEntry {
	entries := slices.Clone(s.soft.received)
	for _, e := range s.soft.announced {
		if !s.overtaken(e) {
			entries = append(entries, *e)
		}
	}
	if s.lease != nil {
		entries = append(entries, s.lease.uncommitted(s.zones[s.self.Zone])...)
	}
	slices.SortFunc(entries, func(a, b softEntry) int {
		if a.member.ID != b.member.ID {
			return cmp.Compare(a.member.ID, b.member.ID)
		}
		return a.at.Compare(b.at)
	})
	return entries
}

// applySoft returns the members of a zone with the entries applied.
func applySoft(members []cluster.Member, entries []softEntry) []cluster.Member {
	result := slices.Clone(members)
	for _, e := range entries {
		result = applyEntry(result, e)
	}
	return result
}

func applyEntry(members []cluster.Member, e softEntry) []cluster.Member {
	at, found := findMember(members, e.member.ID)
	if e.leaving {
		if found {
			members = slices.Delete(members, at, at+1)
		}
		return members
	}
	if found {
		members[at].Draining = members[at].Draining || e.member.Draining
		return members
	}
	name := memberName(e.member.ID)
	members = slices.DeleteFunc(members, func(m cluster.Member) bool { return memberName(m.ID) == name })
	at, _ = findMember(members, e.member.ID)
	return slices.Insert(members, at, e.member)
}

// announce tells peers of a member without waiting for their answers.
func (s *state) announce(info *rpc.MemberInfo, addrs []string) {
	for _, addr := range sortedUnique(addrs) {
		if addr == s.self.PeerAddr {
			continue
		}
		s.count("announce.sent")
		client := s.client(addr)
		s.node.helpers.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
			defer cancel()
			_, err := client.Announce(ctx, &rpc.AnnounceRequest{Member: info})
			if err != nil {
				s.cfg.Metrics.Counter("control.announce.failed").Inc(1) // peers also learn from their leader
			}
		})
	}
}

// representatives returns one address in each other zone: its lease holder, or else the lowest known member.
func (s *state) representatives() []string {
	var addrs []string
	for zone, z := range s.zones {
		lease, known := s.table.leases[zone]
		switch {
		case zone == s.self.Zone:
		case known && lease.HolderAddr != "":
			addrs = append(addrs, lease.HolderAddr)
		case len(z.members) > 0:
			addrs = append(addrs, z.members[0].PeerAddr)
		}
	}
	return addrs
}

// onAnnounce records an announcement and passes it on once to the node that shares soft state in this zone.
func (s *state) onAnnounce(info *rpc.MemberInfo) {
	if s.lease != nil && info.GetZone() == s.self.Zone {
		s.record(&rpc.HeartbeatRequest{Self: info}, false)
		return
	}
	if s.learn(info) && s.lease == nil && s.leader.addr != "" {
		s.announce(info, []string{s.leader.addr})
	}
}
