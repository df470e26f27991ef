package control

import (
	"maps"
	"slices"

	"github.com/acacialock/acacialock/internal/cluster"
)

// publish publishes a new snapshot if the state is dirty, and the status if it changed.
func (s *state) publish() {
	if s.dirty {
		s.dirty = false
		s.cfg.View.Publish(s.snapshot())
	}
	if status := s.currentStatus(); status != s.node.Status() {
		s.node.status.Store(&status)
	}
}

// snapshot returns the members of the needed services and the list in force as a new snapshot.
func (s *state) snapshot() *cluster.Snapshot {
	snapshot := &cluster.Snapshot{Self: s.self, List: s.list.current, Members: map[string][]cluster.Member{}}
	needed := s.neededServices()
	for _, m := range s.allMembers() {
		if slices.Contains(needed, m.Service) {
			snapshot.Members[m.Service] = append(snapshot.Members[m.Service], m)
		}
	}
	for _, members := range snapshot.Members {
		sortMembers(members)
	}
	return snapshot
}

// allMembers returns the members of all known zones with soft state applied, in no particular order.
func (s *state) allMembers() []cluster.Member {
	soft := map[string][]softEntry{}
	for _, e := range s.effectiveSoftState() {
		soft[e.member.Zone] = append(soft[e.member.Zone], e)
	}
	var all []cluster.Member
	for zone, z := range s.zones {
		all = append(all, applySoftEntries(z.members, soft[zone])...)
		delete(soft, zone)
	}
	for _, entries := range soft {
		all = append(all, applySoftEntries(nil, entries)...)
	}
	for i := range all {
		if all[i].ID == s.self.ID {
			all[i] = s.self
		}
	}
	return all
}

func (s *state) currentStatus() Status {
	status := Status{
		Self:        s.self,
		Ready:       s.list.current != nil,
		ListVersion: s.list.version(),
		Leader:      s.lease != nil,
		Epoch:       s.leader.epoch,
		LeaderAddr:  s.leader.addr,
		Acting:      s.leader.acting,
		StoreUp:     s.storeUp,
	}
	if status.Leader {
		status.LeaderAddr = s.self.PeerAddr
	}
	if !s.leader.confirmed && !status.Leader {
		status.LeaderAddr = ""
	}
	for _, members := range s.cfg.View.Load().Members {
		status.Members += len(members)
	}
	return status
}

// serviceNames returns the sorted names of the members' services.
func serviceNames(members []cluster.Member) []string {
	var names []string
	for _, m := range members {
		names = append(names, m.Service)
	}
	return sortedUnique(names)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
