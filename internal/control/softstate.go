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

// softEntry is a join, drain or departure that the table may not contain yet.
type softEntry struct {
	member      cluster.Member
	leaving     bool
	updatedAt   time.Time // last time the entry was received
	baseVersion uint64    // version of the zone's members when the entry was created
}

// softState holds the membership changes that a node received by other means than the members rows.
type softState struct {
	announced map[string]*softEntry // by member id; from announcements and from heartbeats to an acting leader
	received  []softEntry           // from the last response of the leader
	// receivedVersion is the version that the leader gave for received. version is the version of the soft state that
	// this node distributes. They are only compared for equality; version starts at a random value so that the versions
	// of different nodes differ.
	receivedVersion uint64
	version         uint64
}

// newSoftState returns empty soft state with a random version, which is never 0.
func newSoftState(random *rand.Rand) softState {
	return softState{announced: map[string]*softEntry{}, version: random.Uint64() | 1}
}

// markSoftStateChanged increments the version of the distributed soft state and marks the snapshot as outdated.
func (s *state) markSoftStateChanged() {
	s.soft.version++
	s.dirty = true
}

// recordSoftState records a join, drain or departure and reports whether it is new. It ignores this node itself and ids
// without an incarnation.
func (s *state) recordSoftState(info *rpc.MemberInfo) bool {
	m := memberFromInfo(info)
	if m.ID == s.self.ID || memberName(m.ID) == m.ID {
		return false
	}
	if old := s.soft.announced[m.ID]; old != nil {
		old.updatedAt = time.Now()
		if old.leaving || !info.GetLeaving() && (old.member.Draining || old.member == m) {
			return false // departures and drains are not reverted
		}
	}
	s.removeOldAnnouncements(m.ID)
	s.soft.announced[m.ID] = &softEntry{member: m, leaving: info.GetLeaving(),
		updatedAt: time.Now(), baseVersion: s.zoneVersion(m.Zone)}
	s.markSoftStateChanged()
	return true
}

// removeOldAnnouncements removes the entries of other incarnations of id's node.
func (s *state) removeOldAnnouncements(id string) {
	for other := range s.soft.announced {
		if other != id && memberName(other) == memberName(id) {
			delete(s.soft.announced, other)
		}
	}
}

// zoneVersion returns the known version of a zone's members; 0 if the zone is unknown or its members are incomplete.
func (s *state) zoneVersion(zone string) uint64 {
	if z := s.zones[zone]; z != nil {
		return z.version
	}
	return 0
}

// pruneSoft removes entries that are superseded by the members rows or older than SoftStateTTL. Entries do not expire
// while no leader reaches the store, because the rows can't be updated then.
func (s *state) pruneSoft() {
	rowsCurrent := s.lease != nil && s.storeUp || s.lease == nil && s.hasLeader()
	for id, e := range s.soft.announced {
		expired := rowsCurrent && time.Since(e.updatedAt) > s.cfg.SoftStateTTL
		if expired || s.superseded(e) {
			delete(s.soft.announced, id)
			s.markSoftStateChanged()
		}
	}
}

// superseded reports whether a members row read after the entry was created already reflects the entry or contains
// another incarnation of its node.
func (s *state) superseded(e *softEntry) bool {
	z := s.zones[e.member.Zone]
	if z == nil || z.version == e.baseVersion {
		return false
	}
	if at, ok := findMember(z.members, e.member.ID); ok {
		return !e.leaving && (z.members[at].Draining || !e.member.Draining)
	}
	return e.leaving || containsName(z.members, memberName(e.member.ID))
}

// effectiveSoftState returns the entries that this node applies and, as a leader or acting leader, distributes. They
// are sorted by member id, then by time.
func (s *state) effectiveSoftState() []softEntry {
	entries := slices.Clone(s.soft.received)
	for _, e := range s.soft.announced {
		if !s.superseded(e) {
			entries = append(entries, *e)
		}
	}
	if s.lease != nil {
		entries = append(entries, s.lease.uncommittedChanges(s.zones[s.self.Zone])...)
	}
	slices.SortFunc(entries, func(a, b softEntry) int {
		if a.member.ID != b.member.ID {
			return cmp.Compare(a.member.ID, b.member.ID)
		}
		return a.updatedAt.Compare(b.updatedAt)
	})
	return entries
}

// applySoftEntries returns a copy of a zone's members with the entries applied in order.
func applySoftEntries(members []cluster.Member, entries []softEntry) []cluster.Member {
	result := slices.Clone(members)
	for _, e := range entries {
		result = applySoftEntry(result, e)
	}
	return result
}

// applySoftEntry applies one entry to members, which it may modify. A new member replaces other incarnations of its
// node.
func applySoftEntry(members []cluster.Member, e softEntry) []cluster.Member {
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

// announce sends an announcement about a member to the peers, without waiting for their responses.
func (s *state) announce(info *rpc.MemberInfo, addrs []string) {
	for _, addr := range sortedUnique(addrs) {
		if addr == s.self.PeerAddr {
			continue
		}
		s.incrementCounter("announce.sent")
		client := s.client(addr)
		s.node.background.Go(func() {
			ctx, cancel := context.WithTimeout(s.ctx, s.cfg.CallTimeout)
			defer cancel()
			_, err := client.Announce(ctx, &rpc.AnnounceRequest{Member: info})
			if err != nil {
				// Not retried: peers also receive the change from their leader.
				s.cfg.Metrics.Counter("control.announce.failed").Inc(1)
			}
		})
	}
}

// representatives returns one address for each other zone: its lease holder or, if unknown, the member with the lowest
// id.
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

// handleAnnounce records an announcement. A node that is not the leader forwards a new one to its leader or acting
// leader.
func (s *state) handleAnnounce(info *rpc.MemberInfo) {
	if s.lease != nil && info.GetZone() == s.self.Zone {
		s.recordMember(&rpc.HeartbeatRequest{Self: info}, false)
		return
	}
	if s.recordSoftState(info) && s.lease == nil && s.leader.addr != "" {
		s.announce(info, []string{s.leader.addr})
	}
}
