package balance

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// TestMain fixes the seed of the property tests. A -rapid.seed flag on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testbed is a pool with a clock controlled by the test.
type testbed struct {
	pool *Pool
	now  time.Time
}

func newTestbed(members []cluster.Member, configure func(*Config)) *testbed {
	b := &testbed{now: time.Unix(5000, 0)}
	config := Config{
		Service: "s", Self: cluster.Member{Zone: "a1", Region: "a"}, Seed: 9,
		Clock: func() time.Time { return b.now },
	}
	if configure != nil {
		configure(&config)
	}
	b.pool = NewPool(config)
	b.pool.Update(members)
	return b
}

func newMember(i int, zone, region string) cluster.Member {
	return cluster.Member{ID: fmt.Sprintf("m%02d@1", i), Service: "s", Zone: zone, Region: region}
}

func sameZoneMembers(n int) []cluster.Member {
	var members []cluster.Member
	for i := range n {
		members = append(members, newMember(i, "a1", "a"))
	}
	return members
}

func (b *testbed) state(id string) *memberState {
	i := slices.IndexFunc(b.pool.states, func(p *memberState) bool { return p.member.ID == id })
	return b.pool.states[i]
}

// call makes one call that takes latencyOf of the selected member; a negative latency makes it fail. It returns the
// member's id.
func (b *testbed) call(t assert.TestingT, latencyOf func(id string) time.Duration) string {
	pick, err := b.pool.Pick(Request{})
	assert.NilError(t, err)
	latency := latencyOf(pick.Member.ID)
	if latency < 0 {
		b.now = b.now.Add(time.Millisecond)
		pick.Done(Result{Class: Failed, Reason: failure.ConnectFailed})
		return pick.Member.ID
	}
	b.now = b.now.Add(latency)
	pick.Done(Result{Latency: latency, Sample: &wire.LoadSample{InFlight: 1, Latency: 10 * time.Millisecond}})
	return pick.Member.ID
}

var zones = []string{"a1", "a2", "b1", "b2"}

func drawMembers(t *rapid.T) []cluster.Member {
	var members []cluster.Member
	for i := range rapid.IntRange(0, 8).Draw(t, "members") {
		zone := rapid.SampledFrom(zones).Draw(t, "zone")
		next := newMember(rapid.IntRange(0, 1).Draw(t, "generation")*100+i, zone, zone[:1])
		next.Draining = rapid.IntRange(0, 4).Draw(t, "drains") == 0
		members = append(members, next)
	}
	return members
}

func drawResult(t *rapid.T) Result {
	result := Result{
		Class:   Class(rapid.IntRange(0, 3).Draw(t, "class")),
		Latency: time.Duration(rapid.IntRange(0, 500).Draw(t, "latency")) * time.Millisecond,
	}
	if result.Class == Refused {
		reasons := []failure.Reason{failure.Draining, failure.QueueFull, failure.WrongIncarnation, failure.Quarantined}
		result.Reason = rapid.SampledFrom(reasons).Draw(t, "reason")
	}
	if rapid.Bool().Draw(t, "sampled") {
		result.Sample = &wire.LoadSample{
			InFlight: rapid.IntRange(0, 9).Draw(t, "in flight"),
			Queued:   rapid.IntRange(0, 9).Draw(t, "queued"),
			Latency:  time.Duration(rapid.IntRange(0, 300).Draw(t, "sampled latency")) * time.Millisecond,
			Draining: result.Reason == failure.Draining || rapid.IntRange(0, 9).Draw(t, "sample drains") == 0,
		}
	}
	return result
}

// Guards against picks of draining, tried or excluded members, a refusal while a member is allowed, more than a third
// of the members ejected, and in-flight counts that drift, in any order of events.
func TestPoolInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestbed(drawMembers(t), nil)
		var open []Pick
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				b.now = b.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"members change": func(t *rapid.T) { b.pool.Update(drawMembers(t)) },
			"pick": func(t *rapid.T) {
				if pick, ok := checkedPick(t, b); ok {
					open = append(open, pick)
				}
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					return
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "attempt")
				result := drawResult(t)
				open[i].Done(result)
				open[i].Done(result)
				open = slices.Delete(open, i, i+1)
			},
			"": func(t *rapid.T) {
				ejected, members := b.pool.countEjected()
				assert.Assert(t, 3*ejected <= members, "%d of %d ejected", ejected, members)
			},
		})
		for _, pick := range open {
			pick.Done(Result{Class: Cancelled})
		}
		for _, state := range b.pool.states {
			assert.Equal(t, state.inFlight, 0)
		}
	})
}

// checkedPick picks with a random request and compares the result with the members that the request allows.
func checkedPick(t *rapid.T, b *testbed) (Pick, bool) {
	request := Request{Region: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "region")}
	allowed := map[string]bool{}
	for _, state := range b.pool.states {
		id := state.member.ID
		if rapid.IntRange(0, 3).Draw(t, "tried") == 0 {
			request.Exclude = append(request.Exclude, id)
			continue
		}
		inRegion := request.Region == "" || state.member.Region == request.Region
		allowed[id] = inRegion && !state.member.Draining && !state.draining
	}
	if len(b.pool.states) > 0 && rapid.Bool().Draw(t, "keyed") {
		request.Avoid = b.pool.states[0].member.ID
		allowed[request.Avoid] = false
	}
	pick, err := b.pool.Pick(request)
	if err != nil {
		assert.Equal(t, failure.As(err).Reason, failure.NoTarget)
		assert.Equal(t, failure.As(err).Outcome, failure.NotRun)
		for id, isAllowed := range allowed {
			assert.Assert(t, !isAllowed, "%s was allowed", id)
		}
		return Pick{}, false
	}
	assert.Assert(t, allowed[pick.Member.ID], "%s was not allowed", pick.Member.ID)
	return pick, true
}

// Guards against a sample that attracts picks indefinitely, and against one that is used for too long: an old sample
// must not keep a recovered straggler idle.
func TestSampleWeightDecays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestbed(sameZoneMembers(rapid.IntRange(2, 9).Draw(t, "members")), nil)
		for _, state := range b.pool.states {
			load := rapid.IntRange(0, 18).Draw(t, "load")
			latency := time.Duration(rapid.IntRange(1, 500).Draw(t, "latency")) * time.Millisecond
			state.recordSample(wire.LoadSample{InFlight: load, Latency: latency}, b.now)
		}
		b.pool.updateFleetStats(b.now)
		drawn := rapid.IntRange(0, len(b.pool.states)-1).Draw(t, "member")
		used := b.pool.states[drawn]
		for range maxSamplePicks {
			used.startAttempt(b.now, 1)
		}
		b.pool.updateFleetStats(b.now)
		assert.Assert(t, b.pool.expectedLoad(used, b.now) >= b.pool.fleet.meanLoad,
			"a sample at its pick limit still attracts picks")

		used.attempts, used.inFlight = nil, 0
		decayTime := max(loadDecayTime, serviceDecayTime) * b.pool.fleet.medianServiceTime
		later := b.now.Add(time.Duration(20 * decayTime * float64(time.Second)))
		fromInFlight := max(0, b.pool.fleet.meanLoad-inFlightWeight*b.pool.fleet.meanInFlight)
		assert.Assert(t, b.pool.expectedLoad(used, later)-fromInFlight < 0.01)
		assert.Assert(t, b.pool.expectedServiceTime(used, later) < 1.01*b.pool.fleet.medianServiceTime)
	})
}

// Guards against an entry node that refuses calls when every member looks unhealthy.
func TestCallsAreSpreadWhenAllMembersAreUnhealthy(t *testing.T) {
	b := newTestbed(sameZoneMembers(6), nil)
	chosen := map[string]int{}
	for range 600 {
		chosen[b.call(t, func(string) time.Duration { return -1 })]++
	}
	assert.Equal(t, len(chosen), 6)
	for id, picks := range chosen {
		assert.Assert(t, picks >= 30, "%s got %d of 600", id, picks)
	}
}

// Guards against overloading the few members that look healthy when most do not.
func TestCallsAreSpreadWhenMostMembersAreUnhealthy(t *testing.T) {
	b := newTestbed(sameZoneMembers(6), nil)
	good := 0
	for range 600 {
		chosen := b.call(t, func(id string) time.Duration {
			if id < "m04@1" {
				return -1
			}
			return time.Millisecond
		})
		if chosen >= "m04@1" {
			good++
		}
	}
	assert.Assert(t, good < 400, "2 of 6 members got %d of 600 calls", good)
}

// Guards against further calls to a straggler that has not responded yet.
func TestMemberWithOverdueAttemptIsAvoided(t *testing.T) {
	b := newTestbed(sameZoneMembers(2), nil)
	for range 50 {
		b.call(t, func(string) time.Duration { return 10 * time.Millisecond })
	}
	late, err := b.pool.Pick(Request{})
	assert.NilError(t, err)
	b.now = b.now.Add(100 * time.Millisecond)
	for range 5 {
		other, err := b.pool.Pick(Request{})
		assert.NilError(t, err)
		assert.Assert(t, other.Member.ID != late.Member.ID)
	}
}

// Guards against calls that leave the zone or cross the link between regions without a gain or without capacity on the
// link.
func TestLocality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hasCapacity := rapid.Bool().Draw(t, "room")
		members := []cluster.Member{newMember(0, "a1", "a"), newMember(1, "a2", "a"), newMember(2, "b1", "b")}
		b := newTestbed(members, func(c *Config) { c.LinkHasCapacity = func() bool { return hasCapacity } })
		load := rapid.IntRange(0, 9).Draw(t, "load")
		for _, state := range b.pool.states {
			state.recordSample(wire.LoadSample{InFlight: load, Latency: 25 * time.Millisecond}, b.now)
		}
		pick, err := b.pool.Pick(Request{})
		assert.NilError(t, err)
		assert.Equal(t, pick.Member.Zone, "a1")
		for _, state := range b.pool.states[:2] {
			latency := time.Duration(rapid.IntRange(300, 900).Draw(t, "latency")) * time.Millisecond
			state.recordSample(wire.LoadSample{InFlight: 9, Queued: 9, Latency: 2 * latency}, b.now)
		}
		pick, err = b.pool.Pick(Request{})
		assert.NilError(t, err)
		assert.Equal(t, pick.Member.Region == "b", hasCapacity)
	})
}

// Guards against probes beyond the byte budget, probes that outlive Close, and data races between picks, results,
// probes and updates.
func TestProbesAndConcurrentUse(t *testing.T) {
	defer goleak.VerifyNone(t)
	byteBudget := budget.NewByteBudget(budget.Limits{RegionBytesPerSecond: 4 * ProbeBytes}, func() time.Time { return time.Unix(1, 0) })
	var mu sync.Mutex
	probes := 0
	probe := func(ctx context.Context, _ cluster.Member) (wire.LoadSample, error) {
		mu.Lock()
		probes++
		mu.Unlock()
		<-ctx.Done()
		return wire.LoadSample{}, ctx.Err()
	}
	members := sameZoneMembers(5)
	pool := NewPool(Config{Service: "s", Self: members[0], Probe: probe, ProbeBudget: byteBudget, Seed: 2})
	pool.Update(members)
	var running sync.WaitGroup
	for worker := range 8 {
		running.Add(1)
		go func() {
			defer running.Done()
			for i := range 300 {
				pool.Update(members[:3+(i+worker)%3])
				pick, err := pool.Pick(Request{Avoid: members[0].ID})
				assert.Check(t, err)
				pick.Done(Result{Class: Class(i % 4), Latency: time.Duration(i), Sample: &wire.LoadSample{InFlight: i % 9}})
			}
		}()
	}
	running.Wait()
	pool.Close()
	assert.Equal(t, probes, 2) // half of the budget is reserved for other classes
	assert.Equal(t, byteBudget.BytesWritten(budget.Probe, budget.Region), int64(2*ProbeBytes))
}
