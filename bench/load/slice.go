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
	maxSends    = 3
	// lateFactor is the number of mean service times after which an answer counts as late, like a failed call.
	lateFactor = 4
	// highestLatency bounds the histograms, in microseconds.
	highestLatency = 10_000_000
)

// measured is what one policy did to one service in one slice.
type measured struct {
	policy  string
	size    int
	mu      sync.Mutex
	latency *hdrhistogram.Histogram // of answered calls, in microseconds from the planned start

	// all, retries and hedges include the warm-up; the others don't.
	all, retries, hedges     atomic.Int64
	calls, failed, late, far atomic.Int64
	probeBytes, sampleBytes  int64
}

func newMeasured(policy string, size int) *measured {
	return &measured{policy: policy, size: size, latency: hdrhistogram.New(1, highestLatency, 3)}
}

// call is one planned call. Its plan does not depend on the policy.
type call struct {
	at    time.Duration
	work  float64
	entry int
}

// plan draws Poisson arrivals at the given share of the nominal capacity.
func plan(seed uint64, size int, entries []*entry, options *options) []call {
	shares := entryShares(size, entries, options)
	random := rand.New(rand.NewPCG(seed, uint64(size)))
	rate := float64(size*targetSlots) / options.Service.Seconds() * float64(options.Load) / 100
	var calls []call
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= options.Slice {
			return calls
		}
		calls = append(calls, call{at, lognormal(random, workSigma), shares[random.IntN(len(shares))]})
	}
}

// entryShares lists entry nodes so that a uniform draw loads each region in proportion to its targets, and the entry
// nodes of a region equally.
func entryShares(size int, entries []*entry, options *options) []int {
	byRegion := map[string][]int{}
	for i, e := range entries {
		byRegion[e.place.Region] = append(byRegion[e.place.Region], i)
	}
	var shares []int
	for i := range size {
		local := byRegion[placeOf(i, options.Regions).Region]
		for j := range len(entries) * len(entries) {
			if len(local) == 0 {
				shares = append(shares, j%len(entries))
				continue
			}
			shares = append(shares, local[j%len(local)])
		}
	}
	return shares
}

// slice runs one policy on new targets and new entry nodes.
type slice struct {
	options  *options
	policy   string
	round    int
	seed     uint64
	services []*service
	entries  []*entry
	results  []*measured
	network  *testnet.Network
}

// runSettled repeats a slice in which the machine was disturbed.
func runSettled(options *options, policy string, round int) ([]*measured, error) {
	for repeat := 0; ; repeat++ {
		meter := startLagMeter()
		results, err := runSlice(options, policy, round)
		lag := meter.end()
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

// runSlice returns one result for each size.
func runSlice(options *options, policy string, round int) ([]*measured, error) {
	s := &slice{network: testnet.New(), options: options, policy: policy, round: round, seed: options.Seed + uint64(round)*1000}
	defer s.close()
	if err := s.build(); err != nil {
		return nil, err
	}
	var running sync.WaitGroup
	for i := range s.services {
		running.Add(1)
		go func() {
			defer running.Done()
			s.drive(i)
		}()
	}
	failed := s.replaceOne()
	running.Wait()
	s.countBytes()
	return s.results, failed
}

func (s *slice) build() error {
	began := time.Now()
	var workers []testnet.Place
	for _, size := range s.options.Sizes {
		built := &service{name: fmt.Sprintf("s%d", size), size: size, began: began, network: s.network, targets: map[string]*target{}}
		s.services = append(s.services, built)
		s.results = append(s.results, newMeasured(s.policy, size))
		for i := range size {
			acts := newBehaviour(s.seed+uint64(size*20+i), s.options.Slice)
			if err := built.start(i, fmt.Sprintf("%s-%d@1", built.name, i), acts, s.options); err != nil {
				return err
			}
			workers = append(workers, placeOf(i, s.options.Regions))
		}
	}
	if s.options.Entries > 0 {
		workers = nil
		for i := range s.options.Entries {
			workers = append(workers, placeOf(i, s.options.Regions))
		}
	}
	for i, at := range workers {
		if err := s.addEntry(i, at); err != nil {
			return err
		}
	}
	return nil
}

func (s *slice) addEntry(i int, at testnet.Place) error {
	e := newEntry(at, s.services, s.network, s.options)
	s.entries = append(s.entries, e)
	for _, of := range s.services {
		balancer, err := newBalancer(s.policy, e, of, s.options, s.seed+uint64(i)+1)
		if err != nil {
			return err
		}
		balancer.Update(of.current())
		e.balancers[of.name] = balancer
	}
	return nil
}

// replaceOne replaces one target of each service in the middle of the slice: a cold one starts, then the old one
// drains.
func (s *slice) replaceOne() error {
	time.Sleep(s.options.Slice * 2 / 5)
	for _, of := range s.services {
		acts := newBehaviour(s.seed+uint64(of.size*20+of.size), s.options.Slice)
		if err := of.replace(s.round%of.size, acts, s.options); err != nil {
			return err
		}
	}
	s.update()
	time.Sleep(coldOverlap)
	for _, of := range s.services {
		of.drain(s.round % of.size)
	}
	s.update()
	return nil
}

func (s *slice) update() {
	for _, of := range s.services {
		for _, e := range s.entries {
			e.balancers[of.name].Update(of.current())
		}
	}
}

// drive sends the planned calls of one service at their times, whatever becomes of the earlier ones.
func (s *slice) drive(i int) {
	of, result := s.services[i], s.results[i]
	var running sync.WaitGroup
	began := time.Now()
	for _, next := range plan(s.seed, of.size, s.entries, s.options) {
		time.Sleep(time.Until(began.Add(next.at)))
		running.Add(1)
		result.all.Add(1)
		go func() {
			defer running.Done()
			ok, far := s.entries[next.entry].run(of, result, next.work)
			if next.at >= s.options.Warmup {
				result.record(s.options, ok, far, time.Since(began.Add(next.at)))
			}
		}()
	}
	running.Wait()
}

func (m *measured) record(options *options, ok, far bool, latency time.Duration) {
	m.calls.Add(1)
	if !ok || latency > lateFactor*options.Service {
		m.late.Add(1)
	}
	if far {
		m.far.Add(1)
	}
	if !ok {
		m.failed.Add(1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.latency.RecordValue(min(latency.Microseconds(), highestLatency))
}

// countBytes shares the entry nodes' probe bytes among the services by their size.
func (s *slice) countBytes() {
	var probes int64
	workers := 0
	for _, e := range s.entries {
		probes += e.bytes.BytesWritten(budget.Probe, budget.Region) + e.bytes.BytesWritten(budget.Probe, budget.InterRegion)
	}
	for _, of := range s.services {
		workers += of.size
	}
	for i, of := range s.services {
		s.results[i].probeBytes = probes * int64(of.size) / int64(workers)
		for _, t := range of.targets {
			s.results[i].sampleBytes += t.bytes.BytesWritten(budget.Sample, budget.Region) +
				t.bytes.BytesWritten(budget.Sample, budget.InterRegion)
		}
	}
}

func (s *slice) close() {
	for _, e := range s.entries {
		e.close()
	}
	for _, of := range s.services {
		of.close()
	}
}
