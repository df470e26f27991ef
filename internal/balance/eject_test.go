package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against an ejection that never ends, that takes more than a third, or that does not grow while the member
// stays bad. Bad members answer slowly or fail.
func TestEjectionAndReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(5, 12).Draw(t, "members")
		bad := rapid.IntRange(1, (size-1)/3).Draw(t, "bad")
		badLatency := time.Duration(rapid.SampledFrom([]int{-1, 400, 900}).Draw(t, "latency")) * time.Millisecond
		b := newBed(sameZoneMembers(size), nil)
		latencyOf := func(id string) time.Duration {
			if id < sameZoneMembers(bad + 1)[bad].ID {
				return badLatency
			}
			return 10 * time.Millisecond
		}
		for range 4000 {
			b.answer(t, latencyOf)
		}
		ejected, _ := b.pool.ejected()
		assert.Equal(t, ejected, bad)
		first := b.peer("m00@1").ejection.length
		for b.peer("m00@1").ejection.length <= first {
			b.now = b.now.Add(maxEjection)
			b.answer(t, latencyOf)
		}
		for range 50 {
			b.now = b.now.Add(maxEjection)
			b.answer(t, func(string) time.Duration { return 10 * time.Millisecond })
		}
		ejected, _ = b.pool.ejected()
		assert.Equal(t, ejected, 0)
	})
}

// Guards against a new member that gets more than its growing share while others can serve.
func TestSlowStartLimitsTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 12).Draw(t, "members")
		step := time.Duration(rapid.IntRange(1, 20).Draw(t, "step")) * time.Millisecond
		members := sameZoneMembers(size)
		b := newBed(members[:size-1], nil)
		for range 100 {
			b.answer(t, func(string) time.Duration { return step })
		}
		b.pool.Update(members)
		added := b.now
		limit, got := 1.0, 0.0
		for b.now.Sub(added) < slowStartTime-step {
			limit += b.peer(members[size-1].ID).start.share(b.now) / float64(size)
			if b.answer(t, func(string) time.Duration { return step }) == members[size-1].ID {
				got++
			}
			assert.Assert(t, got <= limit, "%v picks, %v allowed", got, limit)
		}
		b.now = b.now.Add(slowStartTime)
		for range 20 * size {
			if b.answer(t, func(string) time.Duration { return step }) == members[size-1].ID {
				got++
			}
		}
		assert.Assert(t, got > 0, "the member was never used")
	})
}

// Guards against a service left with mostly ejected members after others drained, and against slow or failing majorities
// that are ejected beyond a third.
func TestAtMostAThirdStaysEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 12).Draw(t, "members")
		b := newBed(sameZoneMembers(size), nil)
		for _, peer := range b.pool.peers {
			peer.health = health{answers: minAnswers, latency: 0.01}
		}
		for _, peer := range b.pool.peers {
			peer.health = health{answers: minAnswers, latency: 0.01, failures: 1}
			b.pool.review(peer, b.now)
		}
		ejected, members := b.pool.ejected()
		assert.Equal(t, ejected, members/3)
		b.pool.Update(sameZoneMembers(rapid.IntRange(1, size).Draw(t, "left")))
		ejected, members = b.pool.ejected()
		assert.Assert(t, 3*ejected <= members, "%d of %d ejected", ejected, members)
	})
}
