package keys

import (
	"slices"
	"strings"

	"github.com/acacialock/acacialock/internal/cluster"
)

// Each edit returns the next value of the row, ready to be committed against the version it was made from.

// edited copies the roster for a commit that leaves ownership as it is.
func (r *Roster) edited() *Roster {
	next := r.clone()
	next.Commit++
	return next
}

// reshaped finishes an edit that changed the member set.
func (r *Roster) reshaped() *Roster {
	r.Quorums = append(r.Quorums, Quorum{Version: r.Version, Members: r.memberIDs()})
	if active := r.Active(); len(active) == 1 {
		r.Solo = active[0].ID
	}
	return r
}

// withJoined adds nodes as active members; nodes that are members already keep their entry.
func (r *Roster) withJoined(nodes []cluster.Member) *Roster {
	next := r.edited()
	next.Version++
	for _, node := range nodes {
		if next.member(node.ID) != nil {
			continue
		}
		next.Members = append(next.Members, Member{ID: node.ID, Zone: node.Zone, Region: node.Region,
			PeerAddr: node.PeerAddr, State: StateActive, Joined: next.Version, Since: next.Version})
		slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	}
	return next.reshaped()
}

// withLeaving ends the member's ownership; it stays a member until its records are handed over.
func (r *Roster) withLeaving(id string) *Roster {
	next := r.edited()
	next.Version++
	next.member(id).State = StateLeaving
	return next.reshaped()
}

// withReturned makes a leaving member active again.
func (r *Roster) withReturned(id string) *Roster {
	next := r.edited()
	next.Version++
	next.member(id).State = StateActive
	next.member(id).Since = next.Version
	return next.reshaped()
}

func (r *Roster) without(ids []string) *Roster {
	next := r.edited()
	next.Version++
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return slices.Contains(ids, m.ID) })
	return next
}

// withLeft removes a member whose records are held by others.
func (r *Roster) withLeft(id string) *Roster { return r.without([]string{id}).reshaped() }

// withLost removes members whose records may be gone.
func (r *Roster) withLost(ids []string) *Roster {
	next := r.without(ids)
	for _, id := range ids {
		m := r.member(id)
		next.Lost = append(next.Lost, LostMember{ID: id, Joined: m.Joined, Lost: next.Version, Alone: r.Solo == id})
	}
	return next.reshaped()
}

// withSuspects marks members; the marks carry the commit that set them.
func (r *Roster) withSuspects(ids []string) *Roster {
	next := r.edited()
	for _, id := range ids {
		next.member(id).Suspect = next.Commit
	}
	return next
}

// withCleared removes the member's mark.
func (r *Roster) withCleared(id string) *Roster {
	next := r.edited()
	next.member(id).Suspect = 0
	return next
}

// withActivated records that every member has activated the current version.
func (r *Roster) withActivated() *Roster {
	next := r.edited()
	next.Quorums = []Quorum{{Version: r.Version, Members: r.memberIDs()}}
	next.Solo = ""
	if active := r.Active(); len(active) == 1 {
		next.Solo = active[0].ID
	}
	return next
}

// withoutLost drops lost members whose records have expired everywhere.
func (r *Roster) withoutLost(expired map[LostMember]bool) *Roster {
	next := r.edited()
	next.Lost = slices.DeleteFunc(next.Lost, func(l LostMember) bool { return expired[l] })
	return next
}

// removableSoon reports whether the members that stay are a strict majority of each quorum, so that one of them has
// answered for every promise that a removed member may hold.
func (r *Roster) removableSoon(ids []string) bool {
	rest := r.without(ids)
	for _, quorum := range r.Quorums {
		if !rest.majorityOf(quorum.Members) {
			return false
		}
	}
	return true
}

// historyLost reports whether all records of the key may have been lost with members.
func (r *Roster) historyLost(key string) bool {
	for i, lost := range r.Lost {
		if lost.Alone {
			return true
		}
		if r.overlapsOther(i) && r.mayHaveOwned(lost, key) {
			return true
		}
	}
	return false
}

func (r *Roster) overlapsOther(i int) bool {
	a := r.Lost[i]
	for j, b := range r.Lost {
		if i != j && a.Joined < b.Lost && b.Joined < a.Lost {
			return true
		}
	}
	return false
}

// mayHaveOwned is false when a member that was active throughout the lost member's time outranks it for the key.
func (r *Roster) mayHaveOwned(lost LostMember, key string) bool {
	for _, m := range r.Members {
		if m.State == StateActive && m.Since <= lost.Joined && outranks(m.ID, lost.ID, key) {
			return false
		}
	}
	return true
}
