package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Guards against a burst in all regions that sends calls back and forth over the link between regions: the members of
// the own region are full and refuse, while those of the other region look free because nothing is known about them.
func TestStayInRegionWhileMemberIsAvailable(t *testing.T) {
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
		assert.Equal(t, third.Member.ID, far.ID, "stay %v: the own region has no available member", stay)
		pool.Close()
	}
}

// Guards against traffic between zones that saves no time, and against waiting in the own zone longer than the zone
// cost justifies.
func TestCallsLeaveZoneOnlyForShorterWait(t *testing.T) {
	pool := NewPool(Config{
		Service: "shop", Self: cluster.Member{ID: "entry@1", Zone: "a", Region: "r"}, Seed: 1, ZoneCost: 30 * time.Millisecond,
	})
	defer pool.Close()
	pool.Update([]cluster.Member{
		{ID: "near@1", Zone: "a", Region: "r"}, {ID: "next@1", Zone: "b", Region: "r"},
	})
	observe := func(load int) {
		for _, sampled := range []struct {
			id   string
			load int
		}{{"near@1", load}, {"next@1", 0}} {
			pick, err := pool.Pick(Request{Exclude: map[string][]string{"near@1": {"next@1"}, "next@1": {"near@1"}}[sampled.id]})
			assert.NilError(t, err)
			pick.Done(Result{Class: OK, Latency: 100 * time.Millisecond, Sample: &wire.LoadSample{InFlight: sampled.load, Latency: 100 * time.Millisecond}})
		}
	}
	picked := func() string {
		pick, err := pool.Pick(Request{})
		assert.NilError(t, err)
		pick.Done(Result{Class: Cancelled})
		return pick.Member.ID
	}
	observe(4) // higher load, but slots are free
	assert.Equal(t, picked(), "near@1")
	observe(16) // seven requests wait
	assert.Equal(t, picked(), "next@1")
}

// Guards against a pick outside of the allowed regions, whatever the members' state: after refusals, failures and lost
// connections, for first sends and for overflow.
func TestPicksStayInAllowedRegions(t *testing.T) {
	regions := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		pool := NewPool(Config{
			Service: "s", Self: cluster.Member{Region: "a", Zone: "z"}, Seed: 1, StayInRegion: rapid.Bool().Draw(t, "stay"),
			Clock: func() time.Time { return now },
		})
		defer pool.Close()
		var members []cluster.Member
		for i := range rapid.IntRange(1, 6).Draw(t, "members") {
			members = append(members, cluster.Member{ID: fmt.Sprint("n", i, "@1"), Zone: "z", Region: rapid.SampledFrom(regions).Draw(t, "region")})
		}
		pool.Update(members)
		for range rapid.IntRange(1, 30).Draw(t, "picks") {
			request := Request{Overflow: rapid.Bool().Draw(t, "overflow"), Regions: rapid.SliceOfDistinct(rapid.SampledFrom(regions), rapid.ID).Draw(t, "allowed")}
			pick, err := pool.Pick(request)
			hasMember := slices.ContainsFunc(members, func(m cluster.Member) bool { return request.allowsRegion(m.Region) })
			assert.Assert(t, request.Overflow || err == nil == hasMember, "an allowed member is used, even if it looks unhealthy")
			if err != nil {
				continue
			}
			assert.Assert(t, request.allowsRegion(pick.Member.Region), "%v got %v", request.Regions, pick.Member)
			pick.Done(rapid.SampledFrom([]Result{
				{Class: OK}, {Class: Refused, Reason: failure.QueueFull}, {Class: Failed, Reason: failure.ConnectFailed}, {Class: Cancelled},
			}).Draw(t, "result"))
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// Guards against requests that may not be served here and whose refusals elsewhere stop the overflow of all others.
func TestRequestsForAnotherRegionDoNotBlockOverflow(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := NewPool(Config{
		Service: "s", Self: cluster.Member{Region: "a", Zone: "z"}, Seed: 1, StayInRegion: true, Clock: func() time.Time { return now },
	})
	defer pool.Close()
	pool.Update([]cluster.Member{{ID: "near@1", Region: "a", Zone: "z"}, {ID: "far@1", Region: "b", Zone: "y"}})
	for range 5 {
		pick, err := pool.Pick(Request{Regions: []string{"b"}})
		assert.NilError(t, err)
		pick.Done(Result{Class: Refused, Reason: failure.QueueFull})
	}
	now = now.Add(50 * time.Millisecond) // the member accepts requests again; the breaker would stay open for 100 ms
	assert.Assert(t, pool.CanOverflow(nil))
	assert.Assert(t, !pool.CanOverflow([]string{"a"}))
}
