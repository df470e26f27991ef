package admission

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulateBurst feeds a detector with a burst that keeps all allowed slots of a target in use. Above kneeAt
// concurrent requests the target slows down by the factor. As on shared machines, a quarter of the requests take up
// to three times as long, and the load on other services raises all service times by half in the middle of the run.
func simulateBurst(seed uint64, slots, kneeAt int, factor float64, samples int) *saturationDetector {
	random := rand.New(rand.NewPCG(seed, 1))
	detector := &saturationDetector{}
	detector.reset(slots, start)
	now := start
	for i := range samples {
		now = now.Add(60 * time.Millisecond)
		load := max(1, detector.limit(slots)-random.IntN(2))
		serviceTime := 220 * math.Exp(0.3*random.NormFloat64())
		if random.Float64() < 0.25 {
			serviceTime *= 1 + 2*random.Float64()
		}
		if i > samples/3 && i < samples/2 {
			serviceTime *= 1.5
		}
		if load > kneeAt {
			serviceTime *= factor
		}
		kind := []string{"browse", "purchase"}[i%2]
		if kind == "purchase" {
			serviceTime *= 1.3
		}
		detector.record(kind, load, time.Duration(serviceTime*float64(time.Millisecond)), slots, now)
	}
	return detector
}

// Guards against a lower limit for targets that don't slow down, which would cost a fifth of their capacity, and against
// no lower limit for targets that do.
func TestSaturationFindsLimit(t *testing.T) {
	wrong := 0
	const seeds = 50
	var limited, unlimited []int
	for seed := range uint64(seeds) {
		detector := simulateBurst(seed, 9, 9, 1, 400)
		assert.Assert(t, detector.settled, "seed %d", seed)
		unlimited = append(unlimited, detector.limit(9))
		if detector.limit(9) != 9 {
			wrong++
		}
		detector = simulateBurst(seed, 9, 7, 1.7, 400)
		assert.Assert(t, detector.settled, "seed %d", seed)
		limited = append(limited, detector.limit(9))
		if limit := detector.limit(9); limit != 7 {
			wrong++
		}
	}
	assert.Assert(t, wrong <= 2*seeds/10, "%d of %d decisions are wrong", wrong, 2*seeds)
	for first := 0; first+5 <= seeds; first += 5 {
		assert.Equal(t, MajorityLimit(unlimited[first:first+5]), 9)
		assert.Equal(t, MajorityLimit(limited[first:first+5]), 7)
	}
}

// Guards against a decision of a single target or of a minority that is applied to all targets of a service.
func TestAgreedNeedsMajority(t *testing.T) {
	assert.Equal(t, MajorityLimit([]int{7, 7}), 0)
	assert.Equal(t, MajorityLimit([]int{7, 0, 7, 9, 9}), 0)
	assert.Equal(t, MajorityLimit([]int{7, 7, 9}), 7)
}

// Guards against a lower limit that stays in force after the target no longer slows down.
func TestSaturationDecisionExpires(t *testing.T) {
	detector := simulateBurst(1, 9, 7, 1.7, 400)
	assert.Equal(t, detector.limit(9), 7)
	later := detector.settledAt.Add(decisionTTL + time.Second)
	detector.record("browse", 5, 220*time.Millisecond, 9, later)
	assert.Assert(t, !detector.settled && detector.upper == 9)
}
