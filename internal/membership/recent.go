package membership

import (
	"net/http"
	"net/netip"
	"slices"
	"sync"

	"github.com/acacialock/acacialock/internal/cluster"
)

// Headers of a follower's request, with the ID and the peer address of its member.
const (
	headerFollowerID   = "Acacialock-Follower"
	headerFollowerAddr = "Acacialock-Follower-Addr"
)

const (
	// maxRecentFollowers bounds the recorded followers. One of them that reads the store is enough.
	maxRecentFollowers = 8
	// maxFollowerID is the greatest length in bytes of the ID of a recorded follower.
	maxFollowerID = 256
)

// recentFollowers holds the members that asked last to follow this node, also those that were refused, latest first. They are
// followed in turn by a node that lost the store before it read the rows of others. It is safe for concurrent use.
type recentFollowers struct {
	mu      sync.Mutex
	members []cluster.Member // with ID and PeerAddr only
}

// setFollower names the member that asks in the header of its request.
func setFollower(header http.Header, self cluster.Member) {
	header.Set(headerFollowerID, self.ID)
	header.Set(headerFollowerAddr, self.PeerAddr)
}

// record records the member that a request names. Requests of earlier versions name none.
func (f *recentFollowers) record(header http.Header) {
	asking := cluster.Member{ID: header.Get(headerFollowerID), PeerAddr: header.Get(headerFollowerAddr)}
	if _, err := netip.ParseAddrPort(asking.PeerAddr); err != nil || asking.ID == "" || len(asking.ID) > maxFollowerID || !isHeaderValue(asking.ID) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.DeleteFunc(f.members, func(known cluster.Member) bool { return known.PeerAddr == asking.PeerAddr })
	f.members = slices.Insert(f.members, 0, asking)
	f.members = f.members[:min(len(f.members), maxRecentFollowers)]
}

// choose returns the member that asked last and isn't avoided, or false if there is none.
func (f *recentFollowers) choose(avoided func(addr string) bool) (upstream, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, member := range f.members {
		if !avoided(member.PeerAddr) {
			return upstream{member, scopeGroup}, true
		}
	}
	return upstream{}, false
}
