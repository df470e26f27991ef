package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an ejection that never ends, more than a third of the members ejected, or an ejection duration that
// does not grow while the member stays unhealthy. Unhealthy members respond slowly or fail.
func TestEjectionAndReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(5, 12).Draw(t, "members")
		bad := rapid.IntRange(1, (size-1)/3).Draw(t, "bad")
		badLatency := time.Duration(rapid.SampledFrom([]int{-1, 400, 900}).Draw(t, "latency")) * time.Millisecond
		b := newTestbed(sameZoneMembers(size), nil)
		latencyOf := func(id string) time.Duration {
			if id < sameZoneMembers(bad + 1)[bad].ID {
				return badLatency
			}
			return 10 * time.Millisecond
		}
		for range 4000 {
			b.call(t, latencyOf)
		}
		ejected, _ := b.pool.countEjected()
		assert.Equal(t, ejected, bad)
		first := b.state("m00@1").ejection.duration
		for b.state("m00@1").ejection.duration <= first {
			b.now = b.now.Add(maxEjection)
			b.call(t, latencyOf)
		}
		for range 50 {
			b.now = b.now.Add(maxEjection)
			b.call(t, func(string) time.Duration { return 10 * time.Millisecond })
		}
		ejected, _ = b.pool.countEjected()
		assert.Equal(t, ejected, 0)
	})
}

// Guards against a new member that receives more than its ramped-up share while other members can serve.
func TestSlowStartLimitsTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 12).Draw(t, "members")
		step := time.Duration(rapid.IntRange(1, 20).Draw(t, "step")) * time.Millisecond
		members := sameZoneMembers(size)
		b := newTestbed(members[:size-1], nil)
		for range 100 {
			b.call(t, func(string) time.Duration { return step })
		}
		b.pool.Update(members)
		added := b.now
		limit, picks := 1.0, 0.0
		for b.now.Sub(added) < slowStartDuration-step {
			limit += b.state(members[size-1].ID).slowStart.share(b.now) / float64(size)
			if b.call(t, func(string) time.Duration { return step }) == members[size-1].ID {
				picks++
			}
			assert.Assert(t, picks <= limit, "%v picks, %v allowed", picks, limit)
		}
		b.now = b.now.Add(slowStartDuration)
		for range 20 * size {
			if b.call(t, func(string) time.Duration { return step }) == members[size-1].ID {
				picks++
			}
		}
		assert.Assert(t, picks > 0, "the new member was never selected")
	})
}

// Guards against a service left with mostly ejected members after others were removed, and against ejecting more than
// a third when the majority is slow or failing.
func TestAtMostAThirdStaysEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 12).Draw(t, "members")
		b := newTestbed(sameZoneMembers(size), nil)
		for _, state := range b.pool.states {
			state.health = health{results: minResults, latency: 0.01}
		}
		for _, state := range b.pool.states {
			state.health = health{results: minResults, latency: 0.01, failures: 1}
			b.pool.ejectIfOutlier(state, b.now)
		}
		ejected, members := b.pool.countEjected()
		assert.Equal(t, ejected, members/3)
		b.pool.Update(sameZoneMembers(rapid.IntRange(1, size).Draw(t, "left")))
		ejected, members = b.pool.countEjected()
		assert.Assert(t, 3*ejected <= members, "%d of %d ejected", ejected, members)
	})
}
