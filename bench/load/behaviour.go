package main

import (
	"math"
	"math/rand/v2"
	"time"
)

// The targets' behaviour over time. All policies of a round meet the same behaviour.
const (
	speedMean    = 8 * time.Millisecond // mean time between shifts of a target's speed
	speedSigma   = 0.25                 // of the lognormal speed
	workSigma    = 0.25                 // of the lognormal work of a call
	stragglerGap = 5 * time.Second      // mean time between a target's straggler phases
	stragglerLen = 200 * time.Millisecond
	// stragglerSlow leaves 83% of the capacity of five targets.
	stragglerSlow = 6.0
	staleGap      = 5 * time.Second // mean time between phases in which the reported load is frozen
	staleLen      = 400 * time.Millisecond
	coldSlow      = 3.0 // factor right after the start
	coldTime      = time.Second
	// coldOverlap is the time between a replacement's start and the drain of the target that it replaces.
	coldOverlap = 500 * time.Millisecond
)

// behaviour is one target's schedule, relative to the start of a slice.
type behaviour struct {
	seed       uint64
	speeds     []float64 // one per speedMean/8 step
	stragglers []phase
	stale      []phase
	cold       bool
	started    time.Duration
}

type phase struct{ from, to time.Duration }

const speedStep = speedMean / 8

func newBehaviour(seed uint64, length time.Duration) *behaviour {
	random := rand.New(rand.NewPCG(seed, 7))
	b := &behaviour{seed: seed}
	b.stragglers = phases(random, length, stragglerGap, stragglerLen)
	b.stale = phases(random, length, staleGap, staleLen)
	speed := lognormal(random, speedSigma)
	for at := time.Duration(0); at < length; at += speedStep {
		if random.Float64() < float64(speedStep)/float64(speedMean) {
			speed = lognormal(random, speedSigma)
		}
		b.speeds = append(b.speeds, speed)
	}
	return b
}

func phases(random *rand.Rand, length, gap, long time.Duration) []phase {
	var all []phase
	at := time.Duration(random.ExpFloat64() * float64(gap))
	for at < length {
		all = append(all, phase{at, at + long})
		at += long + time.Duration(random.ExpFloat64()*float64(gap))
	}
	return all
}

// lognormal has mean 1.
func lognormal(random *rand.Rand, sigma float64) float64 {
	return math.Exp(sigma*random.NormFloat64() - sigma*sigma/2)
}

func within(phases []phase, at time.Duration) bool {
	for _, p := range phases {
		if at >= p.from && at < p.to {
			return true
		}
	}
	return false
}

// slow is the factor that lasts: straggler and cold start.
func (b *behaviour) slow(at time.Duration) float64 {
	factor := 1.0
	if within(b.stragglers, at) {
		factor *= stragglerSlow
	}
	if age := at - b.started; b.cold && age < coldTime {
		factor *= coldSlow - (coldSlow-1)*max(0, float64(age)/float64(coldTime))
	}
	return factor
}

// speed is the factor that shifts within milliseconds.
func (b *behaviour) speed(at time.Duration) float64 {
	step := int(at / speedStep)
	return b.speeds[max(0, min(step, len(b.speeds)-1))]
}
