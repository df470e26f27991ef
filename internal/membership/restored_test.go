package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/timing"
)

// Guards against departures and new members that the copy of a restored store makes forgotten, against a member that the copy
// brings back, and against rows of the new era that lose against those of the former one.
func TestRestoredMembersKeepWhatIsLater(t *testing.T) {
	d := New(Config{Name: "own", View: cluster.NewView(&cluster.Snapshot{}), Metrics: telemetry.New()})
	row := func(name string, version, era uint64, draining bool) platform.FeedRow {
		described := member(name, "shop", "10.0.0.9:1")
		described.Draining = draining
		return platform.FeedRow{Key: name, Version: version, Value: encodeRow(Row{Member: described, Era: era})}
	}
	for _, known := range []platform.FeedRow{row("drained", 95, 0, true), row("joined", 97, 0, false), row("same", 50, 0, false)} {
		d.applyMember(known)
	}
	d.membersVersion = 100
	at := func(counter uint64) uint64 { return platform.EraVersion(1, counter) }
	d.applyRestoredMembers([]platform.FeedRow{
		row("drained", at(90), 0, false), row("removed", at(80), 0, false), row("same", at(50), 0, false),
		row("new", at(91), 1, false), row("ahead", at(101), 0, false),
	}, 1)
	draining := map[string]bool{}
	for name, known := range d.rows {
		draining[name] = known.row.Member.Draining
	}
	assert.DeepEqual(t, draining, map[string]bool{"drained": true, "joined": false, "same": false, "new": false, "ahead": false})
	d.applyMember(row("drained", at(92), 1, false))
	d.applyMember(row("joined", at(93), 1, true))
	d.applyMember(row("joined", 99, 0, false))
	assert.Assert(t, !d.rows["drained"].row.Member.Draining && d.rows["joined"].row.Member.Draining, "rows of the new era hold")
}

// Guards against a list or a withdrawn key that comes back with an older copy, against a proof by a store that has forgotten
// the list in force, and against one by version alone when a version is given out again.
func TestListStaysInForceUntilWrittenAgain(t *testing.T) {
	d := New(Config{View: cluster.NewView(&cluster.Snapshot{}), Metrics: telemetry.New()})
	list := func(version uint64) *servicelist.List { return &servicelist.List{Version: version} }
	confirms := func() bool {
		before := d.relay.proof.at.Load()
		d.confirmList(timing.SinceBoot())
		return d.relay.proof.at.Load() > before
	}
	d.installList(list(6), []byte("six"), 0)
	assert.Assert(t, confirms())
	for _, step := range []struct {
		era, version   uint64
		text           string
		inForce        string
		confirms, full bool
	}{
		{1, 5, "five", "six", false, true},
		{1, 5, "five again", "six", false, false},
		{1, 6, "other six", "other six", true, false},
		{1, 6, "third six", "other six", true, false}, // versions don't repeat within an era
		{2, 6, "other six", "other six", true, true},
		{3, 7, "seven", "seven", true, true},
	} {
		if step.full {
			d.beginListEra(step.era)
		}
		d.installList(list(step.version), []byte(step.text), step.era)
		assert.Equal(t, string(d.currentListText), step.inForce)
		assert.Equal(t, confirms(), step.confirms, "%+v", step)
	}
}

// Guards against an order to evacuate that a restored store forgets, and against one that stays for good.
func TestLostEvacuationIsHeld(t *testing.T) {
	now := time.Unix(1000, 0)
	orders := evacuations{"lost": {version: 5}, "again": {version: 6}, "ended": {version: 7, takenBack: true}}
	orders.replaceAll(true, now)
	orders.apply("again", platform.FeedRow{Version: platform.EraVersion(1, 4)})
	assert.DeepEqual(t, orders.zones(), map[string]bool{"lost": true, "again": true})
	orders.replaceAll(false, now.Add(evacuationHold-1))
	orders.apply("again", platform.FeedRow{Version: platform.EraVersion(1, 4)})
	assert.DeepEqual(t, orders.zones(), map[string]bool{"lost": true, "again": true})
	orders.replaceAll(false, now.Add(evacuationHold))
	assert.Equal(t, len(orders.zones()), 0)
}

// Guards against nodes that lose what they knew when the store comes back from an older copy, against a node that starts then
// and takes the older list from the store, and against rows that are not written again.
func TestRestoredStoreIsFollowed(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startZone(t, feed, "a", "b")
	waitUntilFollowing(t, nodes)
	eventually(t, "both rows are stored", func() bool {
		return nodes[0].directory.OwnRowStored() && nodes[1].directory.OwnRowStored()
	})
	feed.mu.Lock()
	copied := feed.version
	feed.mu.Unlock()
	putList(feed, 2)
	for _, node := range nodes {
		eventually(t, "the list is in force", func() bool { return node.listVersion() == 2 })
	}
	feed.restore(copied)
	for _, node := range nodes {
		eventually(t, "the row is written in the new era", func() bool { return feed.storedRow(node.name).Era == 1 })
		assert.Equal(t, node.listVersion(), uint64(2))
	}
	late := startZone(t, feed, "c")
	nodes = append(nodes, late...)
	eventually(t, "the late node learns the list from its reader", func() bool { return late[0].listVersion() == 2 })
	for _, node := range nodes {
		eventually(t, "the list is not confirmed", node.directory.storeBehind.Load)
	}
	putList(feed, 2)
	for _, node := range nodes {
		eventually(t, "the store has the list again", func() bool { return !node.directory.storeBehind.Load() })
		eventually(t, "the list is confirmed", func() bool { return node.directory.ListConfirmed() < time.Second })
	}
}
