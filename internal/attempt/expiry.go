package attempt

import (
	"time"

	"github.com/acacialock/acacialock/internal/wire"
)

// maxExpired bounds the entries removed in one call, so that no call holds the mutex for long.
const maxExpired = 64

// expiry holds ids by the second in which they expire. Only final attempts are in it. Seconds count from the ledger's
// start on the monotonic clock, so that a change of the wall clock makes no attempt expire early.
type expiry struct {
	start   time.Time
	buckets map[int64][]wire.AttemptID
	next    int64 // no bucket before this second is left
	held    int
}

// add lets the id expire at the end of the second that holds the time.
func (e *expiry) add(id wire.AttemptID, at time.Time) {
	second := e.second(at) + 1
	if e.held == 0 || second < e.next {
		e.next = second
	}
	e.buckets[second] = append(e.buckets[second], id)
	e.held++
}

func (e *expiry) second(at time.Time) int64 { return int64(at.Sub(e.start) / time.Second) }

// take returns up to limit ids of one second that expired, or none when nothing is due.
func (e *expiry) take(now time.Time, limit int) []wire.AttemptID {
	for e.held > 0 && e.next <= e.second(now) {
		bucket := e.buckets[e.next]
		if len(bucket) == 0 {
			delete(e.buckets, e.next)
			e.next++
			continue
		}
		taken := bucket[max(0, len(bucket)-limit):]
		e.buckets[e.next] = bucket[:len(bucket)-len(taken)]
		e.held -= len(taken)
		return taken
	}
	return nil
}

// expire forgets attempts whose retention ended. The mutex is held.
func (l *Ledger) expire(now time.Time) {
	for left := maxExpired; left > 0; {
		taken := l.expiry.take(now, left)
		if len(taken) == 0 {
			return
		}
		for _, id := range taken {
			l.forget(id)
		}
		left -= len(taken)
	}
}

func (l *Ledger) forget(id wire.AttemptID) {
	if seen := l.entries[id]; seen.detail != nil && seen.detail.answer != nil {
		l.answerBytes -= seen.detail.answer.size()
	}
	delete(l.entries, id)
}
