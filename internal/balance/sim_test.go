package balance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// sim runs balancers against simulated targets in virtual time, so its results depend only on the seed.
type sim struct {
	now       time.Time
	events    eventHeap
	random    *rand.Rand
	targets   map[string]*simTarget
	entries   []Balancer
	latency   []time.Duration
	failed    int
	scheduled int
}

// simSettings configures the load and the targets of a run.
type simSettings struct {
	targets, entries int
	load             float64 // fraction of the nominal capacity
	calls            int
	seed             uint64
}

const (
	simSlots             = 9
	simQueue             = 9
	simServiceTime       = 25 * time.Millisecond
	simNetworkDelay      = 500 * time.Microsecond
	simStragglerSlowdown = 6.0
)

type simTarget struct {
	member      cluster.Member
	busy        int
	queue       []func()
	serviceTime float64
	speed       float64
	slowdown    float64
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *sim) schedule(d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, event{s.now.Add(d), s.scheduled, run})
}

func (s *sim) clock() time.Time { return s.now }

// newSim creates the targets, and one balancer per entry node with the build function.
func newSim(settings simSettings, build func(s *sim, seed uint64) Balancer) *sim {
	s := &sim{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(settings.seed, 3)), targets: map[string]*simTarget{}}
	var members []cluster.Member
	for i := range settings.targets {
		member := cluster.Member{ID: fmt.Sprintf("t%d@1", i), Zone: "z", Region: "r"}
		members = append(members, member)
		s.targets[member.ID] = &simTarget{member: member, serviceTime: simServiceTime.Seconds(), speed: 1, slowdown: 1}
		s.varySpeed(s.targets[member.ID])
		s.scheduleStraggling(s.targets[member.ID])
	}
	for i := range settings.entries {
		balancer := build(s, settings.seed+uint64(i)+1)
		balancer.Update(members)
		s.entries = append(s.entries, balancer)
	}
	return s
}

// varySpeed changes the target's speed every few milliseconds.
func (s *sim) varySpeed(t *simTarget) {
	t.speed = math.Exp(0.25 * s.random.NormFloat64())
	s.schedule(time.Duration(s.random.ExpFloat64()*8e6), func() { s.varySpeed(t) })
}

// scheduleStraggling slows the target down for 200 ms at random times, 5 s apart on average.
func (s *sim) scheduleStraggling(t *simTarget) {
	s.schedule(time.Duration(s.random.ExpFloat64()*5e9), func() {
		t.slowdown = simStragglerSlowdown
		s.schedule(200*time.Millisecond, func() { t.slowdown = 1; s.scheduleStraggling(t) })
	})
}

// run sends the calls with Poisson arrivals and returns when all have ended.
func (s *sim) run(settings simSettings) {
	rate := float64(settings.targets*simSlots) / simServiceTime.Seconds() * settings.load
	arrival := s.now
	done := 0
	for range settings.calls {
		arrival = arrival.Add(time.Duration(s.random.ExpFloat64() / rate * 1e9))
		entry := s.entries[s.random.IntN(settings.entries)]
		work := math.Exp(0.25*s.random.NormFloat64() - 0.03)
		s.schedule(arrival.Sub(s.now), func() { s.send(entry, work, s.now, nil, func() { done++ }) })
	}
	for done < settings.calls {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	slices.Sort(s.latency)
}

func (s *sim) quantile(q float64) time.Duration { return s.latency[int(q*float64(len(s.latency)-1))] }

// send makes one attempt, and up to two more after refusals.
func (s *sim) send(entry Balancer, work float64, began time.Time, tried []string, done func()) {
	pick, err := entry.Pick(Request{Exclude: tried, Now: s.now})
	if err != nil || len(tried) > 2 {
		pick.Done(Result{Class: Cancelled})
		s.failed++
		done()
		return
	}
	t, sent := s.targets[pick.Member.ID], s.now
	answer := func(result Result) {
		sample := t.sample()
		result.Sample = &sample
		s.schedule(simNetworkDelay, func() {
			result.Latency = s.now.Sub(sent)
			pick.Done(result)
			if result.Class == Refused {
				s.send(entry, work, began, append(tried, pick.Member.ID), done)
				return
			}
			s.latency = append(s.latency, s.now.Sub(began))
			done()
		})
	}
	s.schedule(simNetworkDelay, func() { s.arrive(t, work, answer) })
}

func (s *sim) arrive(t *simTarget, work float64, answer func(Result)) {
	serve := func() {
		took := time.Duration(work * t.speed * t.slowdown * float64(simServiceTime))
		s.schedule(took, func() {
			t.serviceTime += 0.1 * (took.Seconds() - t.serviceTime)
			t.busy--
			if len(t.queue) > 0 {
				t.busy++
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
			answer(Result{Class: OK})
		})
	}
	switch {
	case t.busy < simSlots:
		t.busy++
		serve()
	case len(t.queue) < simQueue:
		t.queue = append(t.queue, serve)
	default:
		answer(Result{Class: Refused, Reason: failure.QueueFull})
	}
}

func (t *simTarget) sample() wire.LoadSample {
	waits := math.Max(0, float64(t.busy+len(t.queue)+1-simSlots)/simSlots)
	latency := time.Duration(t.serviceTime * (1 + waits) * 1e9)
	return wire.LoadSample{InFlight: t.busy, Queued: len(t.queue), Latency: latency}
}
