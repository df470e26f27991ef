package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// lowQuantile is the quantile at which service times are compared. A low quantile is hardly affected by the noise of
	// shared machines and by waits for other services, which only lengthen service times.
	lowQuantile = 0.35
	// lowerPhase and upperPhase are the numbers of completed requests for which the two limits are tried alternately.
	// With short phases, changes of the load on other services are not mistaken for an effect of the limit. The lower
	// limit is tried for longer: until the decision, doing without a useful slot costs less than using one that slows
	// down all others.
	lowerPhase = 20
	upperPhase = 10
	// minSamples is the number of samples needed on each side of the lower limit, summed over the kinds.
	minSamples = 24
	// minKindSamples is the number of samples of a kind needed on each side for the kind to be included.
	minKindSamples = 4
	// spreadLow and spreadHigh are the quantiles whose ratio is the spread of a kind's service times. minVariance
	// bounds the weight of kinds with hardly any spread.
	spreadLow   = 0.2
	spreadHigh  = 0.65
	minVariance = 0.05
	// minThroughputGain is the ratio of throughput at the lower limit to that at the upper one above which the lower
	// limit is chosen.
	minThroughputGain = 1.0
	// decisionTTL is the time after which a decision expires and the limit is learned again.
	decisionTTL = 2 * time.Minute
	// minVotes is the number of decisions by targets of one service from which their majority replaces a target's own
	// decision. A single decision is wrong in one of ten cases.
	minVotes = 3
	// maxSideSamples is the largest number of samples kept for one kind on one side; it bounds the memory.
	maxSideSamples = 128
)

// saturationDetector learns whether a target slows down when nearly all its slots are in use, and the number of
// concurrent requests up to which it doesn't. In a burst on such a target, each request takes so much longer with all
// slots in use that fewer requests are answered than with some slots left free. A burst gives no samples of lower
// loads, so a lower limit is tried alternately with the present one, and the one with the higher throughput is kept.
// It is not safe for concurrent use and does no I/O.
type saturationDetector struct {
	slots        int  // number of slots for which the limits were chosen; 0: none yet
	lower, upper int  // limits that are compared; upper applies once settled
	tryingLower  bool // the lower limit applies until settled
	remaining    int  // completed requests until the other limit is tried
	kinds        map[string]*kindSamples
	settled      bool // the decision is made
	settledAt    time.Time
}

// MajorityLimit returns the limit that the majority of the votes has, or 0 if there are fewer than minVotes votes or no
// majority. Each vote is the limit that one target of a service has chosen; 0 is no vote.
func MajorityLimit(votes []int) int {
	counts := map[int]int{}
	total := 0
	for _, vote := range votes {
		if vote > 0 {
			counts[vote]++
			total++
		}
	}
	for limit, count := range counts {
		if total >= minVotes && 2*count > total {
			return limit
		}
	}
	return 0
}

// kindSamples holds the service times of one kind of request in seconds, at loads up to the lower limit and above it.
type kindSamples struct{ below, above []float64 }

// lowerLimit returns the lower limit to try, four fifths of the slots.
func lowerLimit(slots int) int { return slots * 4 / 5 }

// reset starts a new comparison of the use of all slots with the lower limit.
func (s *saturationDetector) reset(slots int, now time.Time) {
	lower := lowerLimit(slots)
	*s = saturationDetector{slots: slots, upper: slots, lower: lower, tryingLower: true, remaining: lowerPhase}
	if lower == 0 || lower == slots {
		s.settled, s.settledAt = true, now
	}
}

// limit returns the number of requests that may be at the target concurrently, of the given slots.
func (s *saturationDetector) limit(slots int) int {
	switch {
	case s.slots != slots:
		return slots
	case s.tryingLower && !s.settled:
		return s.lower
	}
	return s.upper
}

// record adds the service time of a request of a kind, with the load at its start, itself included. The load at the
// start explains service times; the load during the rest of the run adds little (docs/measurements.md).
func (s *saturationDetector) record(kind string, load int, serviceTime time.Duration, slots int, now time.Time) {
	if s.slots != slots || s.settled && now.Sub(s.settledAt) > decisionTTL {
		s.reset(slots, now)
	}
	if s.settled || serviceTime <= 0 {
		return
	}
	if s.remaining--; s.remaining <= 0 {
		s.tryingLower = !s.tryingLower
		s.remaining = upperPhase
		if s.tryingLower {
			s.remaining = lowerPhase
		}
	}
	s.addSample(kind, load, serviceTime)
	if slowdown, ok := s.slowdown(); ok {
		s.decide(slowdown, now)
	}
}

// addSample adds a service time to the samples of its kind.
func (s *saturationDetector) addSample(kind string, load int, serviceTime time.Duration) {
	// Loads far below the limit are excluded: with them, any growth of service times with the load would count as a
	// slowdown.
	if 2*load <= s.lower || load > s.upper {
		return
	}
	times := s.kinds[kind]
	if times == nil {
		if len(s.kinds) >= maxKinds {
			return
		}
		if s.kinds == nil {
			s.kinds = map[string]*kindSamples{}
		}
		times = &kindSamples{}
		s.kinds[kind] = times
	}
	side := &times.below
	if load > s.lower {
		side = &times.above
	}
	if len(*side) < maxSideSamples {
		*side = append(*side, serviceTime.Seconds())
	}
}

// slowdown returns the ratio of the service times above the lower limit to those up to it, as the weighted geometric
// mean over the kinds, or false while there are too few samples. Kinds whose service times vary little have more
// weight: the times of requests that call other services depend less on the target.
func (s *saturationDetector) slowdown() (float64, bool) {
	sum, weights, samples := 0.0, 0.0, 0
	for _, times := range s.kinds {
		counts := min(len(times.below), len(times.above))
		if counts < minKindSamples {
			continue
		}
		slices.Sort(times.below)
		slices.Sort(times.above)
		spread := math.Log(quantile(times.below, spreadHigh) / quantile(times.below, spreadLow))
		weight := float64(counts) / (minVariance + spread*spread)
		sum += weight * math.Log(quantile(times.above, lowQuantile)/quantile(times.below, lowQuantile))
		weights += weight
		samples += counts
	}
	if samples < minSamples {
		return 0, false
	}
	return math.Exp(sum / weights), true
}

// decide chooses the limit with the higher throughput.
func (s *saturationDetector) decide(slowdown float64, now time.Time) {
	if slowdown*float64(s.lower)/float64(s.upper) > minThroughputGain {
		s.upper = s.lower
	}
	s.settled, s.settledAt = true, now
}

// quantile returns the value below which the given share of the sorted values lies.
func quantile(sorted []float64, share float64) float64 {
	return sorted[int(share*float64(len(sorted)))]
}
