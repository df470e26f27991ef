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

// listAudit follows the versions that each node's snapshots show.
type listAudit struct {
	mu       sync.Mutex
	inForce  map[string]uint64 // by member id
	problems []string
}

// watch checks a process's snapshots until it ends. floor is the lowest version that it may show first.
func (a *listAudit) watch(p *proc, floor func() uint64) {
	go func() {
		for {
			select {
			case <-p.done:
				return
			case <-time.After(20 * time.Millisecond):
				a.look(p, floor)
			}
		}
	}()
}

func (a *listAudit) look(p *proc, floor func() uint64) {
	list := p.view.Load().List
	if list == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	last, known := a.inForce[p.member.ID]
	if string(list.Text) != listText(list.Version) {
		a.problems = append(a.problems, p.member.ID+" has a damaged list")
	}
	if list.Version < last {
		a.problems = append(a.problems, p.member.ID+" went back")
	}
	if !known && list.Version < floor() {
		a.problems = append(a.problems, p.member.ID+" started with an old list")
	}
	a.inForce[p.member.ID] = list.Version
}

// Guards against a list that goes back: late and reordered answers, slow peers, damaged texts, restarts and outages. A
// node that restarts while the table answers must start with what was accepted before. It also checks that a
// confirmation of the key roster is never dated later than the roster's next change.
func TestListNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(virtual{t}, func(r *rapid.T) {
			w := newWorld()
			defer w.stop()
			audit := &listAudit{inForce: map[string]uint64{}}
			roster := newRosterAudit(w)
			h := &listHistory{r: r, w: w, audit: audit, roster: roster}
			h.accept()
			for _, name := range []string{"a0", "a1", "b0", "b1"} {
				h.start(name)
			}
			for range rapid.IntRange(4, 16).Draw(r, "steps") {
				h.step()
				time.Sleep(time.Duration(rapid.IntRange(0, 4000).Draw(r, "ms")) * time.Millisecond)
			}
			h.heal()
			eventually(r, 60*time.Second, "the newest list in force everywhere", func() bool {
				for _, p := range w.all() {
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

// listHistory is one random history of a system of four nodes in two zones.
type listHistory struct {
	r       *rapid.T
	w       *world
	audit   *listAudit
	roster  *rosterAudit
	version uint64
	toggles atomic.Int64 // outages begun and ended; odd: the store is down
}

func (h *listHistory) start(name string) {
	accepted := h.version
	toggles := h.toggles.Load()
	p := h.w.start(name, "front", name[:1], "a0", "a1", "b0", "b1")
	h.audit.watch(p, func() uint64 {
		if toggles%2 == 1 || h.toggles.Load() != toggles {
			return 0 // an outage allows what the seeds know
		}
		return accepted
	})
}

func (h *listHistory) down() bool { return h.toggles.Load()%2 == 1 }

func (h *listHistory) accept() {
	if h.down() {
		return
	}
	h.version++
	if err := h.w.accept(h.version); err != nil {
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
		if !h.down() {
			h.roster.change(h.r)
		}
	case "restart":
		h.w.procs[name].kill()
		h.start(name)
	case "down", "up":
		h.toggles.Add(1)
		h.w.store.SetDown(h.down())
	case "delays":
		h.reorder()
	case "damage":
		h.w.mu.Lock()
		h.w.bad = !h.w.bad
		h.w.mu.Unlock()
	case "pause":
		h.w.procs[name].pause(time.Duration(rapid.IntRange(1, 12).Draw(h.r, "s")) * time.Second)
	}
}

// reorder gives each call another delay, so that answers overtake each other and some never arrive.
func (h *listHistory) reorder() {
	worst := rapid.IntRange(1, 900).Draw(h.r, "worst")
	random := newRand(rapid.Uint64().Draw(h.r, "calls"))
	h.w.setDelay(func(string, string) time.Duration {
		if random.IntN(10) == 0 {
			return -1
		}
		return time.Duration(random.IntN(worst)) * time.Millisecond
	})
}

func (h *listHistory) heal() {
	h.w.paused.Wait()
	h.toggles.Add(h.toggles.Load() % 2)
	h.w.store.SetDown(false)
	h.w.setDelay(func(string, string) time.Duration { return time.Millisecond })
	h.w.mu.Lock()
	defer h.w.mu.Unlock()
	h.w.bad = false
}

// rosterAudit checks that the table held a confirmed version at some moment after asOf.
type rosterAudit struct {
	mu       sync.Mutex
	w        *world
	version  uint64
	ended    map[uint64]time.Time // when each version was replaced
	problems []string
}

func newRosterAudit(w *world) *rosterAudit {
	a := &rosterAudit{w: w, ended: map[uint64]time.Time{}}
	w.onRow = func(p *proc, version uint64, asOf time.Time) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if end, over := a.ended[version]; over && asOf.After(end) {
			a.problems = append(a.problems, p.member.ID+" confirmed a roster after its end")
		}
		if asOf.After(time.Now()) {
			a.problems = append(a.problems, p.member.ID+" confirmed a roster in the future")
		}
	}
	return a
}

func (a *rosterAudit) change(r *rapid.T) {
	a.mu.Lock()
	a.ended[a.version] = time.Now()
	a.version++
	next := map[string]uint64{"front": a.version}
	a.mu.Unlock()
	if err := a.w.put(cluster.RosterIndexKey, encode(next)); err != nil {
		r.Fatal(err)
	}
}
