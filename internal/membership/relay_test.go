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

// countedFeed is one node's connection to the store. It counts reads and can be made unavailable.
type countedFeed struct {
	*memoryFeed
	reads       atomic.Int64
	memberReads atomic.Int64 // reads of the members table
	unavailable atomic.Bool  // reads fail after their wait
}

func (f *countedFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]platform.FeedRow, uint64, error) {
	f.reads.Add(1)
	if table == MembersTable {
		f.memberReads.Add(1)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		rows    []platform.FeedRow
		version uint64
		err     error
	}
	results := make(chan result, 1)
	go func() {
		rows, version, err := f.memoryFeed.Changes(ctx, table, after, wait)
		results <- result{rows, version, err}
	}()
	got := <-results
	if f.unavailable.Load() {
		return nil, 0, &platform.UnavailableError{Operation: "changes", Cause: context.DeadlineExceeded}
	}
	return got.rows, got.version, got.err
}

func (f *countedFeed) ReadAll(ctx context.Context, table string) ([]platform.FeedRow, uint64, error) {
	f.reads.Add(1)
	return f.memoryFeed.ReadAll(ctx, table)
}

// zoneNode is a directory with its peer server.
type zoneNode struct {
	name      string
	feed      *countedFeed
	directory *Directory
	view      *cluster.View
	frozen    atomic.Bool // the server accepts requests but sends no response bytes
}

func (n *zoneNode) listVersion() uint64 {
	if list := n.view.Load().List; list != nil {
		return list.Version
	}
	return 0
}

// frozenWriter discards writes while frozen is set.
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
	// The value exceeds compressionThreshold, so that it is sent compressed.
	value := fmt.Sprintf("%d %s", version, strings.Repeat("rule ", 4000))
	feed.put("op", platform.FeedRow{Key: "config", Value: []byte(value)})
}

// startZone starts nodes of zone a, which are ranked as readers by name.
func startZone(t *testing.T, feed *memoryFeed, names ...string) []*zoneNode {
	t.Helper()
	return startNodes(t, feed, "a", names...)
}

// startNodes starts nodes of a zone of region r.
func startNodes(t *testing.T, feed *memoryFeed, zone string, names ...string) []*zoneNode {
	t.Helper()
	var nodes []*zoneNode
	for _, name := range names {
		node := &zoneNode{name: name, feed: &countedFeed{memoryFeed: feed}}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			node.directory.FollowHandler().ServeHTTP(frozenWriter{w, &node.frozen}, r)
		}))
		self := cluster.Member{ID: name + "@1", Service: "shop", Zone: zone, Region: "r", PeerAddr: server.Listener.Addr().String()}
		node.view = cluster.NewView(&cluster.Snapshot{Self: self})
		client := &http.Client{Transport: &http.Transport{}}
		node.directory = New(Config{
			Name: name, Self: self, Store: node.feed, View: node.view, Metrics: telemetry.New(), Peers: client,
			MaxListAge: 5 * time.Second,
			List: ListSource{Table: "op", Key: "config", EvacuationPrefix: "evacuate/", Parse: func(value []byte) (*servicelist.List, error) {
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
		<-node.directory.MembersLoaded()
		node.directory.Announce(Row{Member: self, Target: TargetStart{ID: "i-" + name, StartedAt: 1}})
		nodes = append(nodes, node)
	}
	return nodes
}

// waitUntilFollowing waits until all other nodes follow the first one.
func waitUntilFollowing(t *testing.T, nodes []*zoneNode) {
	t.Helper()
	for _, node := range nodes[1:] {
		eventually(t, node.name+" follows", func() bool {
			reader, ok := node.directory.Reader()
			return ok && reader.ID == nodes[0].name+"@1"
		})
	}
}

// Guards against store reads that grow with the number of nodes in a zone, and against lists and members that don't reach
// the followers of its reader.
func TestOneNodeOfAZoneReadsTheStore(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startZone(t, feed, "a", "b", "c", "d")
	waitUntilFollowing(t, nodes)
	var before []int64
	for _, node := range nodes {
		before = append(before, node.feed.reads.Load())
	}
	for version := 2; version <= 6; version++ {
		putList(feed, version)
		for _, node := range nodes {
			eventually(t, "the list is in force", func() bool { return node.listVersion() == uint64(version) })
		}
	}
	assert.Assert(t, nodes[0].feed.reads.Load() > before[0])
	for i, node := range nodes[1:] {
		assert.Equal(t, node.feed.reads.Load(), before[i+1], node.name)
		eventually(t, "all members are known", func() bool { return len(node.view.Load().Members["shop"]) == 4 })
	}
}

// Guards against followers that keep an old list because their reader stopped sending while its connections stay open.
func TestFollowersLeaveUnresponsiveReader(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startZone(t, feed, "a", "b", "c")
	waitUntilFollowing(t, nodes)
	nodes[0].frozen.Store(true)
	putList(feed, 2)
	for _, node := range nodes[1:] {
		eventually(t, "the list is in force", func() bool { return node.listVersion() == 2 })
	}
}

// Guards against followers that keep an old list because the store is unreachable from their reader only.
func TestFollowersLeaveReaderThatLostStore(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startZone(t, feed, "a", "b", "c")
	waitUntilFollowing(t, nodes)
	nodes[0].feed.unavailable.Store(true)
	putList(feed, 2)
	for _, node := range nodes[1:] {
		eventually(t, "the list is in force", func() bool { return node.listVersion() == 2 })
	}
	// The former reader, from which the store is unreachable, now follows a node that has the list.
	eventually(t, "the former reader has the list", func() bool { return nodes[0].listVersion() == 2 })
	assert.Assert(t, nodes[0].feed.unavailable.Load())
}

// Guards against a read of the store by every node of a zone whenever the zone's reader changes.
func TestFollowersSwitchReaderWithoutStoreReads(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startZone(t, feed, "b", "c", "d")
	waitUntilFollowing(t, nodes)
	var before []int64
	for _, node := range nodes[1:] {
		before = append(before, node.feed.reads.Load())
	}
	better := startZone(t, feed, "a")
	waitUntilFollowing(t, append(better, nodes...))
	for i, node := range nodes[1:] {
		assert.Equal(t, node.feed.reads.Load(), before[i], node.name)
	}
}

// Guards against repeated calls from both read loops and the row writer of a node while the store is lost, and against a
// loop that keeps waiting after the store has recovered.
func TestOneLoopRetriesLostStore(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startZone(t, feed, "a")
	eventually(t, "the own row is stored", nodes[0].directory.OwnRowStored)
	nodes[0].feed.unavailable.Store(true)
	feed.mu.Lock()
	feed.put(MembersTable, platform.FeedRow{Key: "other", Value: encodeRow(Row{})}) // ends the long poll of the members
	feed.mu.Unlock()
	eventually(t, "the store is lost", func() bool { return nodes[0].directory.StoreLost() && nodes[0].directory.members.readFailed.Load() })
	before := nodes[0].feed.memberReads.Load()
	time.Sleep(time.Second)
	assert.Assert(t, nodes[0].feed.memberReads.Load() <= before+1)
	nodes[0].feed.unavailable.Store(false)
	eventually(t, "the members are read from the store again", func() bool { return !nodes[0].directory.members.readFailed.Load() })
}

// Guards against a stopping node that keeps its followers' streams open, or accepts new followers.
func TestStoppingNodeIsNotFollowed(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startZone(t, feed, "a", "b")
	waitUntilFollowing(t, nodes)
	nodes[0].directory.StopRelay()
	reads := nodes[1].feed.reads.Load()
	eventually(t, "the follower reads the store", func() bool { return nodes[1].feed.reads.Load() > reads })
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.Header.Set(headerMembersVersion, "0")
	request.Header.Set(headerListVersion, "0")
	response := httptest.NewRecorder()
	nodes[0].directory.FollowHandler().ServeHTTP(response, request)
	assert.Equal(t, response.Code, http.StatusConflict)
}

// Guards against a follower that receives an older state than its own, and against requests without valid versions.
func TestRelayRejectsFollowersWithNewerState(t *testing.T) {
	r := newRelay()
	r.beginListRead(time.Hour)
	r.setSource(sourceStore)
	r.update(&r.members, nil, true, 5)
	r.update(&r.list, nil, true, 5)
	for _, c := range []struct {
		members, list string
		status        int
	}{{"6", "5", http.StatusConflict}, {"5", "6", http.StatusConflict}, {"", "5", http.StatusBadRequest}, {"5", "x", http.StatusBadRequest}} {
		request := httptest.NewRequest(http.MethodGet, "/", nil)
		request.Header.Set(headerMembersVersion, c.members)
		request.Header.Set(headerListVersion, c.list)
		response := httptest.NewRecorder()
		r.ServeHTTP(response, request)
		assert.Equal(t, response.Code, c.status)
	}
}

// Guards against followers whose state differs from the reader's after writes, removals, full reads and dropped tombstones,
// from any version that the follower started with.
func TestRelayedStateMatchesReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reader relayTable
		expected := map[string]string{}
		version := uint64(0)
		history := []map[string]string{{}} // expected state by version
		reader.update(nil, true, 0)
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 40).Draw(t, "steps")
		for i, step := range steps {
			version++
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 4).Draw(t, "key"))
			switch {
			case step < 6:
				expected[key] = fmt.Sprintf("v%d", i)
				reader.update([]platform.FeedRow{{Key: key, Version: version, Value: []byte(expected[key])}}, false, version)
			case step < 9:
				delete(expected, key)
				reader.update([]platform.FeedRow{{Key: key, Version: version, Removed: true}}, false, version)
			default:
				var rows []platform.FeedRow
				for key, value := range expected {
					rows = append(rows, platform.FeedRow{Key: key, Version: version, Value: []byte(value)})
				}
				reader.update(rows, true, version)
			}
			history = append(history, maps.Clone(expected))
		}
		have := uint64(rapid.IntRange(0, int(version)).Draw(t, "have"))
		state := maps.Clone(history[have])
		frame := reader.frameSince(have)
		rows, err := frame.feedRows()
		assert.NilError(t, err)
		if frame.Full {
			clear(state)
		}
		for _, row := range rows {
			if row.Removed {
				delete(state, row.Key)
			} else {
				state[row.Key] = string(row.Value)
			}
		}
		assert.DeepEqual(t, state, expected)
		assert.Equal(t, frame.Version, version)
	})
}

// Guards against tombstones that accumulate without limit, and against a follower that misses a removal whose tombstone was
// dropped.
func TestTombstonesAreBounded(t *testing.T) {
	var table relayTable
	table.update(nil, true, 0)
	for i := range maxTombstones + 1 {
		table.update([]platform.FeedRow{{Key: strconv.Itoa(i), Version: uint64(i + 1), Removed: true}}, false, uint64(i+1))
	}
	assert.Equal(t, len(table.rows), 0)
	assert.Assert(t, table.frameSince(5).Full)
}

// Guards against applying a row whose compressed value is corrupt or truncated.
func TestCorruptFramesAreRejected(t *testing.T) {
	valid := newRowFrame(platform.FeedRow{Key: "config", Value: []byte(strings.Repeat("rule ", 4000))})
	assert.Assert(t, valid.Compressed && len(valid.Value) < compressionThreshold)
	for _, value := range [][]byte{nil, []byte("no gzip"), valid.Value[:len(valid.Value)/2]} {
		frame := tableFrame{Rows: []rowFrame{{Key: "config", Value: value, Compressed: true}}}
		_, err := frame.feedRows()
		assert.Assert(t, err != nil)
	}
}

// Guards against a node that learns nothing because it lost the store before it read the row of another node, although that
// one asks to follow it.
func TestNodeWithoutMembersFollowsItsFollower(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	alone := startZone(t, feed, "a")[0]
	alone.feed.unavailable.Store(true)
	startZone(t, feed, "b", "c")
	putList(feed, 2)
	eventually(t, "the list is in force", func() bool { return alone.listVersion() == 2 })
	eventually(t, "all members are known", func() bool { return len(alone.view.Load().Members["shop"]) == 3 })
	assert.Assert(t, alone.feed.unavailable.Load())
}
