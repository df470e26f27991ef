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

// startTwoZones starts three nodes in each of the zones a and b and waits until all nodes see all members that they
// need.
func startTwoZones(t *testing.T, system *testSystem) map[string]*process {
	assert.NilError(t, system.accept(1))
	processes := map[string]*process{}
	for _, zone := range []string{"a", "b"} {
		for i := range 3 {
			name := fmt.Sprintf("%s%d", zone, i)
			service := []string{"front", "stock", "front"}[i]
			processes[name] = system.startNode(name, service, zone, "a0", "a1", "b0", "b1")
		}
	}
	eventually(t, 20*time.Second, "all nodes are ready and see all members", func() bool {
		return allSeeMembers(system.runningProcesses(), 6)
	})
	return processes
}

// allSeeMembers reports whether all processes are ready and see the members that they need: nodes of front see all
// members, those of stock only the members of stock.
func allSeeMembers(processes []*process, members int) bool {
	for _, p := range processes {
		want := members
		if p.member.Service == "stock" {
			want = members / 3
		}
		if status := p.node.Status(); !status.Ready || status.Members != want {
			return false
		}
	}
	return len(processes) == members
}

// Guards against drains that reach other zones only through the table, joins that wait for it, crashed members that are
// not removed or are removed too early, and an old incarnation that remains next to the new one after a restart.
func TestMembershipChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newTestSystem()
		defer system.stop()
		processes := startTwoZones(t, system)

		processes["b1"].node.SetDraining()
		eventually(t, 2*time.Second, "all zones see the drain", func() bool {
			for _, name := range []string{"a0", "a2", "b0", "b2", "a1"} {
				if m, ok := processes[name].memberNamed("b1"); !ok || !m.Draining {
					return false
				}
			}
			return true
		})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NilError(t, processes["b1"].node.Leave(ctx))
		processes["b1"].kill()
		eventually(t, 3*time.Second, "all zones see the departure", func() bool { return !seenByOthers(system, "b1") })

		name := "a2"
		if processes[name].node.Status().Leader {
			name = "a0"
		}
		before := processes[name].member.ID
		processes[name].kill()
		processes[name] = system.startNode(name, "front", "a", "b0")
		eventually(t, 8*time.Second, "the restarted node is a member under its new id", func() bool {
			return hasMember(processes["b0"], processes[name].member.ID)
		})
		assert.Assert(t, !hasMember(processes["b0"], before), "the old incarnation is still a member")

		killed := "b2"
		if processes[killed].node.Status().Leader {
			killed = "b0"
		}
		processes[killed].kill()
		time.Sleep(4 * time.Second)
		assert.Assert(t, seenByOthers(system, killed), "a member was removed before the member timeout")
		eventually(t, 8*time.Second, "the dead member is removed", func() bool { return !seenByOthers(system, killed) })
	})
}

// hasMember reports whether the process's snapshot contains the member id.
func hasMember(p *process, id string) bool {
	for _, members := range p.view.Load().Members {
		if _, found := findMember(members, id); found {
			return true
		}
	}
	return false
}

// seenByOthers reports whether any other process sees a member with the given node name.
func seenByOthers(system *testSystem, name string) bool {
	for _, p := range system.runningProcesses() {
		if _, ok := p.memberNamed(name); ok && p.member.PeerAddr != name {
			return true
		}
	}
	return false
}

// Guards against a departing leader that does not release the lease, so that its zone has no leader for the lease
// duration.
func TestDepartingLeaderReleasesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newTestSystem()
		defer system.stop()
		startTwoZones(t, system)
		leader := system.leaders("a")[0]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		assert.NilError(t, leader.node.Leave(ctx))
		leader.kill()
		eventually(t, 4*time.Second, "a new leader before the lease would expire",
			func() bool { return len(system.leaders("a")) == 1 })
	})
}

// Guards against missing members after a new list adds a dependency to the node's service.
func TestNewDependencyLoadsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newTestSystem()
		defer system.stop()
		processes := startTwoZones(t, system)
		assert.NilError(t, system.acceptText(2, "alone"))
		eventually(t, 7*time.Second, "only members of the own service are known", func() bool {
			return len(processes["a0"].view.Load().Members) == 1
		})
		processes["a1"].kill()
		processes["a1"] = system.startNode("a1", "stock", "a", "a0")
		time.Sleep(10 * time.Second)
		assert.NilError(t, system.accept(3))
		eventually(t, 7*time.Second, "members of the dependency are known",
			func() bool { return allSeeMembers(system.runningProcesses(), 6) })
	})
}

// Guards against tasks that need several store operations within the timeout of one. With a store that takes 1.5 s for
// each operation, a leader must still be elected, and a new list must come into force later only by that delay.
func TestSlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newTestSystem()
		defer system.stop()
		startTwoZones(t, system)
		system.store.SetFault(func(string, string) controltest.Fault {
			return controltest.Fault{Delay: 1500 * time.Millisecond}
		})
		old := system.leaders("a")[0]
		old.kill()
		eventually(t, 15*time.Second, "a new leader is elected", func() bool { return len(system.leaders("a")) == 1 })
		time.Sleep(10 * time.Second)
		assert.NilError(t, system.accept(2))
		eventually(t, 10*time.Second, "the new list is in force", func() bool {
			for _, p := range system.runningProcesses() {
				if p.node.Status().ListVersion != 2 {
					return false
				}
			}
			return !seenByOthers(system, old.member.PeerAddr)
		})
	})
}

// Guards against a dependency on the store while it is down: restarts, joins, drains and the loss of a leader must be
// handled without it.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newTestSystem()
		defer system.stop()
		processes := startTwoZones(t, system)
		system.store.SetDown(true)
		time.Sleep(5 * time.Second)

		system.setDelay(func(from, to string) time.Duration {
			if from[0] != to[0] {
				return -1
			}
			return time.Millisecond
		})
		joined := system.startNode("b3", "stock", "b", "b0", "b1")
		eventually(t, 15*time.Second, "a node starts from its seeds alone and its zone sees it", func() bool {
			_, near := processes["b0"].memberNamed("b3")
			return joined.node.Status().ListVersion == 1 && near
		})
		system.setDelay(func(string, string) time.Duration { return time.Millisecond })
		eventually(t, 15*time.Second, "the other zone sees the join once it can be reached", func() bool {
			_, far := processes["a0"].memberNamed("b3")
			return far
		})
		processes["a1"].node.SetDraining()
		eventually(t, 4*time.Second, "the other zone sees the drain", func() bool {
			m, _ := processes["b0"].memberNamed("a1")
			return m.Draining
		})

		killed := system.leaders("b")[0]
		killed.kill()
		time.Sleep(20 * time.Second)
		assert.Assert(t, seenByOthers(system, killed.member.PeerAddr), "a member was removed during the outage")
		assert.Equal(t, len(system.leaders("b")), 0)
		lowest := lowestMember(system, "b")
		for _, p := range system.runningProcesses() {
			if status := p.node.Status(); p.member.Zone == "b" && p != lowest {
				assert.Assert(t, status.Acting && status.LeaderAddr == lowest.member.PeerAddr,
					"%s follows %q", p.member.ID, status.LeaderAddr)
			}
		}
		system.startNode("b4", "stock", "b", "a0", "a1")
		eventually(t, 15*time.Second, "a node joins through the acting leader", func() bool {
			_, near := lowest.memberNamed("b4")
			_, far := processes["a0"].memberNamed("b4")
			return near && far
		})

		system.store.SetDown(false)
		eventually(t, 30*time.Second, "one leader and the correct members after the outage", func() bool {
			_, joined := processes["a0"].memberNamed("b4")
			return len(system.leaders("b")) == 1 && !seenByOthers(system, killed.member.PeerAddr) && joined
		})
	})
}

// lowestMember returns the process of the zone with the lowest member id.
func lowestMember(system *testSystem, zone string) *process {
	var lowest *process
	for _, p := range system.runningProcesses() {
		if p.member.Zone == zone && (lowest == nil || p.member.ID < lowest.member.ID) {
			lowest = p
		}
	}
	return lowest
}
