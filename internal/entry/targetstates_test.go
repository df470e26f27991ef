package entry

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/wire"
)

// Guards against a statement of a target that a restarted node does not get back, gets back with a wrong age, or gets back
// after the node has said better.
func TestTargetStatesAreReturned(t *testing.T) {
	var states targetStates
	now := time.Now()
	text := wire.TargetState{Limit: 2.5, Age: 300 * time.Millisecond, Boot: "b1"}.String()
	assert.Equal(t, states.record("n1", "n1@1", text, true, now).Limit, 2.5)
	assert.Equal(t, states.header("n2", "n2@1", now), "")
	later := now.Add(2 * time.Second)
	assert.Equal(t, states.header("n1", "n1@1", later), "", "the member knows it")
	got, err := wire.ParseTargetState(states.header("n1", "n1@2", later))
	assert.NilError(t, err)
	assert.Equal(t, got, wire.TargetState{Limit: 2.5, Age: 2300 * time.Millisecond, Boot: "b1"})
	states.record("n1", "n1@2", "", false, later)
	assert.Assert(t, states.header("n1", "n1@2", later) != "", "a refusal without a statement, for example while the node starts")
	states.record("n1", "n1@2", "", true, later)
	assert.Equal(t, states.header("n1", "n1@3", later), "")
	states.record("n1", "n1@1", text, true, now)
	assert.Equal(t, states.header("n1", "n1@2", now.Add(stateMemory)), "")
}

// Guards against memory that grows with the addresses of nodes that have left, and against malformed statements.
func TestTargetStatesAreBounded(t *testing.T) {
	var states targetStates
	now := time.Now()
	for i := range 2 * maxTargetStates {
		states.record(fmt.Sprint(i), "m", "5,0,0,b1", true, now)
	}
	assert.Equal(t, len(states.byAddr), maxTargetStates)
	states.record("new", "m", "5,0,0,b1", true, now.Add(stateMemory))
	assert.Equal(t, len(states.byAddr), 1)
	for _, malformed := range []string{"x", "5,0,0", "5,2,0,b", "-1,0,0,b", "NaN,0,0,b", "5,0,-1,b", "5,0,99999999999,b", "0,0,0,b", "5,0,0,b\n", strings.Repeat("5", 1<<16)} {
		assert.Assert(t, states.record("bad", "m", malformed, true, now).IsZero(), "%.40q", malformed)
		assert.Equal(t, states.header("bad", "other", now), "")
	}
}
