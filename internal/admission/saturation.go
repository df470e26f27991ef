package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// lowQuantile is the share of service times below the compared one. A low quantile sees little of the noise of shared
	// machines and of waits for other services, which only lengthen times.
	lowQuantile = 0.35
	// lowerPhase and upperPhase are the numbers of completed requests for which a limit is tried by turns. Short phases keep
	// changes of the load on other services from being taken for an effect of the limit. The lower limit is tried for
	// longer: until the decision, the loss of a slot that helps costs less than that of one that slows all others down.
	lowerPhase = 20
	upperPhase = 10
	// saturationSamples is the number of samples needed on both sides.
	saturationSamples = 24
	// minKindSamples is the number of samples of a kind on both sides from which it counts.
	minKindSamples = 4
	// spreadLow and spreadHigh bound the shares whose ratio is the spread of a kind's times, and leastVariance bounds the
	// weight of kinds with hardly any.
	spreadLow     = 0.2
	spreadHigh    = 0.65
	leastVariance = 0.05
	// saturationGain is the factor of throughput that the lower limit must promise.
	saturationGain = 1.0
	// saturationMemory is the time after which a decision is dropped, to learn anew whether it still holds.
	saturationMemory = 2 * time.Minute
	// minVotes is the number of decisions of targets of one service from which their majority replaces the own one. A single
	// decision is wrong in one of ten cases.
	minVotes = 3
	// maxSideSamples bounds the memory of one kind on one side.
	maxSideSamples = 128
)

// saturation learns whether a target slows down when nearly all its slots are in use, and the number of requests up to which
// it doesn't. It answers the load of a burst on such targets: with all slots in use each request takes so much longer that
// fewer are answered than with some slots left free. Under such a load nothing is seen of lower loads, so a lower limit is
// tried by turns with the present one, and the one with the higher throughput stays. It is not safe for concurrent use and
// does no I/O.
type saturation struct {
	slots        int // for which the limits were chosen; 0: none yet
	lower, upper int // limits that are compared; upper is in force once settled
	trying       bool
	left         int // completed requests until the other limit is tried
	kinds        map[string]*sides
	settled      bool
	settledAt    time.Time
}

// Agreed returns the limit that most targets of a service decided for, or 0 while too few agree. Votes of 0 are none.
func Agreed(votes []int) int {
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

// sides are the service times of one kind of request, in seconds.
type sides struct{ below, above []float64 }

// lowerLimit is the limit that is tried, four fifths of the slots.
func lowerLimit(slots int) int { return slots * 4 / 5 }

// begin compares the use of all slots with the lower limit.
func (s *saturation) begin(slots int, now time.Time) {
	lower := lowerLimit(slots)
	*s = saturation{slots: slots, upper: slots, lower: lower, trying: true, left: lowerPhase}
	if lower == 0 || lower == slots {
		s.settled, s.settledAt = true, now
	}
}

// allowed is the number of requests that may be at the target at once.
func (s *saturation) allowed(slots int) int {
	switch {
	case s.slots != slots:
		return slots
	case s.trying && !s.settled:
		return s.lower
	}
	return s.upper
}

// record adds a completed request of a kind with the load at its start, itself included. The load at the start explains
// service times; the load during the rest of the run adds little (docs/measurements.md).
func (s *saturation) record(kind string, load int, took time.Duration, slots int, now time.Time) {
	if s.slots != slots || s.settled && now.Sub(s.settledAt) > saturationMemory {
		s.begin(slots, now)
	}
	if s.settled || took <= 0 {
		return
	}
	if s.left--; s.left <= 0 {
		s.trying = !s.trying
		s.left = upperPhase
		if s.trying {
			s.left = lowerPhase
		}
	}
	s.add(kind, load, took)
	if slowdown, ok := s.slowdown(); ok {
		s.decide(slowdown, now)
	}
}

func (s *saturation) add(kind string, load int, took time.Duration) {
	// Loads far below the limit are left out: with them, all that grows with the load would count as a slowdown.
	if 2*load <= s.lower || load > s.upper {
		return
	}
	times := s.kinds[kind]
	if times == nil {
		if len(s.kinds) >= maxKinds {
			return
		}
		if s.kinds == nil {
			s.kinds = map[string]*sides{}
		}
		times = &sides{}
		s.kinds[kind] = times
	}
	side := &times.below
	if load > s.lower {
		side = &times.above
	}
	if len(*side) < maxSideSamples {
		*side = append(*side, took.Seconds())
	}
}

// slowdown is the factor between the service times above and below the lower limit, as the geometric mean over the kinds;
// false while too few are known. Kinds whose times vary little count more: those of requests that call other services say
// less about the target.
func (s *saturation) slowdown() (float64, bool) {
	sum, weights, samples := 0.0, 0.0, 0
	for _, times := range s.kinds {
		counts := min(len(times.below), len(times.above))
		if counts < minKindSamples {
			continue
		}
		slices.Sort(times.below)
		slices.Sort(times.above)
		spread := math.Log(quantile(times.below, spreadHigh) / quantile(times.below, spreadLow))
		weight := float64(counts) / (leastVariance + spread*spread)
		sum += weight * math.Log(quantile(times.above, lowQuantile)/quantile(times.below, lowQuantile))
		weights += weight
		samples += counts
	}
	if samples < saturationSamples {
		return 0, false
	}
	return math.Exp(sum / weights), true
}

// decide keeps the limit with the higher throughput.
func (s *saturation) decide(slowdown float64, now time.Time) {
	if slowdown*float64(s.lower)/float64(s.upper) > saturationGain {
		s.upper = s.lower
	}
	s.settled, s.settledAt = true, now
}

// quantile is the value below which the given share of the sorted values lies.
func quantile(sorted []float64, share float64) float64 {
	return sorted[int(share*float64(len(sorted)))]
}
