package admission

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
)

// Guards against spillover requests of another region that queue at a target and delay the requests of its own region.
func TestOverflowTakesFreeSlotsOnly(t *testing.T) {
	limiter := New(Limits{Slots: 2, Queue: 4})
	request := Request{Deadline: time.Now().Add(time.Minute), Overflow: true}
	var slots []*Slot
	for range 2 {
		slot, refusal := limiter.Acquire(context.Background(), request)
		assert.Assert(t, refusal == nil)
		slots = append(slots, slot)
	}
	_, refusal := limiter.Acquire(context.Background(), request)
	assert.Equal(t, refusal.Reason, failure.QueueFull)
	assert.Equal(t, refusal.Outcome, failure.NotRun)
	assert.Equal(t, limiter.LoadSample().Queued, 0)
	slots[0].Release(true)
	slot, refusal := limiter.Acquire(context.Background(), request)
	assert.Assert(t, refusal == nil)
	slot.Release(true)
	slots[1].Release(true)
}
