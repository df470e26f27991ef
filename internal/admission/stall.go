package admission

import (
	"cmp"
	"slices"
	"time"
)

// Caller is the caller of a request that has a slot. Its methods must be fast.
type Caller interface {
	// Progress returns how far the request has come with its caller.
	Progress() Progress
	// CutOff ends the request, whose slot is released soon after. It may be called after the end of the request.
	CutOff()
}

// Progress is how far a request has come with its caller.
type Progress struct {
	Waiting bool  // for the next part of the body, or until a part of the answer is taken
	Moved   int64 // bytes that the caller has sent or taken so far
}

const (
	// stallCheckInterval is the time between two checks while requests wait for a slot.
	stallCheckInterval = 250 * time.Millisecond
	// maxStalledChecks is the number of checks in a row in which a caller may stall.
	maxStalledChecks = 4
	// minMovedBytes is what a caller that does not stall moves between two checks.
	minMovedBytes = 4 << 10
	// cautionTime is the time after a request was cut off in which streamed requests yield to others.
	cautionTime = 10 * time.Second
	// streamedShare is the part of the slots, as a divisor, that streamed requests may take in that time.
	streamedShare = 4
)

// stallRecord is what the checks found of one request.
type stallRecord struct {
	moved  int64 // at the last check
	checks int   // checks in a row in which the caller stalled
	cutOff bool
}

// observe adds a check.
func (s *stallRecord) observe(p Progress) {
	if p.Waiting && p.Moved-s.moved < minMovedBytes {
		s.checks++
	} else {
		s.checks = 0
	}
	s.moved = p.Moved
}

// stalledSlots answers crowds of callers that stop in a body or in an answer and take every slot while the target has no work. It
// returns at most count of the slots whose callers stall while other requests want a slot: those first that have stalled for the
// longest time. Slots that were cut off count, since they become free soon.
func stalledSlots(running []*Slot, count int) []*Slot {
	var stalled []*Slot
	for _, slot := range running {
		if slot.stall.cutOff {
			count--
		} else if slot.stall.checks >= maxStalledChecks {
			stalled = append(stalled, slot)
		}
	}
	slices.SortStableFunc(stalled, func(a, b *Slot) int { return cmp.Compare(b.stall.checks, a.stall.checks) })
	return stalled[:min(len(stalled), max(0, count))]
}

// noteDemand counts a request that finds no free slot, and schedules a check of those that have one. The mutex is held.
func (l *Limiter) noteDemand() {
	if l.inFlight < l.slotLimit() && !l.exclusive {
		return
	}
	l.demand++
	l.scheduleStallCheck()
}

func (l *Limiter) scheduleStallCheck() {
	if !l.stallCheckPending {
		l.stallCheckPending = true
		time.AfterFunc(stallCheckInterval, l.checkStalls)
	}
}

// checkStalls cuts off requests whose callers stall, as many as there are others that want a slot.
func (l *Limiter) checkStalls() {
	for _, slot := range l.takeStalled(time.Now()) {
		slot.caller.CutOff()
	}
}

// takeStalled checks all running requests and returns those that are to be cut off.
func (l *Limiter) takeStalled(now time.Time) []*Slot {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stallCheckPending = false
	demand := max(l.demand, len(l.queue.waiters))
	l.demand = 0
	defer l.grantQueued() // those that were held back may start after cautionTime
	for _, slot := range l.running {
		switch {
		case slot.caller == nil:
		case demand == 0:
			slot.stall.checks = 0
		default:
			slot.stall.observe(slot.caller.Progress())
		}
	}
	if demand == 0 {
		return nil
	}
	l.scheduleStallCheck()
	stalled := stalledSlots(l.running, demand)
	for _, slot := range stalled {
		slot.stall.cutOff = true
		l.stalledAt = now
	}
	if len(stalled) > 0 {
		for _, w := range l.queue.waiters {
			w.yields = w.Streamed
		}
	}
	return stalled
}

// cautious reports whether callers have stalled lately while others wanted their slots.
func (l *Limiter) cautious(now time.Time) bool {
	return !l.stalledAt.IsZero() && now.Sub(l.stalledAt) < cautionTime
}

// holdsBack reports whether a streamed request must wait because others have their share of the slots while callers stall.
func (l *Limiter) holdsBack(w *waiter, now time.Time) bool {
	if !w.Streamed || !l.cautious(now) {
		return false
	}
	streamed := 0
	for _, slot := range l.running {
		if slot.streamed {
			streamed++
		}
	}
	return streamed >= max(1, l.slotLimit()/streamedShare)
}
