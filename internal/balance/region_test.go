package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Guards against a burst in all regions that is sent back and forth over the paid link: the own region's members are full
// and refuse, the other region's look free because nothing is known of them.
func TestStayInRegionWhileItAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	near := cluster.Member{ID: "near@1", Region: "north", Zone: "a"}
	far := cluster.Member{ID: "far@1", Region: "south", Zone: "b"}
	for _, stay := range []bool{false, true} {
		pool := NewPool(Config{
			Service: "s", Self: cluster.Member{Region: "north", Zone: "a"}, Seed: 1, StayInRegion: stay,
			Clock: func() time.Time { return now },
		})
		pool.Update([]cluster.Member{near, far})
		first, err := pool.Pick(Request{Region: "north"})
		assert.NilError(t, err)
		first.Done(Result{Class: Refused, Reason: failure.QueueFull, Sample: &wire.LoadSample{InFlight: 9, Queued: 9, Latency: time.Second}})
		_, err = pool.Pick(Request{Exclude: []string{near.ID}})
		assert.Equal(t, err == nil, !stay, "stay %v: the only other member is across the link", stay)

		second, err := pool.Pick(Request{Region: "north"})
		assert.NilError(t, err)
		second.Done(Result{Class: Failed, Reason: failure.ConnectFailed})
		third, err := pool.Pick(Request{})
		assert.NilError(t, err)
		assert.Equal(t, third.Member.ID, far.ID, "stay %v: the own region has no member that answers", stay)
		pool.Close()
	}
}
