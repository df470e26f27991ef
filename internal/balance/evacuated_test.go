package balance

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
)

// Replays the evacuation of one zone and then of the whole region of a node: requests must leave for the rest of the region,
// then at once for the other region, and return when the orders are taken back.
func TestEvacuatedZonesGetNoRequests(t *testing.T) {
	members := []cluster.Member{newMember(0, "a1", "a"), newMember(1, "a1", "a"), newMember(2, "a2", "a"), newMember(3, "b1", "b")}
	snapshot := &cluster.Snapshot{Members: map[string][]cluster.Member{"s": members}}
	b := newTestbed(snapshot.Candidates("s"), func(c *Config) { c.StayInRegion = true })
	for _, step := range []struct {
		evacuated map[string]bool
		want      map[string]bool
	}{
		{map[string]bool{"a1": true}, map[string]bool{"a2": true}},
		{map[string]bool{"a1": true, "a2": true}, map[string]bool{"b1": true}},
		{map[string]bool{"a2": true}, map[string]bool{"a1": true}},
		{nil, map[string]bool{"a1": true, "a2": true}},
	} {
		snapshot.EvacuatedZones = step.evacuated
		b.pool.Update(snapshot.Candidates("s"))
		for range 20 {
			pick, err := b.pool.Pick(Request{})
			assert.NilError(t, err)
			assert.Assert(t, step.want[pick.Member.Zone], "zone %s with %v evacuated", pick.Member.Zone, step.evacuated)
			pick.Done(Result{Class: OK})
		}
	}
	assert.Assert(t, !members[0].Draining, "the snapshot is not modified")
}
