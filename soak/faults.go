package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/acacialock/acacialock/internal/testsite"
	"github.com/acacialock/acacialock/internal/timing"
	"github.com/acacialock/acacialock/platform/standin"
)

// fault is one kind of injected fault. It is active until run returns.
type fault struct {
	name string
	// exclusive faults affect the process or worker of a node; at most one of them is active per node.
	exclusive bool
	run       func(s *soak, n *testsite.Node, random *rand.Rand, duration time.Duration)
}

// stopTimeout bounds the shutdown of a process after SIGTERM: its drain timeout and a margin for a busy machine.
const stopTimeout = 15 * time.Second

var faults = []fault{
	{"kill", true, func(s *soak, n *testsite.Node, _ *rand.Rand, duration time.Duration) {
		n.SignalStop(syscall.SIGKILL)
		n.WaitExit(stopTimeout)
		s.sleep(duration / 4)
		s.reportError(n.Start())
	}},
	{"freeze", true, func(s *soak, n *testsite.Node, _ *rand.Rand, duration time.Duration) {
		n.Signal(syscall.SIGSTOP)
		s.sleep(duration)
		n.Signal(syscall.SIGCONT)
		s.frozenFor.add(n.Name, duration)
	}},
	{"stop", true, func(s *soak, n *testsite.Node, random *rand.Rand, duration time.Duration) {
		n.SignalStop(syscall.SIGTERM)
		if random.IntN(2) == 0 {
			s.sleep(duration / 8)
			n.Signal(syscall.SIGHUP)
		}
		if !n.WaitExit(stopTimeout) {
			s.recordViolation("node %s did not exit within %v after SIGTERM", n.Name, stopTimeout)
			n.SignalStop(syscall.SIGKILL)
			n.WaitExit(stopTimeout)
		}
		s.reportError(n.Start())
	}},
	{"settings", true, func(s *soak, n *testsite.Node, random *rand.Rand, _ time.Duration) {
		n.DrainTimeout = time.Duration(3+random.IntN(3)) * time.Second
		s.reportError(n.WriteSettings())
		if random.IntN(2) == 0 {
			n.Signal(syscall.SIGHUP)
		}
	}},
	{"worker release", true, func(s *soak, n *testsite.Node, random *rand.Rand, duration time.Duration) {
		n.Backend.DrainWorker(s.ctx, random.IntN(3) > 0, duration/4)
		s.reportError(n.Backend.StartWorker())
	}},
	{"worker crash", true, func(s *soak, n *testsite.Node, random *rand.Rand, duration time.Duration) {
		n.Backend.CrashWorker()
		if random.IntN(3) == 0 {
			step := time.Duration(random.IntN(20)-10) * time.Second
			s.logf("clock of %s stepped by %v", n.Name, step)
			n.Backend.StepClock(step)
		}
		s.sleep(duration / 4)
		s.reportError(n.Backend.StartWorker())
	}},
	{"worker slow spells", false, func(s *soak, n *testsite.Node, random *rand.Rand, duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end) && s.ctx.Err() == nil; {
			n.Backend.LatencyPercent.Store([]int64{100, 500}[random.IntN(2)])
			s.sleep(150 * time.Millisecond)
		}
		n.Backend.LatencyPercent.Store(100)
	}},
	{"worker misbehaves", false, func(s *soak, n *testsite.Node, random *rand.Rand, duration time.Duration) {
		n.Backend.FaultMode.Store(1 + random.Int64N(int64(testsite.CloseConnection)))
		s.sleep(duration)
		n.Backend.FaultMode.Store(int64(testsite.Healthy))
	}},
	{"store", false, func(s *soak, _ *testsite.Node, random *rand.Rand, duration time.Duration) {
		kind := standin.Fault(1 + random.IntN(int(standin.LostResponse)))
		share := []float64{0.3, 1}[random.IntN(2)]
		var mu sync.Mutex
		s.site.Store.SetFault(func(*http.Request) standin.Fault {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < share {
				return kind
			}
			return standin.NoFault
		})
		s.sleep(duration)
		s.site.Store.SetFault(func(*http.Request) standin.Fault { return standin.NoFault })
	}},
	{"store forgets", false, func(s *soak, _ *testsite.Node, _ *rand.Rand, _ time.Duration) { s.site.Store.TrimHistory() }},
	{"delay", false, func(s *soak, n *testsite.Node, random *rand.Rand, duration time.Duration) {
		n.Proxies()[random.IntN(4)].Delay.Store(int64(time.Duration(5+random.IntN(150)) * time.Millisecond))
		s.sleep(duration)
		for _, proxy := range n.Proxies() {
			proxy.Delay.Store(0)
		}
	}},
	{"reset", false, func(s *soak, n *testsite.Node, random *rand.Rand, duration time.Duration) {
		proxy := n.Proxies()[random.IntN(4)]
		for range 1 + random.IntN(5) {
			proxy.ResetAll()
			s.sleep(duration / 8)
		}
	}},
	{"silence", false, func(s *soak, n *testsite.Node, random *rand.Rand, duration time.Duration) {
		proxy := n.Proxies()[random.IntN(4)]
		directions := 1 + random.IntN(3)
		proxy.DropToTarget.Store(directions&1 != 0)
		proxy.DropFromTarget.Store(directions&2 != 0)
		s.sleep(duration)
		proxy.Heal()
	}},
	{"new list", false, func(s *soak, _ *testsite.Node, _ *rand.Rand, _ time.Duration) { s.lists.publishNext() }},
}

const (
	// restoreGap is the mean time between two returns of the store from an older copy.
	restoreGap = 20 * time.Second
	// maxCopyAge is the greatest age of the copy, and maxRepublishDelay the longest time until the operator has written the list
	// again.
	maxCopyAge        = 5 * time.Second
	maxRepublishDelay = 2 * time.Second
)

// restoreStore makes the store come back from older copies until s.ctx is done. Each time, the operator writes the list again.
func (s *soak) restoreStore(random *rand.Rand) {
	for {
		s.sleep(time.Duration(random.ExpFloat64() * float64(restoreGap)))
		if s.ctx.Err() != nil {
			return
		}
		age := time.Duration(random.Int64N(int64(maxCopyAge)))
		s.logf("the store comes back from a copy of %v ago", age.Round(time.Millisecond))
		s.site.Store.Restore(age)
		s.sleep(time.Duration(random.Int64N(int64(maxRepublishDelay))))
		s.lists.publishAgain()
	}
}

// durations sums durations by name. Safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	byName map[string]time.Duration
}

func (t *durations) add(name string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byName[name] += d
}

func (t *durations) total(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byName[name]
}

// injectFaults starts random faults, which may overlap, until s.ctx is done, and waits for them to end.
func (s *soak) injectFaults(random *rand.Rand) {
	var running sync.WaitGroup
	var active atomic.Int64
	for s.ctx.Err() == nil {
		s.sleep(time.Duration(random.ExpFloat64() * float64(s.config.gap)))
		selected := faults[random.IntN(len(faults))]
		n := s.site.Nodes[random.IntN(len(s.site.Nodes))]
		duration := time.Duration(200+random.IntN(3000)) * time.Millisecond
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 1))
		if s.ctx.Err() != nil || active.Load() >= maxActiveFaults || selected.exclusive && !s.claim(n) {
			continue
		}
		s.logf("%s at %s for %v", selected.name, n.Name, duration)
		active.Add(1)
		running.Go(func() {
			defer active.Add(-1)
			s.recordDisturbance(n)
			selected.run(s, n, faultRandom, duration)
			s.recordDisturbance(n)
			if selected.exclusive {
				s.release(n)
			}
		})
	}
	running.Wait()
}

// maxActiveFaults leaves some nodes unaffected at any time, so that the checks see traffic.
const maxActiveFaults = 4

// claim reserves a node for an exclusive fault; it returns false if the node is reserved already.
func (s *soak) claim(n *testsite.Node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.claimed[n] {
		return false
	}
	s.claimed[n] = true
	return true
}

func (s *soak) release(n *testsite.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.claimed, n)
}

// sleep waits for d or until s.ctx is done.
func (s *soak) sleep(d time.Duration) { _ = timing.Sleep(s.ctx, d) }

func (s *soak) reportError(err error) {
	if err != nil {
		s.recordViolation("test harness error: %v", err)
	}
}

func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.config.out, "%8.3f "+format+"\n", append([]any{time.Since(s.startedAt).Seconds()}, args...)...)
}
