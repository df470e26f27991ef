package membership

import (
	"slices"

	"github.com/acacialock/acacialock/internal/cluster"
)

// Hierarchy is the tree in which the nodes collect sums: a node reports to the best member of its group, that one to the
// best member of its region, and those exchange sums. It is the tree in which the tables are relayed. It is immutable.
type Hierarchy struct {
	self     string
	draining bool // the other nodes don't rank this one
	own      readerRanking
	others   [][]cluster.Member // ranked members of each other region, by the name of the region
}

// NewHierarchy returns the tree of the members as self sees it.
func NewHierarchy(members []cluster.Member, self cluster.Member) Hierarchy {
	hierarchy := Hierarchy{self: self.ID, draining: self.Draining, own: rankReaders(members, self)}
	representatives := map[string]cluster.Member{}
	var regions []string
	for _, member := range members {
		if _, known := representatives[member.Region]; known || member.Draining || member.Region == self.Region {
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
// other members rank before a draining node, since none of them reports to it.
func (h Hierarchy) Parent(avoided func(addr string) bool) (parent cluster.Member, regional, ok bool) {
	chosen, ok := h.own.choose(h.self, h.draining, avoided)
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
