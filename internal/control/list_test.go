package control

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/cluster"
)

// listAudit checks the list versions in the snapshots of each process.
type listAudit struct {
	mu       sync.Mutex
	inForce  map[string]uint64 // last observed version by member id
	problems []string
}

// monitor checks the snapshots of a process every 20 ms until it stops. floor returns the lowest version that the first
// list may have.
func (a *listAudit) monitor(p *process, floor func() uint64) {
	go func() {
		for {
			select {
			case <-p.done:
				return
			case <-time.After(20 * time.Millisecond):
				a.checkSnapshot(p, floor)
			}
		}
	}()
}

// checkSnapshot checks the list in the current snapshot of a process.
func (a *listAudit) checkSnapshot(p *process, floor func() uint64) {
	list := p.view.Load().List
	if list == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	last, known := a.inForce[p.member.ID]
	if string(list.Text) != listText(list.Version) {
		a.problems = append(a.problems, p.member.ID+" has a corrupted list")
	}
	if list.Version < last {
		a.problems = append(a.problems, p.member.ID+" decreased its list version")
	}
	if !known && list.Version < floor() {
		a.problems = append(a.problems, p.member.ID+" started with an outdated list")
	}
	a.inForce[p.member.ID] = list.Version
}

// Guards against a decrease of the list version in force, as late and reordered responses, slow peers, corrupted texts,
// restarts and outages can cause it. A node that restarts while the store is up must start with a list at least as new
// as the last one accepted before. The test also checks that a key roster is never confirmed as of a time after its
// replacement.
func TestListVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(rapidTB{t}, func(r *rapid.T) {
			system := newTestSystem()
			defer system.stop()
			audit := &listAudit{inForce: map[string]uint64{}}
			roster := newRosterAudit(system)
			h := &listHistory{r: r, system: system, audit: audit, roster: roster}
			h.accept()
			for _, name := range []string{"a0", "a1", "b0", "b1"} {
				h.start(name)
			}
			for range rapid.IntRange(4, 16).Draw(r, "steps") {
				h.step()
				time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(r, "ms")) * time.Millisecond)
			}
			h.clearFaults()
			eventually(r, 60*time.Second, "the newest list is in force on all nodes", func() bool {
				for _, p := range system.runningProcesses() {
					if p.node.Status().ListVersion != h.version {
						return false
					}
				}
				return true
			})
			assert.Equal(r, len(audit.problems), 0, "%v", audit.problems)
			assert.Equal(r, len(roster.problems), 0, "%v", roster.problems)
		})
	})
}

// listHistory is a random sequence of events in a system of four nodes in two zones.
type listHistory struct {
	r            *rapid.T
	system       *testSystem
	audit        *listAudit
	roster       *rosterAudit
	version      uint64
	storeToggles atomic.Int64 // number of starts and ends of outages; odd: the store is down
}

func (h *listHistory) start(name string) {
	accepted := h.version
	toggles := h.storeToggles.Load()
	p := h.system.startNode(name, "front", name[:1], "a0", "a1", "b0", "b1")
	h.audit.monitor(p, func() uint64 {
		if toggles%2 == 1 || h.storeToggles.Load() != toggles {
			return 0 // during an outage the node may start with the list of the seeds
		}
		return accepted
	})
}

func (h *listHistory) storeDown() bool { return h.storeToggles.Load()%2 == 1 }

func (h *listHistory) accept() {
	if h.storeDown() {
		return
	}
	h.version++
	if err := h.system.accept(h.version); err != nil {
		h.r.Fatal(err)
	}
}

func (h *listHistory) step() {
	name := rapid.SampledFrom([]string{"a0", "a1", "b0", "b1"}).Draw(h.r, "node")
	steps := []string{"accept", "accept again", "roster", "restart", "down", "up", "delays", "pause", "damage"}
	switch rapid.SampledFrom(steps).Draw(h.r, "step") {
	case "accept", "accept again":
		h.accept()
	case "roster":
		if !h.storeDown() {
			h.roster.changeRoster(h.r)
		}
	case "restart":
		h.system.processes[name].kill()
		h.start(name)
	case "down", "up":
		h.storeToggles.Add(1)
		h.system.store.SetDown(h.storeDown())
	case "delays":
		h.randomizeDelays()
	case "damage":
		h.system.mu.Lock()
		h.system.corruptLists = !h.system.corruptLists
		h.system.mu.Unlock()
	case "pause":
		h.system.processes[name].pause(time.Duration(rapid.IntRange(1, 12).Draw(h.r, "s")) * time.Second)
	}
}

// randomizeDelays gives each call a random delay, so that responses arrive out of order, and loses a tenth of the
// calls.
func (h *listHistory) randomizeDelays() {
	maxDelayMs := rapid.IntRange(1, 900).Draw(h.r, "worst")
	random := newRand(rapid.Uint64().Draw(h.r, "calls"))
	h.system.setDelay(func(string, string) time.Duration {
		if random.IntN(10) == 0 {
			return -1
		}
		return time.Duration(random.IntN(maxDelayMs)) * time.Millisecond
	})
}

// clearFaults waits for the pauses to end and removes all other faults.
func (h *listHistory) clearFaults() {
	h.system.paused.Wait()
	h.storeToggles.Add(h.storeToggles.Load() % 2)
	h.system.store.SetDown(false)
	h.system.setDelay(func(string, string) time.Duration { return time.Millisecond })
	h.system.mu.Lock()
	defer h.system.mu.Unlock()
	h.system.corruptLists = false
}

// rosterAudit checks that the table held each confirmed roster version at some time after asOf.
type rosterAudit struct {
	mu         sync.Mutex
	system     *testSystem
	version    uint64
	replacedAt map[uint64]time.Time // when each version was replaced
	problems   []string
}

func newRosterAudit(system *testSystem) *rosterAudit {
	a := &rosterAudit{system: system, replacedAt: map[uint64]time.Time{}}
	system.onRosterConfirmed = func(p *process, version uint64, asOf time.Time) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if end, replaced := a.replacedAt[version]; replaced && asOf.After(end) {
			a.problems = append(a.problems, p.member.ID+" confirmed a roster after its replacement")
		}
		if asOf.After(time.Now()) {
			a.problems = append(a.problems, p.member.ID+" confirmed a roster in the future")
		}
	}
	return a
}

// changeRoster replaces the roster version in the table.
func (a *rosterAudit) changeRoster(r *rapid.T) {
	a.mu.Lock()
	a.replacedAt[a.version] = time.Now()
	a.version++
	index := cluster.RosterIndexRow{CommitNumbers: map[string]uint64{"front": a.version}}
	a.mu.Unlock()
	if err := a.system.put(cluster.RosterIndexKey, encode(index)); err != nil {
		r.Fatal(err)
	}
}

// Guards against a decoder of the roster index that differs from the form in which internal/keys writes it: the rosters
// were then never confirmed by heartbeats, and each key owner had to read the table itself.
func TestRosterIndexIsConfirmedOnAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newTestSystem()
		defer system.stop()
		confirmed := map[string]uint64{} // by member id
		var mu sync.Mutex
		system.onRosterConfirmed = func(p *process, commit uint64, _ time.Time) {
			mu.Lock()
			defer mu.Unlock()
			confirmed[p.member.PeerAddr] = commit
		}
		assert.NilError(t, system.accept(1))
		// The value is written out because it is stored data, which both packages must agree on.
		assert.NilError(t, system.put(cluster.RosterIndexKey, []byte(`{"commits":{"front":7,"back":3}}`)))
		names := []string{"a0", "a1", "b0", "b1"}
		for _, name := range names {
			system.startNode(name, "front", name[:1], names...)
		}
		eventually(t, 20*time.Second, "all nodes confirm commit 7", func() bool {
			mu.Lock()
			defer mu.Unlock()
			for _, name := range names {
				if confirmed[name] != 7 {
					return false
				}
			}
			return true
		})
		for _, p := range system.runningProcesses() {
			assert.Equal(t, p.node.cfg.Metrics.Counter("control.row.undecodable").Count(), int64(0), p.member.ID)
		}
	})
}
