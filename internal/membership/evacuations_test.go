package membership

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// Guards against an order that an older row undoes or brings back, against one that stays after a full read that lacks its
// row, and against a row whose key names no zone.
func TestEvacuationsFollowTheirRows(t *testing.T) {
	view := cluster.NewView(&cluster.Snapshot{})
	d := New(Config{View: view, Metrics: telemetry.New(), List: ListSource{
		Key: "config", EvacuationPrefix: "evacuate/", Parse: func([]byte) (*servicelist.List, error) { return &servicelist.List{Version: 1}, nil },
	}})
	order := func(zone string, version uint64, removed bool) platform.FeedRow {
		return platform.FeedRow{Key: "evacuate/" + zone, Version: version, Value: []byte("{}"), Removed: removed}
	}
	for _, step := range []struct {
		rows []platform.FeedRow
		full bool
		want []string
	}{
		{[]platform.FeedRow{{Key: "config", Version: 1}, order("a", 2, false)}, true, []string{"a"}},
		{[]platform.FeedRow{order("", 3, false), order("x/y", 3, false), order("b c", 3, false)}, false, []string{"a"}},
		{[]platform.FeedRow{order("b", 4, false), order("a", 5, true)}, false, []string{"b"}},
		{[]platform.FeedRow{order("a", 2, false), order("b", 3, true)}, false, []string{"b"}},
		{[]platform.FeedRow{order("a", 6, false)}, false, []string{"a", "b"}},
		{[]platform.FeedRow{{Key: "config", Version: 1}, order("b", 4, false)}, true, []string{"b"}},
		{nil, true, nil},
	} {
		d.applyEvacuations(step.rows, step.full, 0)
		d.publish()
		assert.DeepEqual(t, slices.Sorted(maps.Keys(view.Load().EvacuatedZones)), step.want)
	}
	assert.Equal(t, d.config.Metrics.Counter("zone.order-invalid").Count(), int64(3))
}

// Guards against orders that reach the reader of the store only, and against a node that starts without them.
func TestFollowersLearnEvacuations(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startZone(t, feed, "a", "b")
	waitUntilFollowing(t, nodes)
	evacuate := func(removed bool) {
		feed.mu.Lock()
		defer feed.mu.Unlock()
		feed.put("op", platform.FeedRow{Key: "evacuate/z", Value: []byte("{}"), Removed: removed})
		if removed {
			delete(feed.rows["op"], "evacuate/z")
		}
	}
	evacuate(false)
	for _, node := range append(nodes, startZone(t, feed, "c")...) {
		eventually(t, "the zone is evacuated", func() bool { return node.view.Load().EvacuatedZones["z"] })
	}
	evacuate(true)
	for _, node := range nodes {
		eventually(t, "the evacuation is taken back", func() bool { return len(node.view.Load().EvacuatedZones) == 0 })
	}
}
