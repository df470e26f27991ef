package membership

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// countedFeed is one node's way to the store; it counts the reads and can be cut off.
type countedFeed struct {
	*memoryFeed
	reads   atomic.Int64
	members atomic.Int64 // those of the members
	cut     atomic.Bool  // reads get no answer within their wait
}

func (f *countedFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]platform.FeedRow, uint64, error) {
	f.reads.Add(1)
	if table == MembersTable {
		f.members.Add(1)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		rows    []platform.FeedRow
		version uint64
		err     error
	}
	answers := make(chan answer, 1)
	go func() {
		rows, version, err := f.memoryFeed.Changes(ctx, table, after, wait)
		answers <- answer{rows, version, err}
	}()
	got := <-answers
	if f.cut.Load() {
		return nil, 0, &platform.UnavailableError{Operation: "changes", Cause: context.DeadlineExceeded}
	}
	return got.rows, got.version, got.err
}

func (f *countedFeed) ReadAll(ctx context.Context, table string) ([]platform.FeedRow, uint64, error) {
	f.reads.Add(1)
	return f.memoryFeed.ReadAll(ctx, table)
}

// zoneNode is a directory with its peer listener.
type zoneNode struct {
	name      string
	feed      *countedFeed
	directory *Directory
	view      *cluster.View
	frozen    atomic.Bool // the listener takes requests and answers nothing more
}

func (n *zoneNode) list() uint64 {
	if list := n.view.Load().List; list != nil {
		return list.Version
	}
	return 0
}

// frozenWriter drops what a frozen node writes.
type frozenWriter struct {
	http.ResponseWriter
	frozen *atomic.Bool
}

func (w frozenWriter) Write(data []byte) (int, error) {
	if w.frozen.Load() {
		return len(data), nil
	}
	return w.ResponseWriter.Write(data)
}

func (w frozenWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func putList(feed *memoryFeed, version int) {
	feed.mu.Lock()
	defer feed.mu.Unlock()
	// A list above packAbove travels compressed.
	value := fmt.Sprintf("%d %s", version, strings.Repeat("rule ", 4000))
	feed.put("op", platform.FeedRow{Key: "config", Value: []byte(value)})
}

// newZone starts nodes of one zone, which rank by their names.
func newZone(t *testing.T, feed *memoryFeed, names ...string) []*zoneNode {
	t.Helper()
	var nodes []*zoneNode
	for _, name := range names {
		node := &zoneNode{name: name, feed: &countedFeed{memoryFeed: feed}}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			node.directory.FollowHandler().ServeHTTP(frozenWriter{w, &node.frozen}, r)
		}))
		self := cluster.Member{ID: name + "@1", Service: "shop", Zone: "a", Region: "r", PeerAddr: server.Listener.Addr().String()}
		node.view = cluster.NewView(&cluster.Snapshot{Self: self})
		client := &http.Client{Transport: &http.Transport{}}
		node.directory = New(Config{
			Name: name, Self: self, Store: node.feed, View: node.view, Metrics: telemetry.New(), Peers: client,
			List: ListSource{Table: "op", Key: "config", Parse: func(value []byte) (*servicelist.List, error) {
				number, _, _ := strings.Cut(string(value), " ")
				version, err := strconv.ParseUint(number, 10, 64)
				return &servicelist.List{Version: version}, err
			}},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- node.directory.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.NilError(t, <-done)
			client.CloseIdleConnections()
			server.CloseClientConnections()
			server.Close()
		})
		<-node.directory.Loaded()
		node.directory.Announce(Row{Member: self, Target: TargetBoot{ID: "i-" + name, Born: 1}})
		nodes = append(nodes, node)
	}
	return nodes
}

// untilFollowing waits until all but the first node follow it.
func untilFollowing(t *testing.T, nodes []*zoneNode) {
	t.Helper()
	for _, node := range nodes[1:] {
		eventually(t, node.name+" follows", func() bool {
			reader, ok := node.directory.Reader()
			return ok && reader.ID == nodes[0].name+"@1"
		})
	}
}

// Guards against reads of the store that grow with the nodes of a zone, and against lists and members that don't reach those
// who follow its reader.
func TestOneNodeOfAZoneReadsTheStore(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := newZone(t, feed, "a", "b", "c", "d")
	untilFollowing(t, nodes)
	var before []int64
	for _, node := range nodes {
		before = append(before, node.feed.reads.Load())
	}
	for version := 2; version <= 6; version++ {
		putList(feed, version)
		for _, node := range nodes {
			eventually(t, "the list is in force", func() bool { return node.list() == uint64(version) })
		}
	}
	assert.Assert(t, nodes[0].feed.reads.Load() > before[0])
	for i, node := range nodes[1:] {
		assert.Equal(t, node.feed.reads.Load(), before[i+1], node.name)
		eventually(t, "all members are known", func() bool { return len(node.view.Load().Members["shop"]) == 4 })
	}
}

// Guards against followers that keep an old list because their reader went silent: its connections stay open.
func TestFollowersLeaveASilentReader(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := newZone(t, feed, "a", "b", "c")
	untilFollowing(t, nodes)
	nodes[0].frozen.Store(true)
	putList(feed, 2)
	for _, node := range nodes[1:] {
		eventually(t, "the list is in force", func() bool { return node.list() == 2 })
	}
}

// Guards against followers that keep an old list because their reader lost the store and they did not.
func TestFollowersLeaveAReaderThatLostTheStore(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := newZone(t, feed, "a", "b", "c")
	untilFollowing(t, nodes)
	nodes[0].feed.cut.Store(true)
	putList(feed, 2)
	for _, node := range nodes[1:] {
		eventually(t, "the list is in force", func() bool { return node.list() == 2 })
	}
	// The one that lost the store gets the list from those who have it.
	eventually(t, "the former reader has the list", func() bool { return nodes[0].list() == 2 })
	assert.Assert(t, nodes[0].feed.cut.Load())
}

// Guards against calls to the store by all nodes of a zone each time that its reader changes.
func TestFollowersMoveOnWithoutTheStore(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := newZone(t, feed, "b", "c", "d")
	untilFollowing(t, nodes)
	var before []int64
	for _, node := range nodes[1:] {
		before = append(before, node.feed.reads.Load())
	}
	better := newZone(t, feed, "a")
	untilFollowing(t, append(better, nodes...))
	for i, node := range nodes[1:] {
		assert.Equal(t, node.feed.reads.Load(), before[i], node.name)
	}
}

// Guards against a lost store that is asked by both followers and the writer of a node, and against a writer that goes on
// to wait when the store is back.
func TestLostStoreIsAskedOnce(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := newZone(t, feed, "a")
	eventually(t, "the own row is stored", nodes[0].directory.Announced)
	nodes[0].feed.cut.Store(true)
	feed.mu.Lock()
	feed.put(MembersTable, platform.FeedRow{Key: "other", Value: encodeRow(Row{})}) // ends the read of the members
	feed.mu.Unlock()
	eventually(t, "the store is lost", func() bool { return nodes[0].directory.StoreLost() && nodes[0].directory.members.lost.Load() })
	before := nodes[0].feed.members.Load()
	time.Sleep(time.Second)
	assert.Assert(t, nodes[0].feed.members.Load() <= before+1)
	nodes[0].feed.cut.Store(false)
	eventually(t, "the store is found", func() bool { return !nodes[0].directory.members.lost.Load() })
}

// Guards against a node that ends and holds up those who follow it, or is followed again while it ends.
func TestStoppingNodeIsNotFollowed(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := newZone(t, feed, "a", "b")
	untilFollowing(t, nodes)
	nodes[0].directory.StopServing()
	reads := nodes[1].feed.reads.Load()
	eventually(t, "the follower reads the store", func() bool { return nodes[1].feed.reads.Load() > reads })
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.Header.Set(headerMembersVersion, "0")
	request.Header.Set(headerListVersion, "0")
	answer := httptest.NewRecorder()
	nodes[0].directory.FollowHandler().ServeHTTP(answer, request)
	assert.Equal(t, answer.Code, http.StatusConflict)
}

// Guards against a follower that takes over an older state, and against requests that name no state.
func TestRelayRefusesWhoKnowsMore(t *testing.T) {
	r := newRelay()
	r.beginRead(time.Hour)
	r.setReading(true)
	r.take(&r.members, nil, true, 5)
	r.take(&r.list, nil, true, 5)
	for _, c := range []struct {
		members, list string
		status        int
	}{{"6", "5", http.StatusConflict}, {"5", "6", http.StatusConflict}, {"", "5", http.StatusBadRequest}, {"5", "x", http.StatusBadRequest}} {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Header.Set(headerMembersVersion, c.members)
		request.Header.Set(headerListVersion, c.list)
		answer := httptest.NewRecorder()
		r.ServeHTTP(answer, request)
		assert.Equal(t, answer.Code, c.status)
	}
}

// Guards against followers whose state differs from the reader's after writes, removals, whole reads, forgotten removals and
// any state that the follower began with.
func TestRelayedStateIsTheReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reader relayTable
		truth := map[string]string{}
		version := uint64(0)
		history := []map[string]string{{}} // by version
		reader.take(nil, true, 0)
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 40).Draw(t, "steps")
		for i, step := range steps {
			version++
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key"))
			switch {
			case step < 6:
				truth[key] = fmt.Sprintf("v%d", i)
				reader.take([]platform.FeedRow{{Key: key, Version: version, Value: []byte(truth[key])}}, false, version)
			case step < 9:
				delete(truth, key)
				reader.take([]platform.FeedRow{{Key: key, Version: version, Removed: true}}, false, version)
			default:
				var rows []platform.FeedRow
				for key, value := range truth {
					rows = append(rows, platform.FeedRow{Key: key, Version: version, Value: []byte(value)})
				}
				reader.take(rows, true, version)
			}
			history = append(history, maps.Clone(truth))
		}
		have := uint64(rapid.IntRange(0, int(version)).Draw(t, "have"))
		state := maps.Clone(history[have])
		frame := reader.since(have)
		rows, err := frame.unpack()
		assert.NilError(t, err)
		if frame.Whole {
			clear(state)
		}
		for _, row := range rows {
			if row.Removed {
				delete(state, row.Key)
			} else {
				state[row.Key] = string(row.Value)
			}
		}
		assert.DeepEqual(t, state, truth)
		assert.Equal(t, frame.Version, version)
	})
}

// Guards against removals that a reader remembers for ever, and against a follower that misses a forgotten one.
func TestRemovalsAreForgotten(t *testing.T) {
	var table relayTable
	table.take(nil, true, 0)
	for i := range maxTombstones + 1 {
		table.take([]platform.FeedRow{{Key: strconv.Itoa(i), Version: uint64(i + 1), Removed: true}}, false, uint64(i+1))
	}
	assert.Equal(t, len(table.rows), 0)
	assert.Assert(t, table.since(5).Whole)
}

// Guards against a damaged value that is taken over.
func TestDamagedFramesAreRefused(t *testing.T) {
	whole := packed(platform.FeedRow{Key: "config", Value: []byte(strings.Repeat("rule ", 4000))})
	assert.Assert(t, whole.Packed && len(whole.Value) < packAbove)
	for _, value := range [][]byte{nil, []byte("no gzip"), whole.Value[:len(whole.Value)/2]} {
		frame := tableFrame{Rows: []rowFrame{{Key: "config", Value: value, Packed: true}}}
		_, err := frame.unpack()
		assert.Assert(t, err != nil)
	}
}

// Guards against nodes of a zone that rank its readers in different ways, and against a reader in another zone.
func TestCandidates(t *testing.T) {
	node := func(id, zone string, link float64, draining bool) cluster.Member {
		return cluster.Member{ID: id, Zone: zone, PeerAddr: id, LinkMbps: link, Draining: draining}
	}
	self := node("m", "z", 10, false)
	ranked := candidates([]cluster.Member{
		node("b", "z", 10, false), node("w", "z", 200, false), node("x", "z", 200, true), node("a", "other", 200, false),
	}, self)
	var ids []string
	for _, member := range ranked {
		ids = append(ids, member.ID)
	}
	assert.DeepEqual(t, ids, []string{"w", "b", "m"})
	none := func(string) bool { return false }
	reader, ok := chooseReader(ranked, "m", false, none)
	assert.Assert(t, ok && reader.ID == "w")
	reader, ok = chooseReader(ranked, "m", false, func(addr string) bool { return addr == "w" })
	assert.Assert(t, ok && reader.ID == "b")
	_, ok = chooseReader(ranked, "m", false, func(string) bool { return true })
	assert.Assert(t, !ok)
	_, ok = chooseReader(ranked, "w", false, none)
	assert.Assert(t, !ok)
	reader, ok = chooseReader(ranked, "w", true, none)
	assert.Assert(t, ok && reader.ID == "b")
}

// Guards against a reader whose frames grow with its zone, and against nodes that disagree on the groups of a large one.
func TestLargeZonesHaveSeveralReaders(t *testing.T) {
	var all []cluster.Member
	for i := range 100 {
		all = append(all, cluster.Member{ID: fmt.Sprintf("n%d@%d", i, i), Zone: "z", PeerAddr: fmt.Sprint(i)})
	}
	followers := map[string]int{}
	for _, self := range all {
		ranked := candidates(all, self)
		reader, ok := chooseReader(ranked, self.ID, false, func(string) bool { return false })
		if ok {
			followers[reader.ID]++
			_, follows := chooseReader(candidates(all, reader), reader.ID, false, func(string) bool { return false })
			assert.Assert(t, !follows, "the reader of %s follows another node", self.ID)
		}
	}
	assert.Equal(t, len(followers), 3)
	for reader, count := range followers {
		assert.Assert(t, count > 20 && count < 50, "%s has %d", reader, count)
	}
}
