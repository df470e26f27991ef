package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// Parameters of the targets' simulated performance over time. All policies of a round run against the same schedules.
const (
	jitterInterval    = 8 * time.Millisecond // mean time between changes of a target's jitter factor
	jitterSigma       = 0.25                 // sigma of the lognormal jitter factor
	workSigma         = 0.25                 // sigma of the lognormal work of a call
	stragglerInterval = 5 * time.Second      // mean time between a target's straggler phases
	stragglerDuration = 200 * time.Millisecond
	// stragglerSlowdown leaves five targets, one of them in a straggler phase, 83% of their nominal capacity.
	stragglerSlowdown = 6.0
	staleInterval     = 5 * time.Second // mean time between phases in which a target reports an outdated load sample
	staleDuration     = 400 * time.Millisecond
	coldSlowdown      = 3.0 // factor immediately after the start
	coldDuration      = time.Second
	// replacementOverlap is the time between the start of a replacement and the drain of the target that it replaces.
	replacementOverlap = 500 * time.Millisecond
)

// targetSchedule is the simulated performance of one target over time, relative to the start of a slice.
type targetSchedule struct {
	seed          uint64
	jitterFactors []float64 // one per jitterStep (jitterInterval / 8)
	stragglers    []phase
	stale         []phase
	cold          bool
	startedAt     time.Duration
}

// phase is the time from start (inclusive) to end (exclusive), relative to the start of a slice.
type phase struct{ start, end time.Duration }

// jitterStep is the resolution of the jitter factors.
const jitterStep = jitterInterval / 8

// newTargetSchedule draws a schedule of the given length from the seed.
func newTargetSchedule(seed uint64, length time.Duration) *targetSchedule {
	random := rand.New(rand.NewPCG(seed, 7))
	s := &targetSchedule{seed: seed}
	s.stragglers = drawPhases(random, length, stragglerInterval, stragglerDuration)
	s.stale = drawPhases(random, length, staleInterval, staleDuration)
	factor := lognormal(random, jitterSigma)
	for at := time.Duration(0); at < length; at += jitterStep {
		if random.Float64() < float64(jitterStep)/float64(jitterInterval) {
			factor = lognormal(random, jitterSigma)
		}
		s.jitterFactors = append(s.jitterFactors, factor)
	}
	return s
}

// drawPhases draws phases of the given duration, separated by exponentially distributed intervals.
func drawPhases(random *rand.Rand, length, meanInterval, duration time.Duration) []phase {
	var phases []phase
	at := time.Duration(random.ExpFloat64() * float64(meanInterval))
	for at < length {
		phases = append(phases, phase{at, at + duration})
		at += duration + time.Duration(random.ExpFloat64()*float64(meanInterval))
	}
	return phases
}

// lognormal draws from a lognormal distribution with mean 1.
func lognormal(random *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*random.NormFloat64() - sigma*sigma/2)
}

// inPhase reports whether the time is within one of the phases.
func inPhase(phases []phase, at time.Duration) bool {
	for _, p := range phases {
		if at >= p.start && at < p.end {
			return true
		}
	}
	return false
}

// slowdown returns the factor of the service time that persists over many calls: straggler phase and cold start.
func (s *targetSchedule) slowdown(at time.Duration) float64 {
	factor := 1.0
	if inPhase(s.stragglers, at) {
		factor *= stragglerSlowdown
	}
	if age := at - s.startedAt; s.cold && age < coldDuration {
		factor *= coldSlowdown - (coldSlowdown-1)*max(0, float64(age)/float64(coldDuration))
	}
	return factor
}

// jitter returns the factor of the service time that changes within milliseconds.
func (s *targetSchedule) jitter(at time.Duration) float64 {
	step := int(at / jitterStep)
	return s.jitterFactors[max(0, min(step, len(s.jitterFactors)-1))]
}
