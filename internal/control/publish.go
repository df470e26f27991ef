package control

import (
	"maps"
	"slices"

	"github.com/acacialock/acacialock/internal/cluster"
)

// publish swaps in a new snapshot when the state behind it changed, and the status when it did.
func (s *state) publish() {
	if s.dirty {
		s.dirty = false
		s.cfg.View.Publish(s.snapshot())
	}
	if now := s.currentStatus(); now != s.node.Status() {
		s.node.status.Store(&now)
	}
}

func (s *state) snapshot() *cluster.Snapshot {
	next := &cluster.Snapshot{Self: s.self, List: s.list.current, Members: map[string][]cluster.Member{}}
	needed := s.needed()
	for _, m := range s.allMembers() {
		if slices.Contains(needed, m.Service) {
			next.Members[m.Service] = append(next.Members[m.Service], m)
		}
	}
	for _, members := range next.Members {
		sortMembers(members)
	}
	return next
}

// allMembers returns the members of all known zones with the soft state applied.
func (s *state) allMembers() []cluster.Member {
	soft := map[string][]softEntry{}
	for _, e := range s.softNow() {
		soft[e.member.Zone] = append(soft[e.member.Zone], e)
	}
	var all []cluster.Member
	for zone, z := range s.zones {
		all = append(all, applySoft(z.members, soft[zone])...)
		delete(soft, zone)
	}
	for _, entries := range soft {
		all = append(all, applySoft(nil, entries)...)
	}
	for i := range all {
		if all[i].ID == s.self.ID {
			all[i] = s.self
		}
	}
	return all
}

func (s *state) currentStatus() Status {
	now := Status{
		Self:        s.self,
		Ready:       s.list.current != nil,
		ListVersion: s.list.version(),
		Leader:      s.lease != nil,
		Epoch:       s.leader.epoch,
		LeaderAddr:  s.leader.addr,
		Acting:      s.leader.acting,
		StoreUp:     s.storeUp,
	}
	if now.Leader {
		now.LeaderAddr = s.self.PeerAddr
	}
	if !s.leader.confirmed && !now.Leader {
		now.LeaderAddr = ""
	}
	for _, members := range s.cfg.View.Load().Members {
		now.Members += len(members)
	}
	return now
}

func allServices(members []cluster.Member) []string {
	var names []string
	for _, m := range members {
		names = append(names, m.Service)
	}
	return sortedUnique(names)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
