package membership

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialock/acacialock/internal/cluster"
)

// maxMeanGroupSize bounds the mean number of nodes that share a relay. A frame has about 140 bytes including TCP and IP
// headers, so that a node with 40 followers sends 14 KB/s while nothing changes. Users allow a node this much control
// traffic. A region of 400 nodes has 16 groups, so its reader has 24 followers in its group and 15 other relays.
const maxMeanGroupSize = 30

// readerRanking holds the members that a node may follow, best first.
type readerRanking struct {
	// group holds the members of the node's group, itself included. The best one relays the tables to the others.
	group []cluster.Member
	// region holds the best member of each group of the node's region. The best one reads the store for the others.
	region []cluster.Member
}

// rankReaders ranks the members that self may follow. All nodes of a region compute the same ranking: by descending link
// bandwidth, since a reader sends the list to all others, then by ID. The nodes of a large zone are divided into groups by
// their names.
func rankReaders(members []cluster.Member, self cluster.Member) readerRanking {
	zoneSizes := map[string]int{} // without the node that asks
	inRegion := []cluster.Member{self}
	for _, member := range members {
		if member.Region == self.Region && !member.Draining && member.ID != self.ID {
			inRegion = append(inRegion, member)
			zoneSizes[member.Zone]++
		}
	}
	slices.SortFunc(inRegion, func(a, b cluster.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.ID, b.ID))
	})
	groupOf := func(member cluster.Member) readerGroup {
		others := zoneSizes[member.Zone]
		if member.Zone != self.Zone {
			others-- // the zone's own nodes don't count themselves
		}
		return newReaderGroup(member, others)
	}
	ownGroup := groupOf(self)
	var ranking readerRanking
	ranked := map[readerGroup]bool{}
	for _, member := range inRegion {
		group := groupOf(member)
		if group == ownGroup {
			ranking.group = append(ranking.group, member)
		}
		if !ranked[group] {
			ranked[group] = true
			ranking.region = append(ranking.region, member)
		}
	}
	return ranking
}

// readerGroup identifies a group of nodes that share a relay.
type readerGroup struct {
	zone   string
	number uint64
}

// newReaderGroup returns the group of a node in a zone with the given number of other nodes. The number depends only on the
// node's name, so that a restarted node stays in its group.
func newReaderGroup(member cluster.Member, others int) readerGroup {
	name, _, _ := strings.Cut(member.ID, "@")
	return readerGroup{member.Zone, xxhash.Sum64String(name) % uint64(others/maxMeanGroupSize+1)}
}

// followScope is the set of nodes for which a reader is followed.
type followScope string

const (
	// scopeGroup followers may follow a node that reads the store, or one that follows a reader of the region.
	scopeGroup followScope = "group"
	// scopeRegion followers relay the tables to their group. They follow only a node that reads the store itself, so that
	// nodes with different rankings can't follow each other in a circle.
	scopeRegion followScope = "region"
)

// upstream is a member to follow, and the scope in which it is followed.
type upstream struct {
	member cluster.Member
	scope  followScope
}

// choose returns the member to follow, or false if this node has to read the store itself. A node that lost the store
// follows any other node, including lower-ranked ones, since the store may fail for this node only.
func (r readerRanking) choose(self string, storeLost bool, avoided func(addr string) bool) (upstream, bool) {
	for _, scope := range []struct {
		members []cluster.Member
		scope   followScope
	}{{r.group, scopeGroup}, {r.region, scopeRegion}} {
		for _, member := range scope.members {
			if member.ID == self {
				if storeLost {
					continue
				}
				break
			}
			if !avoided(member.PeerAddr) {
				return upstream{member, scope.scope}, true
			}
		}
	}
	return upstream{}, false
}

// activeReaders is the number of members of a group that retry a lost store soon.
const activeReaders = 2

// retryDelays bound the delay before a failed read is retried.
type retryDelays struct{ min, max time.Duration }

var (
	activeRetryDelays = retryDelays{minRetryDelay, maxRetryDelay}
	// standbyRetryDelays are those of the other members. They look for a member that has the store again every
	// readerSearchInterval, at no cost.
	standbyRetryDelays = retryDelays{time.Second, 3 * time.Second}
)

// retryDelays returns the delays after which this node reads a store that it has lost again. It answers an outage for all
// nodes: each call is billed, and one node of a group is enough to notice the end.
func (r readerRanking) retryDelays(self string) retryDelays {
	for i, member := range r.group {
		if member.ID == self && i >= activeReaders {
			return standbyRetryDelays
		}
	}
	return activeRetryDelays
}

// nobody avoids no member.
func nobody(string) bool { return false }

// preferred returns the member to follow if none is avoided; the zero value if this node should read the store itself.
func (r readerRanking) preferred(self string) upstream {
	chosen, _ := r.choose(self, false, nobody)
	return chosen
}
