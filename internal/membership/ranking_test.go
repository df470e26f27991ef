package membership

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/cluster"
)

func noneAvoided(string) bool { return false }

func memberIDs(members []cluster.Member) []string {
	var ids []string
	for _, member := range members {
		ids = append(ids, member.ID)
	}
	return ids
}

// Guards against an outage in which every node of a large group calls the store each second, and against one whose end
// nobody notices soon.
func TestFewNodesRetryLostStoreOften(t *testing.T) {
	var members []cluster.Member
	for i := range 20 {
		members = append(members, cluster.Member{ID: fmt.Sprintf("n%02d", i), Zone: "z", PeerAddr: fmt.Sprint(i), LinkMbps: float64(i % 4)})
	}
	often := 0
	for _, self := range members {
		switch delays := rankReaders(members, self).retryDelays(self.ID); delays {
		case activeRetryDelays:
			often++
		default:
			assert.Equal(t, delays, standbyRetryDelays)
		}
	}
	assert.Equal(t, often, activeReaders)
	assert.Equal(t, rankReaders(nil, members[0]).retryDelays("n00"), activeRetryDelays)
}

// Guards against nodes of a group that rank its relays differently, against a relay in another zone, and against two nodes
// of a region that read the store.
func TestReaderRanking(t *testing.T) {
	node := func(id, zone string, link float64, draining bool) cluster.Member {
		return cluster.Member{ID: id, Zone: zone, PeerAddr: id, LinkMbps: link, Draining: draining}
	}
	members := []cluster.Member{
		node("b", "z", 10, false), node("w", "z", 200, false), node("x", "z", 200, true),
		node("a", "other", 200, false), node("c", "other", 10, false), node("m", "z", 10, false),
	}
	ranking := rankReaders(members, node("m", "z", 10, false))
	assert.DeepEqual(t, memberIDs(ranking.group), []string{"w", "b", "m"})
	assert.DeepEqual(t, memberIDs(ranking.region), []string{"a", "w"})
	for _, c := range []struct {
		self      string
		storeLost bool
		avoided   string
		want      string
		scope     followScope
	}{
		{self: "m", want: "w", scope: scopeGroup},
		{self: "m", avoided: "w", want: "b", scope: scopeGroup},
		{self: "w", want: "a", scope: scopeRegion},
		{self: "w", avoided: "a", want: ""},
		{self: "w", storeLost: true, want: "b", scope: scopeGroup},
		{self: "a", want: ""},
	} {
		ranking := ranking
		if c.self == "a" {
			ranking = rankReaders(members, members[3])
		}
		chosen, ok := ranking.choose(c.self, c.storeLost, func(addr string) bool { return addr == c.avoided })
		assert.Equal(t, ok, c.want != "", "%+v", c)
		assert.Equal(t, chosen.member.ID, c.want, "%+v", c)
		assert.Equal(t, chosen.scope, c.scope, "%+v", c)
	}
}

// Guards against a relay whose number of followers grows with its zone, against nodes that disagree on the groups, and
// against reads of the store that grow with the number of nodes: each region has one reader.
func TestOneReaderForEachRegion(t *testing.T) {
	var all []cluster.Member
	for i := range 400 {
		all = append(all, cluster.Member{
			ID: fmt.Sprintf("n%d@%d", i, i), Zone: fmt.Sprint("z", i%8), Region: fmt.Sprint("r", i%2), PeerAddr: fmt.Sprint(i),
		})
	}
	followers := map[string]int{}
	var readers []string
	for _, self := range all {
		chosen, ok := rankReaders(all, self).choose(self.ID, false, noneAvoided)
		if !ok {
			readers = append(readers, self.ID)
			continue
		}
		followers[chosen.member.ID]++
		next, follows := rankReaders(all, chosen.member).choose(chosen.member.ID, false, noneAvoided)
		assert.Assert(t, !follows || chosen.scope == scopeGroup && next.scope == scopeRegion)
	}
	assert.Equal(t, len(readers), 2)
	for relay, count := range followers {
		assert.Assert(t, count <= 40, "%s has %d followers", relay, count)
	}
}

// Guards against nodes that follow each other in a circle, so that none of them reads the store, when they know different
// members: a chain of accepted followers must end at a node that reads the store.
func TestFollowersNeverFormACircle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []cluster.Member
		for i := range rapid.IntRange(2, 8).Draw(t, "nodes") {
			all = append(all, cluster.Member{ID: fmt.Sprint("n", i), Zone: fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")), PeerAddr: fmt.Sprint("n", i)})
		}
		// The nodes choose one after another, in several rounds, and a node that starts to follow loses followers.
		relays := map[string]*relay{}
		following := map[string]upstream{}
		for _, member := range all {
			relays[member.ID] = newRelay()
			relays[member.ID].beginListRead(time.Hour)
			relays[member.ID].update(&relays[member.ID].members, nil, true, 1)
			relays[member.ID].update(&relays[member.ID].list, nil, true, 1)
			relays[member.ID].setSource(sourceStore)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			self := rapid.SampledFrom(all).Draw(t, "self")
			known := rapid.SliceOfDistinct(rapid.SampledFrom(all), func(m cluster.Member) string { return m.ID }).Draw(t, "known")
			chosen, ok := rankReaders(known, self).choose(self.ID, rapid.Bool().Draw(t, "lost"), noneAvoided)
			if !ok {
				continue
			}
			if ready, _ := relays[chosen.member.ID].followerState(chosen.scope, 1, 1); !ready {
				continue
			}
			relays[self.ID].setSource(chosen.scope.source())
			following[self.ID] = chosen
			for id, stream := range following { // streams end without the source that they need
				if _, _, _, open := relays[stream.member.ID].nextFrame(stream.scope, 1, 1); !open {
					delete(following, id)
					relays[id].setSource(sourceStore)
				}
			}
			for id := range following {
				depth := 0
				for at := id; ; depth++ {
					stream, follows := following[at]
					if !follows {
						break
					}
					assert.Assert(t, depth < 2, "the chain from %s has more than two hops", id)
					at = stream.member.ID
				}
			}
		}
	})
}

// startRegion starts two nodes in each of three zones and waits until all of them follow, by way of their relays, the only
// reader, which is the first node.
func startRegion(t *testing.T, feed *memoryFeed) []*zoneNode {
	t.Helper()
	var nodes []*zoneNode
	for _, zone := range []string{"a", "b", "c"} {
		nodes = append(nodes, startNodes(t, feed, zone, zone+"1", zone+"2")...)
	}
	for _, node := range nodes[1:] {
		want := node.name[:1] + "1@1" // the first node of the zone
		if want == node.name+"@1" {
			want = "a1@1"
		}
		eventually(t, node.name+" follows "+want, func() bool {
			reader, ok := node.directory.Reader()
			return ok && reader.ID == want
		})
	}
	return nodes
}

// Guards against reads of the store by every zone, and against lists that don't reach the nodes behind two relays.
func TestOneNodeOfARegionReadsTheStore(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startRegion(t, feed)
	var before []int64
	for _, node := range nodes {
		before = append(before, node.feed.reads.Load())
	}
	for version := 2; version <= 4; version++ {
		putList(feed, version)
		for _, node := range nodes {
			eventually(t, "the list is in force", func() bool { return node.listVersion() == uint64(version) })
		}
	}
	for i, node := range nodes[1:] {
		assert.Equal(t, node.feed.reads.Load(), before[i+1], node.name)
	}
}

// Guards against nodes behind a relay that keep an old list because the reader of the region froze, lost the store or
// stopped, and against relays that end the streams of their group while they change their own source.
func TestRegionReaderFails(t *testing.T) {
	for name, fail := range map[string]func(*zoneNode){
		"frozen":     func(n *zoneNode) { n.frozen.Store(true) },
		"store lost": func(n *zoneNode) { n.feed.unavailable.Store(true) },
		"node stops": func(n *zoneNode) { n.directory.StopRelay() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			feed := newMemoryFeed()
			putList(feed, 1)
			nodes := startRegion(t, feed)
			reads := nodes[3].feed.reads.Load() // b2, a follower of relay b1
			fail(nodes[0])
			putList(feed, 2)
			for _, node := range nodes[1:] {
				eventually(t, "the list is in force", func() bool { return node.listVersion() == 2 })
			}
			assert.Equal(t, nodes[3].feed.reads.Load(), reads, "a follower of a working relay read the store")
		})
	}
}

// Guards against a follower that reaches a node without the source that it needs.
func TestFollowersNeedASource(t *testing.T) {
	for _, c := range []struct {
		source source
		scope  followScope
		status int
	}{
		{sourceNone, scopeGroup, http.StatusConflict},
		{sourceRegion, scopeGroup, http.StatusOK},
		{sourceRegion, scopeRegion, http.StatusConflict},
		{sourceStore, scopeRegion, http.StatusOK},
		{sourceStore, "", http.StatusOK}, // a node of an earlier version
	} {
		r := newRelay()
		r.beginListRead(time.Hour)
		r.update(&r.members, nil, true, 5)
		r.update(&r.list, nil, true, 5)
		r.setSource(c.source)
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Header.Set(headerMembersVersion, "5")
		request.Header.Set(headerListVersion, "5")
		request.Header.Set(headerFollowScope, string(c.scope))
		response := httptest.NewRecorder()
		time.AfterFunc(50*time.Millisecond, func() { r.setSource(sourceNone) }) // ends the stream
		r.ServeHTTP(response, request)
		assert.Equal(t, response.Code, c.status, "%+v", c)
	}
}

// Guards against extra readers that remain after a reader has lost the store and has it again: it followed the node that
// replaced it, which in turn could not follow it.
func TestReaderReturnsToItsPlace(t *testing.T) {
	t.Parallel()
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startRegion(t, feed)
	nodes[0].feed.unavailable.Store(true)
	putList(feed, 2)
	eventually(t, "the reader follows another node", func() bool {
		_, follows := nodes[0].directory.Reader()
		return follows && nodes[0].listVersion() == 2
	})
	nodes[0].feed.unavailable.Store(false)
	eventually(t, "one node reads the store", func() bool {
		_, follows := nodes[0].directory.Reader()
		for _, node := range nodes[1:] {
			if _, ok := node.directory.Reader(); !ok {
				return false
			}
		}
		return !follows
	})
}
