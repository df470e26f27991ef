package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stop that takes requests late in the drain timeout and abandons them, for drain timeouts that no
// deployment had when the margins were fixed. With 4 s, calls that came up to 3 s were abandoned at 3.05 s.
func TestStopSchedule(t *testing.T) {
	for drainTimeout := 500 * time.Millisecond; drainTimeout <= time.Minute; drainTimeout += 100 * time.Millisecond {
		s := newStopSchedule(drainTimeout)
		assert.Assert(t, s.drainTarget < s.closeListeners && s.closeListeners < s.endCalls && s.endCalls < s.exit && s.exit < drainTimeout, "%v: %+v", drainTimeout, s)
		assert.Assert(t, s.endCalls >= drainTimeout*5/6, "%v: calls end at %v, before the last sixth", drainTimeout, s.endCalls)
		assert.Assert(t, s.endCalls-s.closeListeners >= drainTimeout/3, "%v: the last calls have %v", drainTimeout, s.endCalls-s.closeListeners)
	}
	// With 6 s nothing is shortened.
	assert.Equal(t, newStopSchedule(6*time.Second), stopSchedule{1500 * time.Millisecond, 3 * time.Second, 5050 * time.Millisecond, 5300 * time.Millisecond})
}
