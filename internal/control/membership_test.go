package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/control/controltest"
)

// small starts two zones of three nodes each and waits until all see all.
func small(t *testing.T, w *world) map[string]*proc {
	assert.NilError(t, w.accept(1))
	procs := map[string]*proc{}
	for _, zone := range []string{"a", "b"} {
		for i := range 3 {
			name := fmt.Sprintf("%s%d", zone, i)
			service := []string{"front", "stock", "front"}[i]
			procs[name] = w.start(name, service, zone, "a0", "a1", "b0", "b1")
		}
	}
	eventually(t, 20*time.Second, "all nodes ready, all members known", func() bool {
		return complete(w.all(), 6)
	})
	return procs
}

// complete reports whether the nodes are ready and see the members they need: front sees all, stock its own.
func complete(procs []*proc, members int) bool {
	for _, p := range procs {
		want := members
		if p.member.Service == "stock" {
			want = members / 3
		}
		if status := p.node.Status(); !status.Ready || status.Members != want {
			return false
		}
	}
	return len(procs) == members
}

// Guards against drains that other zones learn only from the table, joins that wait for it, members that stay after
// their death, and an old incarnation that stays beside the new one.
func TestMembershipFollowsNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stop()
		procs := small(t, w)

		procs["b1"].node.SetDraining()
		eventually(t, 2*time.Second, "a drain seen in all zones", func() bool {
			for _, name := range []string{"a0", "a2", "b0", "b2", "a1"} {
				if m, ok := procs[name].sees("b1"); !ok || !m.Draining {
					return false
				}
			}
			return true
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NilError(t, procs["b1"].node.Leave(ctx))
		procs["b1"].kill()
		eventually(t, 3*time.Second, "a departure seen in all zones", func() bool { return !seenAnywhere(w, "b1") })

		name := "a2"
		if procs[name].node.Status().Leader {
			name = "a0"
		}
		before := procs[name].member.ID
		procs[name].kill()
		procs[name] = w.start(name, "front", "a", "b0")
		eventually(t, 8*time.Second, "a replaced member seen under its new id", func() bool {
			return holds(procs["b0"], procs[name].member.ID)
		})
		assert.Assert(t, !holds(procs["b0"], before), "the old incarnation is still a member")

		victim := "b2"
		if procs[victim].node.Status().Leader {
			victim = "b0"
		}
		procs[victim].kill()
		time.Sleep(4 * time.Second)
		assert.Assert(t, seenAnywhere(w, victim), "a member was removed before the member timeout")
		eventually(t, 8*time.Second, "a dead member removed", func() bool { return !seenAnywhere(w, victim) })
	})
}

func holds(p *proc, id string) bool {
	for _, members := range p.view.Load().Members {
		if _, found := findMember(members, id); found {
			return true
		}
	}
	return false
}

func seenAnywhere(w *world, name string) bool {
	for _, p := range w.all() {
		if _, ok := p.sees(name); ok && p.member.PeerAddr != name {
			return true
		}
	}
	return false
}

// Guards against a leader whose departure leaves its zone without a leader for the lease's duration.
func TestLeaderHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stop()
		small(t, w)
		leader := w.leaders("a")[0]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NilError(t, leader.node.Leave(ctx))
		leader.kill()
		eventually(t, 4*time.Second, "a successor that doesn't wait for the lease", func() bool { return len(w.leaders("a")) == 1 })
	})
}

// Guards against a node that keeps too few members when a new list makes its service depend on others.
func TestNewDependencyBringsItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stop()
		procs := small(t, w)
		assert.NilError(t, w.acceptText(2, "alone"))
		eventually(t, 7*time.Second, "members of the own service alone", func() bool {
			return len(procs["a0"].view.Load().Members) == 1
		})
		procs["a1"].kill()
		procs["a1"] = w.start("a1", "stock", "a", "a0")
		time.Sleep(10 * time.Second)
		assert.NilError(t, w.accept(3))
		eventually(t, 7*time.Second, "members of the dependency too", func() bool { return complete(w.all(), 6) })
	})
}

// Guards against work that needs several operations within the time of one: a store that takes 1.5 s for each operation
// must still give a leader and a new list, which is in force later by its delay only.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stop()
		small(t, w)
		w.store.SetFault(func(string, string) controltest.Fault {
			return controltest.Fault{Delay: 1500 * time.Millisecond}
		})
		old := w.leaders("a")[0]
		old.kill()
		eventually(t, 15*time.Second, "a new leader", func() bool { return len(w.leaders("a")) == 1 })
		time.Sleep(10 * time.Second)
		assert.NilError(t, w.accept(2))
		eventually(t, 10*time.Second, "the new list in force", func() bool {
			for _, p := range w.all() {
				if p.node.Status().ListVersion != 2 {
					return false
				}
			}
			return !seenAnywhere(w, old.member.PeerAddr)
		})
	})
}

// Guards against nodes that depend on the store while it is down: restarts, joins, drains, loss of a leader.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stop()
		procs := small(t, w)
		w.store.SetDown(true)
		time.Sleep(5 * time.Second)

		w.setDelay(func(from, to string) time.Duration {
			if from[0] != to[0] {
				return -1
			}
			return time.Millisecond
		})
		joined := w.start("b3", "stock", "b", "b0", "b1")
		eventually(t, 15*time.Second, "a restart by seeds alone, seen in its zone", func() bool {
			_, near := procs["b0"].sees("b3")
			return joined.node.Status().ListVersion == 1 && near
		})
		w.setDelay(func(string, string) time.Duration { return time.Millisecond })
		eventually(t, 15*time.Second, "a join seen in the other zone once it can be reached", func() bool {
			_, far := procs["a0"].sees("b3")
			return far
		})
		procs["a1"].node.SetDraining()
		eventually(t, 4*time.Second, "a drain seen in the other zone", func() bool {
			m, _ := procs["b0"].sees("a1")
			return m.Draining
		})

		dead := w.leaders("b")[0]
		dead.kill()
		time.Sleep(20 * time.Second)
		assert.Assert(t, seenAnywhere(w, dead.member.PeerAddr), "a member was removed in an outage")
		assert.Equal(t, len(w.leaders("b")), 0)
		lowest := lowestOf(w, "b")
		for _, p := range w.all() {
			if status := p.node.Status(); p.member.Zone == "b" && p != lowest {
				assert.Assert(t, status.Acting && status.LeaderAddr == lowest.member.PeerAddr,
					"%s follows %q", p.member.ID, status.LeaderAddr)
			}
		}
		w.start("b4", "stock", "b", "a0", "a1")
		eventually(t, 15*time.Second, "a join through the acting leader", func() bool {
			_, near := lowest.sees("b4")
			_, far := procs["a0"].sees("b4")
			return near && far
		})

		w.store.SetDown(false)
		eventually(t, 30*time.Second, "one leader and the true members after the outage", func() bool {
			_, joined := procs["a0"].sees("b4")
			return len(w.leaders("b")) == 1 && !seenAnywhere(w, dead.member.PeerAddr) && joined
		})
	})
}

func lowestOf(w *world, zone string) *proc {
	var lowest *proc
	for _, p := range w.all() {
		if p.member.Zone == zone && (lowest == nil || p.member.ID < lowest.member.ID) {
			lowest = p
		}
	}
	return lowest
}
