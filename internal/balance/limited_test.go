package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
)

// limit reports that a member refused a call by its target's limit.
func (b *testbed) limit(t *testing.T, id string, retryAfter time.Duration) {
	t.Helper()
	var others []string
	for _, state := range b.pool.states {
		if state.member.ID != id {
			others = append(others, state.member.ID)
		}
	}
	pick, err := b.pool.Pick(Request{Exclude: others})
	assert.NilError(t, err)
	pick.Done(Result{Class: Refused, Reason: failure.TargetLimited, RetryAfter: retryAfter, LimitNamed: true})
}

// Guards against calls that share the targets without a limit with those that refuse them: with two thirds of a service
// limited, the pool took most members for unhealthy and spread the calls over all of them.
func TestLimitedMembersAreAvoidedWhileOthersHaveRoom(t *testing.T) {
	b := newTestbed(sameZoneMembers(3), nil)
	b.limit(t, "m00@1", 100*time.Millisecond)
	b.limit(t, "m01@1", 300*time.Millisecond)
	for range 20 {
		pick, err := b.pool.Pick(Request{})
		assert.NilError(t, err)
		assert.Assert(t, pick.Member.ID == "m02@1" && !pick.Limited, "%v", pick.Member.ID)
	}
	b.limit(t, "m02@1", 200*time.Millisecond)
	pick, err := b.pool.Pick(Request{})
	assert.NilError(t, err)
	assert.Assert(t, pick.Member.ID == "m00@1" && pick.Limited, "the one that accepts the next request")
	b.now = b.now.Add(100 * time.Millisecond)
	pick, err = b.pool.Pick(Request{})
	assert.NilError(t, err)
	assert.Assert(t, pick.Member.ID == "m00@1" && !pick.Limited)
	pick.Done(Result{Class: OK})
}

// Guards against calls of another region for targets that name a limit: they cross a billed link and are refused.
func TestNoOverflowToLimitedMembers(t *testing.T) {
	b := newTestbed([]cluster.Member{newMember(0, "a1", "a"), newMember(1, "b1", "b"), newMember(2, "b1", "b")}, func(c *Config) { c.StayInRegion = true })
	for range 2 { // each of the two members once
		pick, err := b.pool.Pick(Request{Overflow: true})
		assert.NilError(t, err)
		pick.Done(Result{Class: Refused, Reason: failure.TargetLimited, LimitNamed: true})
	}
	_, err := b.pool.Pick(Request{Overflow: true})
	assert.Assert(t, err != nil)
	assert.Assert(t, !b.pool.CanOverflow(nil))
	b.now = b.now.Add(limitMemory)
	assert.Assert(t, b.pool.CanOverflow(nil))
}
