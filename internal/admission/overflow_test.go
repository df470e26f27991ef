package admission

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
)

// Guards against requests of a region without room that wait in the queue of another one, before that region's own.
func TestOverflowTakesFreeSlotsOnly(t *testing.T) {
	gate := New(Limits{Slots: 2, Queue: 4})
	request := Request{Deadline: time.Now().Add(time.Minute), Overflow: true}
	var slots []*Slot
	for range 2 {
		slot, refused := gate.Enter(context.Background(), request)
		assert.Assert(t, refused == nil)
		slots = append(slots, slot)
	}
	_, refused := gate.Enter(context.Background(), request)
	assert.Equal(t, refused.Reason, failure.QueueFull)
	assert.Equal(t, refused.Outcome, failure.NotRun)
	assert.Equal(t, gate.Sample().Queued, 0)
	slots[0].Release(true)
	slot, refused := gate.Enter(context.Background(), request)
	assert.Assert(t, refused == nil)
	slot.Release(true)
	slots[1].Release(true)
}
