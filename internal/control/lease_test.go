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

// leaseAudit checks each write that the store applies.
type leaseAudit struct {
	lease    map[string]cluster.LeaseRow // by zone
	changed  map[string]time.Time        // last write of the lease row
	members  map[string]uint64           // last version of the members row
	problems []string
}

func newLeaseAudit() *leaseAudit {
	return &leaseAudit{lease: map[string]cluster.LeaseRow{}, changed: map[string]time.Time{}, members: map[string]uint64{}}
}

func (a *leaseAudit) problem(format string, args ...any) {
	a.problems = append(a.problems, fmt.Sprintf(format, args...))
}

func (a *leaseAudit) observe(w platform.Write) {
	switch {
	case strings.HasPrefix(w.Key, cluster.ZonePrefix):
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
	idle := time.Since(a.changed[next.Zone])
	switch {
	case next.Holder == last.Holder || next.Holder == "":
		if next.Epoch != last.Epoch {
			a.problem("holder %s changed epoch %d to %d", next.Holder, last.Epoch, next.Epoch)
		}
	case next.Epoch <= last.Epoch:
		a.problem("takeover by %s at epoch %d after %d", next.Holder, next.Epoch, last.Epoch)
	case last.Holder != "" && idle < 6*time.Second:
		a.problem("%s took the lease from %s after %s", next.Holder, last.Holder, idle)
	}
	a.lease[next.Zone] = next
	a.changed[next.Zone] = time.Now()
}

func (a *leaseAudit) observeMembers(row cluster.MembersRow) {
	if row.Epoch != a.lease[row.Zone].Epoch {
		a.problem("members row of epoch %d under lease epoch %d", row.Epoch, a.lease[row.Zone].Epoch)
	}
	if row.Version <= a.members[row.Zone] {
		a.problem("members row version %d after %d", row.Version, a.members[row.Zone])
	}
	a.members[row.Zone] = row.Version
}

// Guards against a paused holder that goes on as leader, writes the members row under its old epoch, or takes its own
// pause for the silence of its members.
func TestPausedLeaderStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stop()
		audit := newLeaseAudit()
		w.store.OnWrite(audit.observe)
		procs := small(t, w)
		old := w.leaders("a")[0]
		old.pause(5500 * time.Millisecond)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Assert(t, complete(w.all(), 6), "members vanished after a short pause")
		}
		old = w.leaders("a")[0]
		epoch := old.node.Status().Epoch
		old.pause(20 * time.Second)
		eventually(t, 12*time.Second, "a second candidate with a higher epoch", func() bool {
			return len(w.leaders("a")) == 2
		})
		w.start("a3", "front", "a", "b0") // a change that the old holder would have to write
		eventually(t, 12*time.Second, "the paused holder stepped down", func() bool {
			leaders := w.leaders("a")
			return len(leaders) == 1 && leaders[0] != old && leaders[0].node.Status().Epoch > epoch
		})
		eventually(t, 5*time.Second, "all members known", func() bool {
			_, joined := procs["b0"].sees("a3")
			_, kept := procs["b0"].sees(old.member.PeerAddr)
			return joined && kept
		})
		assert.Equal(t, len(audit.problems), 0, "%v", audit.problems)
	})
}

// Guards against a leader that keeps the lease and removes its whole zone while only its own network is cut off.
func TestIsolatedLeaderYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stop()
		small(t, w)
		w.start("a3", "front", "a", "b0")
		eventually(t, 10*time.Second, "a fourth node", func() bool { return seenAnywhere(w, "a3") })
		old := w.leaders("a")[0]
		cut := old.member.PeerAddr
		w.setDelay(func(from, to string) time.Duration {
			if from == cut || to == cut {
				return -1
			}
			return time.Millisecond
		})
		eventually(t, 20*time.Second, "a leader that the others reach", func() bool {
			leaders := w.leaders("a")
			return len(leaders) == 1 && leaders[0] != old
		})
		eventually(t, 16*time.Second, "the cut-off node alone removed", func() bool {
			return !seenAnywhere(w, cut) && w.procs["b0"].node.Status().Members == 6
		})
	})
}

// Guards against two holders of one epoch, early takeovers and members rows by old epochs under any mix of pauses,
// restarts, slow commits, lost answers and outages, and against a system that does not recover from them.
func TestLeaseHistories(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtual{t}, func(r *rapid.T) {
			w := newWorld()
			defer w.stop()
			audit := newLeaseAudit()
			w.store.OnWrite(audit.observe)
			if err := w.accept(1); err != nil {
				r.Fatal(err)
			}
			names := []string{"a0", "a1", "a2"}
			for _, name := range names {
				w.start(name, "front", "a", names...)
			}
			for range rapid.IntRange(3, 12).Draw(r, "steps") {
				disturb(r, w, rapid.SampledFrom(names).Draw(r, "node"))
				time.Sleep(time.Duration(rapid.IntRange(0, 9000).Draw(r, "ms")) * time.Millisecond)
			}
			w.store.SetDown(false)
			w.paused.Wait()
			eventually(r, 60*time.Second, "one leader and all members", func() bool {
				return len(w.leaders("a")) == 1 && complete(w.all(), 3)
			})
			assert.Equal(r, len(audit.problems), 0, "%v", audit.problems)
		})
	})
}

func disturb(r *rapid.T, w *world, name string) {
	p := w.procs[name]
	switch rapid.SampledFrom([]string{"pause", "restart", "slow", "lost", "down", "up"}).Draw(r, "disturbance") {
	case "pause":
		p.pause(time.Duration(rapid.IntRange(1, 25).Draw(r, "s")) * time.Second)
	case "restart":
		p.kill()
		w.start(name, "front", "a", "a0", "a1", "a2")
	case "slow":
		slow := time.Duration(rapid.IntRange(1, 1900).Draw(r, "delay")) * time.Millisecond
		w.store.SetFault(func(operation, _ string) controltest.Fault { return controltest.Fault{Delay: slow} })
	case "lost":
		every := rapid.IntRange(1, 3).Draw(r, "every")
		made := 0
		w.store.SetFault(func(operation, _ string) controltest.Fault {
			made++
			return controltest.Fault{Lost: operation == "commit" && made%every == 0}
		})
	case "down":
		w.store.SetDown(true)
	case "up":
		w.store.SetDown(false)
	}
}
