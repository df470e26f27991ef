package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// start is any time; only differences count.
var start = time.Unix(1_700_000_000, 0)

func says(id string, born int64, sequence uint64, draining bool) *CheckIn {
	return &CheckIn{TargetID: id, Born: born, Sequence: sequence, Draining: draining}
}

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against late check-ins that undo a drain, a departure or a newer boot.
func TestLateCheckInsChangeNothing(t *testing.T) {
	var s targetState
	assert.Equal(t, s.apply(says("a", 10, 1, false), after(0)), changeBoot)
	assert.Equal(t, s.apply(says("a", 10, 3, true), after(1)), changeDrain)
	assert.Equal(t, s.apply(says("a", 10, 2, false), after(1.1)), changeNone)
	assert.Assert(t, s.draining)
	assert.Assert(t, s.leave("a", 0, after(2)))
	assert.Equal(t, s.apply(says("a", 10, 9, false), after(3)), changeNone)
	assert.Equal(t, s.apply(says("b", 20, 1, false), after(4)), changeBoot)
	for seconds := 5.0; seconds < 60; seconds++ {
		assert.Equal(t, s.apply(says("a", 10, uint64(10+seconds), false), after(seconds)), changeNone, "%v", seconds)
	}
	assert.Equal(t, s.id, "b")
	assert.Assert(t, !s.leave("a", 10, after(60)))
}

// Guards against a target that never serves again: its machine's time of day was set back, so its new boot says that it
// started before the last one.
func TestBootAfterTheClockWasSetBack(t *testing.T) {
	var s targetState
	s.apply(says("a", 5000, 1, false), after(0))
	changed := changeNone
	for i := uint64(1); i <= 8 && changed == changeNone; i++ {
		changed = s.apply(says("b", 100, i, false), after(1.5*float64(i)))
	}
	assert.Equal(t, changed, changeBoot)
	assert.Equal(t, s.id, "b")
	assert.Equal(t, s.apply(says("a", 5000, 99, false), after(14)), changeNone)
	assert.Equal(t, s.apply(says("c", 200, 1, false), after(15)), changeBoot)
}

// Guards against check-ins of an unknown earlier boot, held back by a partition, that replace a boot which lives or has
// just gone silent.
func TestCheckInsFromBeforeReplaceNothing(t *testing.T) {
	var s targetState
	s.apply(says("b", 20, 1, false), after(0))
	for i := range 10 { // the known boot lives
		assert.Equal(t, s.apply(says("a", 10, uint64(i+1), false), after(1.5*float64(i))), changeNone)
		assert.Equal(t, s.apply(says("b", 20, uint64(i+2), false), after(1.5*float64(i)+0.1)), changeNone)
	}
	s = targetState{}
	s.apply(says("b", 20, 1, false), after(0))
	for i := range 10 { // they arrive together
		assert.Equal(t, s.apply(says("a", 10, uint64(i+1), false), after(30+0.01*float64(i))), changeNone)
	}
	assert.Equal(t, s.id, "b")
}

// Guards against any order of check-ins by which a boot that drained or left is served again.
func TestDrainedBootsStayDrained(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s targetState
		drained := map[bootName]bool{}
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 4).Draw(t, "pause")
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			born := rapid.Int64Range(1, 3).Draw(t, "born")
			name := bootName{id, born}
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				if s.leave(id, born, after(now)) {
					drained[name] = true
				}
				continue
			}
			draining := rapid.IntRange(0, 4).Draw(t, "drains") == 0
			if s.apply(says(id, born, rapid.Uint64Range(1, 50).Draw(t, "sequence"), draining), after(now)) != changeNone && draining {
				drained[name] = true
			}
			served := bootName{s.id, s.born}
			if s.id != "" && drained[served] {
				assert.Assert(t, s.draining, "boot %v", served)
			}
		}
	})
}
