package membership

import (
	"slices"

	"github.com/acacialock/acacialock/internal/cluster"
)

// Hierarchy is the tree in which the nodes collect sums: a node reports to the best member of its group, that one to the
// best member of its region, and those exchange sums. It is the tree in which the tables are relayed. It is immutable.
type Hierarchy struct {
	self     string
	departed bool // the other nodes don't know this one
	own      readerRanking
	others   [][]cluster.Member // ranked members of each other region, by the name of the region
}

// NewHierarchy returns the tree of the members as self sees it. Unlike for the relay of the tables, a member whose target
// drains keeps its rank: its node still serves callers, and each change of the best member loses sums.
func NewHierarchy(members []cluster.Member, self cluster.Member) Hierarchy {
	members = slices.Clone(members)
	listed := false
	for i := range members {
		members[i].Draining = false
		listed = listed || members[i].ID == self.ID
	}
	hierarchy := Hierarchy{self: self.ID, departed: self.Draining && !listed, own: rankReaders(members, self)}
	representatives := map[string]cluster.Member{}
	var regions []string
	for _, member := range members {
		if _, known := representatives[member.Region]; known || member.Region == self.Region {
			continue
		}
		representatives[member.Region] = member
		regions = append(regions, member.Region)
	}
	slices.Sort(regions)
	for _, region := range regions {
		hierarchy.others = append(hierarchy.others, rankReaders(members, representatives[region]).region)
	}
	return hierarchy
}

// Parent returns the best member that isn't avoided and ranks before this node. regional reports that this node is the best
// one of its group, so that the parent must be one without a parent of its own. ok is false if this node is the best one. All
// other members rank before a node whose target has departed, since none of them reports to it.
func (h Hierarchy) Parent(avoided func(addr string) bool) (parent cluster.Member, regional, ok bool) {
	chosen, ok := h.own.choose(h.self, h.departed, avoided)
	return chosen.member, chosen.scope == scopeRegion, ok
}

// Peers returns the best member that isn't avoided of each other region.
func (h Hierarchy) Peers(avoided func(addr string) bool) []cluster.Member {
	var peers []cluster.Member
	for _, ranked := range h.others {
		if i := slices.IndexFunc(ranked, func(member cluster.Member) bool { return !avoided(member.PeerAddr) }); i >= 0 {
			peers = append(peers, ranked[i])
		}
	}
	return peers
}
