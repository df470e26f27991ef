package attempt

import (
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Attempt is the handle of an attempt that was recorded by Ledger.Begin. Only the first call of Refuse, Complete or
// MarkBroken has an effect.
type Attempt struct {
	ledger     *Ledger
	id         wire.AttemptID
	idempotent bool
}

// Dispatch marks the attempt as running. It must be called before the request is sent to the target. If the attempt has
// been fenced, it returns an error with the reason fenced and the outcome not-run, and the request must not be sent.
// Idempotent attempts are never fenced.
func (a *Attempt) Dispatch() *failure.Error {
	if a.idempotent {
		return nil
	}
	l := a.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.entries[a.id]
	if current.state != Pending {
		return failure.New(failure.Fenced, failure.NotRun, "the attempt was fenced while it waited")
	}
	current.state = Running
	l.entries[a.id] = current
	return nil
}

// Refuse records that the attempt did not run and never will.
func (a *Attempt) Refuse() { a.finish(NotRun, nil) }

// Complete records that the attempt ran to its end. The answer of a keyed attempt is stored if its body is not larger
// than MaxAnswerBodyBytes and all stored answers together stay within Config.MaxAnswerBytes. It may be nil.
func (a *Attempt) Complete(answer *Answer) { a.finish(Done, answer) }

// MarkBroken records that the attempt was dispatched and that its outcome is unknown.
func (a *Attempt) MarkBroken() { a.finish(Broken, nil) }

func (a *Attempt) finish(state State, answer *Answer) {
	a.ledger.mu.Lock()
	defer a.ledger.mu.Unlock()
	if a.idempotent {
		delete(a.ledger.idempotent, a.id)
		return
	}
	a.ledger.finalize(a.id, state, answer)
}

// finalize sets the final state of the attempt and schedules its expiry after the retention time. It does nothing if the
// state is final already. The mutex is held.
func (l *Ledger) finalize(id wire.AttemptID, state State, answer *Answer) {
	current := l.entries[id]
	if current.state != Pending && current.state != Running {
		return
	}
	close(current.detail.ended)
	retention := Retention
	final := entry{state: state}
	if keyInfo := current.detail.keyInfo; keyInfo != nil {
		retention = max(retention, keyInfo.Retention)
		final.detail = current.detail
		final.detail.answer = l.storeAnswer(answer)
	}
	l.entries[id] = final
	l.expiry.add(id, l.config.Now().Add(retention))
}

// storeAnswer returns the answer and counts its size if it is within the limits; otherwise it returns nil.
func (l *Ledger) storeAnswer(answer *Answer) *Answer {
	if answer == nil || len(answer.Body) > MaxAnswerBodyBytes {
		return nil
	}
	if l.answerBytes+answer.size() > l.config.MaxAnswerBytes {
		return nil
	}
	l.answerBytes += answer.size()
	return answer
}

// Record describes a keyed attempt in the ledger.
type Record struct {
	KeyInfo
	ID     wire.AttemptID
	Age    time.Duration // since its arrival
	State  State
	Answer *Answer // nil if it was not stored
}

// KeyedRecords returns the keyed attempts in the ledger, in no particular order.
func (l *Ledger) KeyedRecords() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.config.Now()
	l.expire(now)
	var records []Record
	for id, current := range l.entries {
		if current.detail == nil || current.detail.keyInfo == nil {
			continue
		}
		records = append(records, Record{
			KeyInfo: *current.detail.keyInfo,
			ID:      id,
			Age:     now.Sub(current.detail.arrivedAt),
			State:   current.state,
			Answer:  current.detail.answer,
		})
	}
	return records
}
