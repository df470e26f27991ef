package balance

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/testlog"
)

// Guards against reachability transitions that are visible only in counters: exactly one line is logged when a member
// is lost and one when it is reached again, none for the requests in between.
func TestLostMembersAreLogged(t *testing.T) {
	log := testlog.Capture(t)
	now := &clock{now: time.Unix(1_000, 0)}
	reached := true
	pool := NewPool(Config{
		Service: "shop", Self: cluster.Member{ID: "entry@1", Zone: "a", Region: "r"}, Seed: 1, Clock: now.read,
		CheckReachable: func(context.Context, cluster.Member) bool { return reached },
	})
	defer pool.Close()
	pool.Update([]cluster.Member{{ID: "a@1", Zone: "a", Region: "r"}})
	send := func(result Result) {
		pick, err := pool.Pick(Request{})
		assert.NilError(t, err)
		pick.Done(result)
		pool.probes.running.Wait()
		now.advance(300 * time.Millisecond)
	}
	reached = false
	for range 5 {
		send(Result{Class: Failed, Reason: failure.ConnectFailed})
	}
	assert.Equal(t, len(log.Lines(`"member lost"`, `member="a@1"`, `service="shop"`, `cause="connect-failed"`, `sample_age="none"`)), 1)
	assert.Equal(t, len(log.Lines(`"member reached again"`)), 0)
	send(Result{Class: OK, Latency: time.Millisecond})
	assert.Equal(t, len(log.Lines(`"member reached again"`, `member="a@1"`, `cause="answer"`)), 1)
	assert.Equal(t, len(log.Lines("member")), 2)
}

// Guards against ejections logged without the values that led to them.
func TestEjectionsAreLogged(t *testing.T) {
	log := testlog.Capture(t)
	now := &clock{now: time.Unix(1_000, 0)}
	pool := NewPool(Config{Service: "shop", Self: cluster.Member{ID: "entry@1", Zone: "a", Region: "r"}, Seed: 1, Clock: now.read})
	defer pool.Close()
	var members []cluster.Member
	for _, id := range []string{"a@1", "b@1", "c@1", "bad@1"} {
		members = append(members, cluster.Member{ID: id, Zone: "a", Region: "r"})
	}
	pool.Update(members)
	bad := true
	for range 2000 {
		pick, err := pool.Pick(Request{})
		assert.NilError(t, err)
		if pick.Member.ID == "bad@1" && bad {
			pick.Done(Result{Class: Failed, Reason: failure.TargetConnectionBroke})
		} else {
			pick.Done(Result{Class: OK, Latency: 20 * time.Millisecond})
		}
		now.advance(20 * time.Millisecond)
		bad = bad && len(log.Lines(`"member ejected"`)) < 2
	}
	ejected := log.Lines(`"member ejected"`, `member="bad@1"`, "failures=", "usual_failures=", "usual_latency=", "sample_age=")
	assert.Equal(t, len(ejected), 2, "one ejection, and one after the trial")
	assert.Equal(t, len(log.Lines(`"member returned"`, `member="bad@1"`, `cause="trial"`)), 1)
}
