package attempt

import (
	"time"

	"github.com/acacialock/acacialock/internal/wire"
)

// maxExpired is the largest number of entries removed in one call. The bound keeps the mutex from being held for long.
const maxExpired = 64

// expiry holds the ids of attempts in a final state by the second in which they expire. Seconds are counted from the
// ledger's start on the monotonic clock, so that a change of the wall clock can't make an attempt expire early.
type expiry struct {
	start      time.Time
	buckets    map[int64][]wire.AttemptID
	nextSecond int64 // there is no bucket before this second
	size       int   // number of ids
}

// add schedules the expiry of the id for the end of the second that contains the given time.
func (e *expiry) add(id wire.AttemptID, at time.Time) {
	second := e.second(at) + 1
	if e.size == 0 || second < e.nextSecond {
		e.nextSecond = second
	}
	e.buckets[second] = append(e.buckets[second], id)
	e.size++
}

// second returns the number of whole seconds from the start to the given time.
func (e *expiry) second(at time.Time) int64 { return int64(at.Sub(e.start) / time.Second) }

// takeExpired removes and returns up to limit expired ids of one second, or nil if there are none.
func (e *expiry) takeExpired(now time.Time, limit int) []wire.AttemptID {
	for e.size > 0 && e.nextSecond <= e.second(now) {
		bucket := e.buckets[e.nextSecond]
		if len(bucket) == 0 {
			delete(e.buckets, e.nextSecond)
			e.nextSecond++
			continue
		}
		expired := bucket[max(0, len(bucket)-limit):]
		e.buckets[e.nextSecond] = bucket[:len(bucket)-len(expired)]
		e.size -= len(expired)
		return expired
	}
	return nil
}

// expire removes up to maxExpired attempts whose retention time is over. The mutex is held.
func (l *Ledger) expire(now time.Time) {
	for remaining := maxExpired; remaining > 0; {
		expired := l.expiry.takeExpired(now, remaining)
		if len(expired) == 0 {
			return
		}
		for _, id := range expired {
			l.remove(id)
		}
		remaining -= len(expired)
	}
}

// remove deletes the entry of an attempt and subtracts the size of its stored answer. The mutex is held.
func (l *Ledger) remove(id wire.AttemptID) {
	if current := l.entries[id]; current.detail != nil && current.detail.answer != nil {
		l.answerBytes -= current.detail.answer.size()
	}
	delete(l.entries, id)
}
