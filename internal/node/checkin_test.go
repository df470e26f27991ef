package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// startTime is an arbitrary instant; the tests depend on time differences only.
var startTime = time.Unix(1_700_000_000, 0)

func newCheckIn(targetID string, startedAt int64, sequence uint64, draining bool) *CheckIn {
	return &CheckIn{TargetID: targetID, StartedAt: startedAt, Sequence: sequence, Draining: draining}
}

// at returns the time that many seconds after startTime.
func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against a late check-in undoing a drain, a departure or the switch to a newer boot.
func TestLateCheckInsAreIgnored(t *testing.T) {
	var s targetState
	assert.Equal(t, s.applyCheckIn(newCheckIn("a", 10, 1, false), at(0)), changeNewBoot)
	assert.Equal(t, s.applyCheckIn(newCheckIn("a", 10, 3, true), at(1)), changeDraining)
	assert.Equal(t, s.applyCheckIn(newCheckIn("a", 10, 2, false), at(1.1)), changeNone)
	assert.Assert(t, s.draining)
	assert.Assert(t, s.applyDeparture("a", 0, at(2)))
	assert.Equal(t, s.applyCheckIn(newCheckIn("a", 10, 9, false), at(3)), changeNone)
	assert.Equal(t, s.applyCheckIn(newCheckIn("b", 20, 1, false), at(4)), changeNewBoot)
	for seconds := 5.0; seconds < 60; seconds++ {
		assert.Equal(t, s.applyCheckIn(newCheckIn("a", 10, uint64(10+seconds), false), at(seconds)), changeNone, "%v", seconds)
	}
	assert.Equal(t, s.targetID, "b")
	assert.Assert(t, !s.applyDeparture("a", 10, at(60)))
}

// Guards against a target that is never served again after its machine's clock was set back: its new boot reports an
// earlier start time than the previous one.
func TestNewBootAfterClockWasSetBack(t *testing.T) {
	var s targetState
	s.applyCheckIn(newCheckIn("a", 5000, 1, false), at(0))
	changed := changeNone
	for i := uint64(1); i <= 8 && changed == changeNone; i++ {
		changed = s.applyCheckIn(newCheckIn("b", 100, i, false), at(1.5*float64(i)))
	}
	assert.Equal(t, changed, changeNewBoot)
	assert.Equal(t, s.targetID, "b")
	assert.Equal(t, s.applyCheckIn(newCheckIn("a", 5000, 99, false), at(14)), changeNone)
	assert.Equal(t, s.applyCheckIn(newCheckIn("c", 200, 1, false), at(15)), changeNewBoot)
}

// Guards against check-ins of an unknown earlier boot, delayed by a network partition, replacing a boot that is alive
// or has just become silent.
func TestDelayedCheckInsOfEarlierBootAreIgnored(t *testing.T) {
	var s targetState
	s.applyCheckIn(newCheckIn("b", 20, 1, false), at(0))
	for i := range 10 { // the current boot is alive
		assert.Equal(t, s.applyCheckIn(newCheckIn("a", 10, uint64(i+1), false), at(1.5*float64(i))), changeNone)
		assert.Equal(t, s.applyCheckIn(newCheckIn("b", 20, uint64(i+2), false), at(1.5*float64(i)+0.1)), changeNone)
	}
	s = targetState{}
	s.applyCheckIn(newCheckIn("b", 20, 1, false), at(0))
	for i := range 10 { // the delayed check-ins arrive together
		assert.Equal(t, s.applyCheckIn(newCheckIn("a", 10, uint64(i+1), false), at(30+0.01*float64(i))), changeNone)
	}
	assert.Equal(t, s.targetID, "b")
}

// Guards against any order of check-ins and departures after which a drained or departed boot is served again.
func TestDrainedBootsStayDrained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s targetState
		drained := map[bootID]bool{}
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 4).Draw(t, "pause")
			targetID := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			startedAt := rapid.Int64Range(1, 3).Draw(t, "born")
			id := bootID{targetID, startedAt}
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				if s.applyDeparture(targetID, startedAt, at(now)) {
					drained[id] = true
				}
				continue
			}
			draining := rapid.IntRange(0, 4).Draw(t, "drains") == 0
			if s.applyCheckIn(newCheckIn(targetID, startedAt, rapid.Uint64Range(1, 50).Draw(t, "sequence"), draining), at(now)) != changeNone && draining {
				drained[id] = true
			}
			served := bootID{s.targetID, s.startedAt}
			if s.targetID != "" && drained[served] {
				assert.Assert(t, s.draining, "boot %v", served)
			}
		}
	})
}

// Guards against a boot that is served although its departure was acknowledged: before the stored state was read, before
// the first check-in of the boot, or while another boot was the current one.
func TestDepartedBootsAreNeverServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		boots := []bootID{{"a", 1}, {"a", 2}, {"b", 2}, {"b", 3}, {"c", 1}}
		anyBoot := rapid.SampledFrom(boots)
		var s targetState
		left := map[bootID]bool{}
		var stored targetState
		if rapid.Bool().Draw(t, "stored") {
			boot := anyBoot.Draw(t, "stored boot")
			stored = targetState{targetID: boot.targetID, startedAt: boot.startedAt, sequence: 3, lastHeard: at(0)}
		}
		restoreAt := rapid.IntRange(0, 20).Draw(t, "restored at step")
		now := 0.0
		for step := range 40 {
			now += rapid.Float64Range(0, 4).Draw(t, "pause")
			if step == restoreAt {
				s.restore(stored, at(now))
			}
			boot := anyBoot.Draw(t, "boot")
			if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
				s.applyDeparture(boot.targetID, boot.startedAt, at(now))
				left[boot] = true
			} else {
				s.applyCheckIn(newCheckIn(boot.targetID, boot.startedAt, rapid.Uint64Range(1, 50).Draw(t, "sequence"), false), at(now))
			}
			if left[s.boot()] {
				assert.Assert(t, s.departed && s.draining, "boot %v", s.boot())
			}
		}
	})
}
