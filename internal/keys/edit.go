package keys

import (
	"slices"
	"strings"

	"github.com/acacialock/acacialock/internal/cluster"
)

// Each with... method returns the next value of the roster row, to be committed on condition that the row still has the
// table version from which the value was derived.

// nextCommit returns a copy of the roster with the next commit number and the same version.
func (r *Roster) nextCommit() *Roster {
	next := r.clone()
	next.Commit++
	return next
}

// finishMembershipChange completes an edit that changed the member set: it adds the quorum of the new version and sets
// Solo if only one member is active.
func (r *Roster) finishMembershipChange() *Roster {
	r.Quorums = append(r.Quorums, Quorum{Version: r.Version, Members: r.memberIDs()})
	if active := r.Active(); len(active) == 1 {
		r.Solo = active[0].ID
	}
	return r
}

// withJoined adds nodes as active members; the entries of nodes that are members already stay unchanged.
func (r *Roster) withJoined(nodes []cluster.Member) *Roster {
	next := r.nextCommit()
	next.Version++
	for _, node := range nodes {
		if next.member(node.ID) != nil {
			continue
		}
		next.Members = append(next.Members, Member{ID: node.ID, Zone: node.Zone, Region: node.Region,
			PeerAddr: node.PeerAddr, State: StateActive, Joined: next.Version, Since: next.Version})
		slices.SortFunc(next.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	}
	return next.finishMembershipChange()
}

// withLeaving ends the member's ownership of keys. It stays a member until its records have been handed over.
func (r *Roster) withLeaving(id string) *Roster {
	next := r.nextCommit()
	next.Version++
	next.member(id).State = StateLeaving
	return next.finishMembershipChange()
}

// withReturned makes a leaving member active again.
func (r *Roster) withReturned(id string) *Roster {
	next := r.nextCommit()
	next.Version++
	next.member(id).State = StateActive
	next.member(id).Since = next.Version
	return next.finishMembershipChange()
}

// without removes members; the caller updates the quorums.
func (r *Roster) without(ids []string) *Roster {
	next := r.nextCommit()
	next.Version++
	next.Members = slices.DeleteFunc(next.Members, func(m Member) bool { return slices.Contains(ids, m.ID) })
	return next
}

// withLeft removes a member whose records other members hold.
func (r *Roster) withLeft(id string) *Roster { return r.without([]string{id}).finishMembershipChange() }

// withLost removes members whose records may be lost, and lists them as lost.
func (r *Roster) withLost(ids []string) *Roster {
	next := r.without(ids)
	for _, id := range ids {
		m := r.member(id)
		next.Lost = append(next.Lost, LostMember{ID: id, Joined: m.Joined, Lost: next.Version, Alone: r.Solo == id})
	}
	return next.finishMembershipChange()
}

// withSuspects marks members as suspect; a mark is the number of the commit that set it.
func (r *Roster) withSuspects(ids []string) *Roster {
	next := r.nextCommit()
	for _, id := range ids {
		next.member(id).Suspect = next.Commit
	}
	return next
}

// withCleared removes the member's suspect mark.
func (r *Roster) withCleared(id string) *Roster {
	next := r.nextCommit()
	next.member(id).Suspect = 0
	return next
}

// withActivated records that every member has activated the current version.
func (r *Roster) withActivated() *Roster {
	next := r.nextCommit()
	next.Quorums = []Quorum{{Version: r.Version, Members: r.memberIDs()}}
	next.Solo = ""
	if active := r.Active(); len(active) == 1 {
		next.Solo = active[0].ID
	}
	return next
}

// withoutLost removes entries of lost members whose records have expired at every node.
func (r *Roster) withoutLost(expired map[LostMember]bool) *Roster {
	next := r.nextCommit()
	next.Lost = slices.DeleteFunc(next.Lost, func(l LostMember) bool { return expired[l] })
	return next
}

// canRemoveEarly reports whether the members that remain are a strict majority of each quorum. Then every majority of
// promises that a removed member may hold includes the promise of a remaining member, which installs the new roster
// only after that promise has ended; the others wait for it before they activate the roster.
func (r *Roster) canRemoveEarly(ids []string) bool {
	remaining := r.without(ids)
	for _, quorum := range r.Quorums {
		if !remaining.isMajorityOf(quorum.Members) {
			return false
		}
	}
	return true
}

// historyLost reports whether all records of the key may be lost: a lost member was the only one that held records, or
// a lost member may have owned the key and its membership overlapped with that of another lost member.
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

// overlapsOther reports whether the membership of lost member i overlaps in time with that of another lost member.
func (r *Roster) overlapsOther(i int) bool {
	a := r.Lost[i]
	for j, b := range r.Lost {
		if i != j && a.Joined < b.Lost && b.Joined < a.Lost {
			return true
		}
	}
	return false
}

// mayHaveOwned reports whether the lost member may have owned the key. It did not if a current member that has been
// active since before the lost member joined outranks it for the key.
func (r *Roster) mayHaveOwned(lost LostMember, key string) bool {
	for _, m := range r.Members {
		if m.State == StateActive && m.Since <= lost.Joined && outranks(m.ID, lost.ID, key) {
			return false
		}
	}
	return true
}
