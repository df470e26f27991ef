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

// fault is one kind of trouble. It lasts until its function returns; by then it is over.
type fault struct {
	name string
	// process tells that it concerns a node's process or worker, of which one node has one at a time.
	process bool
	run     func(s *soak, n *testsite.Node, random *rand.Rand, span time.Duration)
}

// restartWithin bounds the end of a process that was asked to stop: its drain timeout and a margin for a busy machine.
const restartWithin = 15 * time.Second

var faults = []fault{
	{"kill", true, func(s *soak, n *testsite.Node, _ *rand.Rand, span time.Duration) {
		n.End(syscall.SIGKILL)
		n.WaitEnd(restartWithin)
		s.pause(span / 4)
		s.must(n.Start())
	}},
	{"freeze", true, func(s *soak, n *testsite.Node, _ *rand.Rand, span time.Duration) {
		n.Signal(syscall.SIGSTOP)
		s.pause(span)
		n.Signal(syscall.SIGCONT)
		s.frozen.add(n.Name, span)
	}},
	{"stop", true, func(s *soak, n *testsite.Node, random *rand.Rand, span time.Duration) {
		n.End(syscall.SIGTERM)
		if random.IntN(2) == 0 {
			s.pause(span / 8)
			n.Signal(syscall.SIGHUP)
		}
		if !n.WaitEnd(restartWithin) {
			s.violate("node %s did not end within %v after SIGTERM", n.Name, restartWithin)
			n.End(syscall.SIGKILL)
			n.WaitEnd(restartWithin)
		}
		s.must(n.Start())
	}},
	{"settings", true, func(s *soak, n *testsite.Node, random *rand.Rand, _ time.Duration) {
		n.Drain = time.Duration(3+random.IntN(3)) * time.Second
		s.must(n.WriteSettings())
		if random.IntN(2) == 0 {
			n.Signal(syscall.SIGHUP)
		}
	}},
	{"worker release", true, func(s *soak, n *testsite.Node, random *rand.Rand, span time.Duration) {
		n.Backend.Release(s.ctx, random.IntN(3) > 0, span/4)
		s.must(n.Backend.Boot())
	}},
	{"worker crash", true, func(s *soak, n *testsite.Node, random *rand.Rand, span time.Duration) {
		n.Backend.Crash()
		if random.IntN(3) == 0 {
			step := time.Duration(random.IntN(20)-10) * time.Second
			s.logf("the clock of %s jumps by %v", n.Name, step)
			n.Backend.StepClock(step)
		}
		s.pause(span / 4)
		s.must(n.Backend.Boot())
	}},
	{"worker slow spells", false, func(s *soak, n *testsite.Node, random *rand.Rand, span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end) && s.ctx.Err() == nil; {
			n.Backend.Pace.Store([]int64{100, 500}[random.IntN(2)])
			s.pause(150 * time.Millisecond)
		}
		n.Backend.Pace.Store(100)
	}},
	{"worker misbehaves", false, func(s *soak, n *testsite.Node, random *rand.Rand, span time.Duration) {
		n.Backend.Mode.Store(1 + random.Int64N(int64(testsite.Closing)))
		s.pause(span)
		n.Backend.Mode.Store(int64(testsite.Sound))
	}},
	{"store", false, func(s *soak, _ *testsite.Node, random *rand.Rand, span time.Duration) {
		kind := standin.Fault(1 + random.IntN(int(standin.LostReply)))
		share := []float64{0.3, 1}[random.IntN(2)]
		var mu sync.Mutex
		s.site.Store.SetFault(func(*http.Request) standin.Fault {
			mu.Lock()
			defer mu.Unlock()
			if random.Float64() < share {
				return kind
			}
			return standin.None
		})
		s.pause(span)
		s.site.Store.SetFault(func(*http.Request) standin.Fault { return standin.None })
	}},
	{"store forgets", false, func(s *soak, _ *testsite.Node, _ *rand.Rand, _ time.Duration) { s.site.Store.Forget() }},
	{"delay", false, func(s *soak, n *testsite.Node, random *rand.Rand, span time.Duration) {
		n.Proxies()[random.IntN(4)].Delay.Store(int64(time.Duration(5+random.IntN(150)) * time.Millisecond))
		s.pause(span)
		for _, one := range n.Proxies() {
			one.Delay.Store(0)
		}
	}},
	{"reset", false, func(s *soak, n *testsite.Node, random *rand.Rand, span time.Duration) {
		link := n.Proxies()[random.IntN(4)]
		for range 1 + random.IntN(5) {
			link.ResetAll()
			s.pause(span / 8)
		}
	}},
	{"silence", false, func(s *soak, n *testsite.Node, random *rand.Rand, span time.Duration) {
		link := n.Proxies()[random.IntN(4)]
		way := 1 + random.IntN(3)
		link.SilentTo.Store(way&1 != 0)
		link.SilentBack.Store(way&2 != 0)
		s.pause(span)
		link.Heal()
	}},
	{"new list", false, func(s *soak, _ *testsite.Node, _ *rand.Rand, _ time.Duration) { s.lists.next() }},
}

// times adds up durations by name. Safe for concurrent use.
type times struct {
	mu     sync.Mutex
	byName map[string]time.Duration
}

func (t *times) add(name string, span time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byName[name] += span
}

func (t *times) of(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byName[name]
}

// play draws faults until the context ends; they overlap.
func (s *soak) play(random *rand.Rand) {
	var running sync.WaitGroup
	var open atomic.Int64
	for s.ctx.Err() == nil {
		s.pause(time.Duration(random.ExpFloat64() * float64(s.config.gap)))
		drawn := faults[random.IntN(len(faults))]
		n := s.site.Nodes[random.IntN(len(s.site.Nodes))]
		span := time.Duration(200+random.IntN(3000)) * time.Millisecond
		own := rand.New(rand.NewPCG(random.Uint64(), 1))
		if s.ctx.Err() != nil || open.Load() >= maxOpenFaults || drawn.process && !s.take(n) {
			continue
		}
		s.logf("%s at %s for %v", drawn.name, n.Name, span)
		open.Add(1)
		running.Go(func() {
			defer open.Add(-1)
			drawn.run(s, n, own, span)
			if drawn.process {
				s.give(n)
			}
		})
	}
	running.Wait()
}

// maxOpenFaults keeps some nodes whole at any time, so that the checks see traffic.
const maxOpenFaults = 4

// take claims a node for a fault of its process or worker.
func (s *soak) take(n *testsite.Node) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[n] {
		return false
	}
	s.busy[n] = true
	return true
}

func (s *soak) give(n *testsite.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, n)
}

// pause waits; the end of the faults cuts it short.
func (s *soak) pause(span time.Duration) { _ = timing.Sleep(s.ctx, span) }

func (s *soak) must(err error) {
	if err != nil {
		s.violate("the soak itself failed: %v", err)
	}
}

func (s *soak) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.config.out, "%8.3f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}
