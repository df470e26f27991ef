package control

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/control/controltest"
	"github.com/acacialock/acacialock/internal/platform"
)

// leaseAudit checks the invariants of the lease and members rows on each write that the store applies.
type leaseAudit struct {
	lease     map[string]cluster.LeaseRow // last value by zone
	writtenAt map[string]time.Time        // time of the last write of the lease row by zone
	members   map[string]uint64           // last version of the members row by zone
	problems  []string
}

func newLeaseAudit() *leaseAudit {
	return &leaseAudit{lease: map[string]cluster.LeaseRow{},
		writtenAt: map[string]time.Time{}, members: map[string]uint64{}}
}

func (a *leaseAudit) addProblem(format string, args ...any) {
	a.problems = append(a.problems, fmt.Sprintf(format, args...))
}

func (a *leaseAudit) observe(w platform.Write) {
	switch {
	case strings.HasPrefix(w.Key, cluster.LeasePrefix):
		var lease cluster.LeaseRow
		if json.Unmarshal(w.Value, &lease) == nil {
			a.observeLease(lease)
		}
	case strings.HasPrefix(w.Key, cluster.MembersPrefix):
		var row cluster.MembersRow
		if json.Unmarshal(w.Value, &row) == nil {
			a.observeMembers(row)
		}
	}
}

func (a *leaseAudit) observeLease(next cluster.LeaseRow) {
	last := a.lease[next.Zone]
	idle := time.Since(a.writtenAt[next.Zone])
	switch {
	case next.Holder == last.Holder || next.Holder == "":
		if next.Epoch != last.Epoch {
			a.addProblem("holder %s changed epoch %d to %d", next.Holder, last.Epoch, next.Epoch)
		}
	case next.Epoch <= last.Epoch:
		a.addProblem("takeover by %s at epoch %d after %d", next.Holder, next.Epoch, last.Epoch)
	case last.Holder != "" && idle < 6*time.Second:
		a.addProblem("%s took the lease from %s after %s", next.Holder, last.Holder, idle)
	}
	a.lease[next.Zone] = next
	a.writtenAt[next.Zone] = time.Now()
}

func (a *leaseAudit) observeMembers(row cluster.MembersRow) {
	if row.Epoch != a.lease[row.Zone].Epoch {
		a.addProblem("members row of epoch %d under lease epoch %d", row.Epoch, a.lease[row.Zone].Epoch)
	}
	if row.Version <= a.members[row.Zone] {
		a.addProblem("members row version %d after %d", row.Version, a.members[row.Zone])
	}
	a.members[row.Zone] = row.Version
}

// Guards against a paused leader that continues to lead after a takeover, writes the members row under its old epoch,
// or removes its members because it received no heartbeats during its own pause.
func TestPausedLeaderStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newTestSystem()
		defer system.stop()
		audit := newLeaseAudit()
		system.store.OnWrite(audit.observe)
		processes := startTwoZones(t, system)
		old := system.leaders("a")[0]
		old.pause(5500 * time.Millisecond)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, allSeeMembers(system.runningProcesses(), 6), "members were removed after a short pause")
		}
		old = system.leaders("a")[0]
		epoch := old.node.Status().Epoch
		old.pause(20 * time.Second)
		eventually(t, 12*time.Second, "a second node considers itself the leader", func() bool {
			return len(system.leaders("a")) == 2
		})
		system.startNode("a3", "front", "a", "b0") // a membership change that the old leader would have to write
		eventually(t, 12*time.Second, "the paused leader has stepped down", func() bool {
			leaders := system.leaders("a")
			return len(leaders) == 1 && leaders[0] != old && leaders[0].node.Status().Epoch > epoch
		})
		eventually(t, 5*time.Second, "both the new and the paused node are members", func() bool {
			_, joined := processes["b0"].memberNamed("a3")
			_, kept := processes["b0"].memberNamed(old.member.PeerAddr)
			return joined && kept
		})
		assert.Equal(t, len(audit.problems), 0, "%v", audit.problems)
	})
}

// Guards against a leader that keeps the lease and removes all members of its zone when only its own network has
// failed.
func TestIsolatedLeaderYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newTestSystem()
		defer system.stop()
		startTwoZones(t, system)
		system.startNode("a3", "front", "a", "b0")
		eventually(t, 10*time.Second, "the fourth node has joined", func() bool { return seenByOthers(system, "a3") })
		old := system.leaders("a")[0]
		isolated := old.member.PeerAddr
		system.setDelay(func(from, to string) time.Duration {
			if from == isolated || to == isolated {
				return -1
			}
			return time.Millisecond
		})
		eventually(t, 20*time.Second, "a leader that the other nodes can reach", func() bool {
			leaders := system.leaders("a")
			return len(leaders) == 1 && leaders[0] != old
		})
		eventually(t, 16*time.Second, "only the isolated node is removed", func() bool {
			return !seenByOthers(system, isolated) && system.processes["b0"].node.Status().Members == 6
		})
	})
}

// Guards against two holders of one epoch, premature takeovers and writes of the members row under an old epoch during
// random sequences of pauses, restarts, slow commits, lost responses and outages, and checks that the zone recovers.
func TestRandomLeaseHistories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(rapidTB{t}, func(r *rapid.T) {
			system := newTestSystem()
			defer system.stop()
			audit := newLeaseAudit()
			system.store.OnWrite(audit.observe)
			if err := system.accept(1); err != nil {
				r.Fatal(err)
			}
			names := []string{"a0", "a1", "a2"}
			for _, name := range names {
				system.startNode(name, "front", "a", names...)
			}
			for range rapid.IntRange(3, 12).Draw(r, "steps") {
				injectRandomFault(r, system, rapid.SampledFrom(names).Draw(r, "node"))
				time.Sleep(time.Duration(rapid.IntRange(0, 9000).Draw(r, "ms")) * time.Millisecond)
			}
			system.store.SetDown(false)
			system.paused.Wait()
			eventually(r, 60*time.Second, "one leader and all members present", func() bool {
				return len(system.leaders("a")) == 1 && allSeeMembers(system.runningProcesses(), 3)
			})
			assert.Equal(r, len(audit.problems), 0, "%v", audit.problems)
		})
	})
}

// injectRandomFault pauses or restarts the named node, or changes the faults of the store.
func injectRandomFault(r *rapid.T, system *testSystem, name string) {
	p := system.processes[name]
	switch rapid.SampledFrom([]string{"pause", "restart", "slow", "lost", "down", "up"}).Draw(r, "disturbance") {
	case "pause":
		p.pause(time.Duration(rapid.IntRange(1, 25).Draw(r, "s")) * time.Second)
	case "restart":
		p.kill()
		system.startNode(name, "front", "a", "a0", "a1", "a2")
	case "slow":
		slow := time.Duration(rapid.IntRange(1, 1900).Draw(r, "delay")) * time.Millisecond
		system.store.SetFault(func(operation, _ string) controltest.Fault { return controltest.Fault{Delay: slow} })
	case "lost":
		every := rapid.IntRange(1, 3).Draw(r, "every")
		operations := 0
		system.store.SetFault(func(operation, _ string) controltest.Fault {
			operations++
			return controltest.Fault{ResponseLost: operation == "commit" && operations%every == 0}
		})
	case "down":
		system.store.SetDown(true)
	case "up":
		system.store.SetDown(false)
	}
}
