package attempt

import (
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Attempt is a recorded arrival. Only the first of Refuse, Done and Broken counts.
type Attempt struct {
	ledger     *Ledger
	id         wire.AttemptID
	idempotent bool
}

// Dispatch marks the attempt as running. It fails with fenced, not-run, when the attempt was fenced meanwhile; it must
// not be sent to the target then.
func (a *Attempt) Dispatch() *failure.Error {
	if a.idempotent {
		return nil
	}
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.entries[a.id]
	if seen.state != Pending {
		return failure.New(failure.Fenced, failure.NotRun, "the attempt was fenced while it waited")
	}
	seen.state = Running
	l.entries[a.id] = seen
	return nil
}

// Refuse records that the attempt never ran and never will.
func (a *Attempt) Refuse() { a.end(NotRun, nil) }

// Done records that the attempt ran to its end. The answer may be nil; it is kept for keyed attempts while it and the
// total of kept answers are within their limits.
func (a *Attempt) Done(answer *Answer) { a.end(Done, answer) }

// Broken records that the attempt was dispatched and that its effect is unknown.
func (a *Attempt) Broken() { a.end(Broken, nil) }

func (a *Attempt) end(state State, answer *Answer) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	if a.idempotent {
		delete(a.ledger.idempotent, a.id)
		return
	}
	a.ledger.end(a.id, state, answer)
}

// end makes a state final and lets the attempt expire after its retention. The mutex is held.
func (l *Ledger) end(id wire.AttemptID, state State, answer *Answer) {
	seen := l.entries[id]
	if seen.state != Pending && seen.state != Running {
		return
	}
	close(seen.detail.ended)
	keep := Retention
	next := entry{state: state}
	if keyed := seen.detail.keyed; keyed != nil {
		keep = max(keep, keyed.Retention)
		next.detail = seen.detail
		next.detail.answer = l.keep(answer)
	}
	l.entries[id] = next
	l.expiry.add(id, l.config.Now().Add(keep))
}

// keep returns the answer when it fits the limits, or nil.
func (l *Ledger) keep(answer *Answer) *Answer {
	if answer == nil || len(answer.Body) > MaxAnswer {
		return nil
	}
	if l.answerBytes+answer.size() > l.config.MaxAnswerBytes {
		return nil
	}
	l.answerBytes += answer.size()
	return answer
}

// Record is a keyed attempt that the ledger remembers.
type Record struct {
	Keyed
	ID     wire.AttemptID
	Age    time.Duration // since its arrival
	State  State
	Answer *Answer // nil when it was not kept
}

// KeyedRecords lists the keyed attempts, in no order.
func (l *Ledger) KeyedRecords() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	l.expire(now)
	var records []Record
	for id, seen := range l.entries {
		if seen.detail == nil || seen.detail.keyed == nil {
			continue
		}
		records = append(records, Record{
			Keyed:  *seen.detail.keyed,
			ID:     id,
			Age:    now.Sub(seen.detail.begun),
			State:  seen.state,
			Answer: seen.detail.answer,
		})
	}
	return records
}
