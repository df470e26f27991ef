package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/testnet"
)

const (
	callTimeout = 5 * time.Second
	maxAttempts = 3
	// lateFactor is the latency, in mean service times, above which a response counts as late, as a failed call does.
	lateFactor = 4
	// maxLatencyUS is the upper bound of the histograms, in microseconds.
	maxLatencyUS = 10_000_000
)

// measurement holds the results of one policy for one service in one slice.
type measurement struct {
	policy  string
	size    int
	mu      sync.Mutex
	latency *hdrhistogram.Histogram // of answered calls, in microseconds since the planned start

	// started, retries and hedges include the warm-up; the other counts don't.
	started, retries, hedges           atomic.Int64
	counted, failed, late, crossRegion atomic.Int64
	probeBytes, sampleBytes            int64
}

func newMeasurement(policy string, size int) *measurement {
	return &measurement{policy: policy, size: size, latency: hdrhistogram.New(1, maxLatencyUS, 3)}
}

// plannedCall is the plan of one call. It does not depend on the policy.
type plannedCall struct {
	plannedAt  time.Duration
	work       float64
	entryIndex int
}

// planCalls draws Poisson arrivals for one slice, at the configured percentage of the nominal capacity.
func planCalls(seed uint64, size int, entries []*entryNode, options *options) []plannedCall {
	entryIndexes := weightedEntries(size, entries, options)
	random := rand.New(rand.NewPCG(seed, uint64(size)))
	rate := float64(size*targetSlots) / options.Service.Seconds() * float64(options.Load) / 100
	var calls []plannedCall
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= options.Slice {
			return calls
		}
		calls = append(calls, plannedCall{at, lognormal(random, workSigma), entryIndexes[random.IntN(len(entryIndexes))]})
	}
}

// weightedEntries returns indexes of entry nodes, with repetitions, such that a uniform draw loads each region in
// proportion to its targets, and the entry nodes of a region equally.
func weightedEntries(size int, entries []*entryNode, options *options) []int {
	byRegion := map[string][]int{}
	for i, e := range entries {
		byRegion[e.place.Region] = append(byRegion[e.place.Region], i)
	}
	var indexes []int
	for i := range size {
		local := byRegion[placeAt(i, options.Regions).Region]
		for j := range len(entries) * len(entries) {
			if len(local) == 0 {
				indexes = append(indexes, j%len(entries))
				continue
			}
			indexes = append(indexes, local[j%len(local)])
		}
	}
	return indexes
}

// sliceRun is a run of one policy with new targets and new entry nodes.
type sliceRun struct {
	options  *options
	policy   string
	round    int
	seed     uint64
	services []*service
	entries  []*entryNode
	results  []*measurement
	network  *testnet.Network
}

// runUndisturbedSlice runs a slice, and repeats it at most maxRepeats times if the timer lag shows that other load
// disturbed the machine. The last repeat counts even if it was disturbed.
func runUndisturbedSlice(options *options, policy string, round int) ([]*measurement, error) {
	for repeat := 0; ; repeat++ {
		meter := startLagMeter()
		results, err := runSlice(options, policy, round)
		lag := meter.finish()
		if err != nil || lag <= maxLag {
			return results, err
		}
		fmt.Printf("round %d, %s: timers lag %v, ", round, policy, lag)
		if repeat == maxRepeats {
			fmt.Println("kept")
			return results, nil
		}
		fmt.Println("repeated")
	}
}

// runSlice runs one policy in one round and returns one measurement per service size.
func runSlice(options *options, policy string, round int) ([]*measurement, error) {
	s := &sliceRun{network: testnet.New(), options: options, policy: policy, round: round, seed: options.Seed + uint64(round)*1000}
	defer s.close()
	if err := s.startNodes(); err != nil {
		return nil, err
	}
	var running sync.WaitGroup
	for i := range s.services {
		running.Add(1)
		go func() {
			defer running.Done()
			s.sendCalls(i)
		}()
	}
	replaceErr := s.replaceTargets()
	running.Wait()
	s.collectByteCounts()
	return s.results, replaceErr
}

// startNodes starts the targets of all services and the entry nodes.
func (s *sliceRun) startNodes() error {
	sliceStart := time.Now()
	var places []testnet.Place
	for _, size := range s.options.Sizes {
		svc := &service{name: fmt.Sprintf("s%d", size), size: size, sliceStart: sliceStart, network: s.network, targets: map[string]*target{}}
		s.services = append(s.services, svc)
		s.results = append(s.results, newMeasurement(s.policy, size))
		for i := range size {
			schedule := newTargetSchedule(s.seed+uint64(size*20+i), s.options.Slice)
			if err := svc.addTarget(i, fmt.Sprintf("%s-%d@1", svc.name, i), schedule, s.options); err != nil {
				return err
			}
			places = append(places, placeAt(i, s.options.Regions))
		}
	}
	if s.options.Entries > 0 {
		places = nil
		for i := range s.options.Entries {
			places = append(places, placeAt(i, s.options.Regions))
		}
	}
	for i, place := range places {
		if err := s.addEntryNode(i, place); err != nil {
			return err
		}
	}
	return nil
}

// addEntryNode starts an entry node with a balancer for each service.
func (s *sliceRun) addEntryNode(i int, place testnet.Place) error {
	e := newEntryNode(place, s.services, s.network, s.options)
	s.entries = append(s.entries, e)
	for _, svc := range s.services {
		balancer, err := newBalancer(s.policy, e, svc, s.options, s.seed+uint64(i)+1)
		if err != nil {
			return err
		}
		balancer.Update(svc.currentMembers())
		e.balancers[svc.name] = balancer
	}
	return nil
}

// replaceTargets replaces one target of each service in the middle of the slice: a cold replacement starts, then the old
// target drains.
func (s *sliceRun) replaceTargets() error {
	time.Sleep(s.options.Slice * 2 / 5)
	for _, svc := range s.services {
		schedule := newTargetSchedule(s.seed+uint64(svc.size*20+svc.size), s.options.Slice)
		if err := svc.startReplacement(s.round%svc.size, schedule, s.options); err != nil {
			return err
		}
	}
	s.updateMembers()
	time.Sleep(replacementOverlap)
	for _, svc := range s.services {
		svc.drainTarget(s.round % svc.size)
	}
	s.updateMembers()
	return nil
}

// updateMembers passes the current members of all services to all balancers.
func (s *sliceRun) updateMembers() {
	for _, svc := range s.services {
		for _, e := range s.entries {
			e.balancers[svc.name].Update(svc.currentMembers())
		}
	}
}

// sendCalls sends the planned calls of one service at their planned times, whether or not earlier calls have completed.
func (s *sliceRun) sendCalls(i int) {
	svc, result := s.services[i], s.results[i]
	var running sync.WaitGroup
	start := time.Now()
	for _, planned := range planCalls(s.seed, svc.size, s.entries, s.options) {
		time.Sleep(time.Until(start.Add(planned.plannedAt)))
		running.Add(1)
		result.started.Add(1)
		go func() {
			defer running.Done()
			ok, crossRegion := s.entries[planned.entryIndex].call(svc, result, planned.work)
			if planned.plannedAt >= s.options.Warmup {
				result.recordCall(s.options, ok, crossRegion, time.Since(start.Add(planned.plannedAt)))
			}
		}()
	}
	running.Wait()
}

// recordCall counts the outcome of a call that started after the warm-up, and records its latency if it was answered.
func (m *measurement) recordCall(options *options, ok, crossRegion bool, latency time.Duration) {
	m.counted.Add(1)
	if !ok || latency > lateFactor*options.Service {
		m.late.Add(1)
	}
	if crossRegion {
		m.crossRegion.Add(1)
	}
	if !ok {
		m.failed.Add(1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.latency.RecordValue(min(latency.Microseconds(), maxLatencyUS))
}

// collectByteCounts sums up the bytes of the load samples of each service. It attributes the probe bytes of the entry
// nodes to the services in proportion to their size.
func (s *sliceRun) collectByteCounts() {
	var probes int64
	targetCount := 0
	for _, e := range s.entries {
		probes += e.byteBudget.BytesWritten(budget.Probe, budget.Region) + e.byteBudget.BytesWritten(budget.Probe, budget.InterRegion)
	}
	for _, svc := range s.services {
		targetCount += svc.size
	}
	for i, svc := range s.services {
		s.results[i].probeBytes = probes * int64(svc.size) / int64(targetCount)
		for _, t := range svc.targets {
			s.results[i].sampleBytes += t.byteBudget.BytesWritten(budget.Sample, budget.Region) +
				t.byteBudget.BytesWritten(budget.Sample, budget.InterRegion)
		}
	}
}

func (s *sliceRun) close() {
	for _, e := range s.entries {
		e.close()
	}
	for _, svc := range s.services {
		svc.close()
	}
}
