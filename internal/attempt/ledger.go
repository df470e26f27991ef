// Package attempt implements the ledger of attempts at a target's node. It records which attempts have arrived, were
// dispatched, ended or were fenced, so that an attempt of a non-idempotent call is dispatched at most once and a fenced
// attempt is never dispatched.
package attempt

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Retention is the minimum time for which an ended or fenced attempt is remembered.
const Retention = 10 * time.Minute

// MaxAnswerBodyBytes is the largest body of a stored answer, in bytes.
const MaxAnswerBodyBytes = 64 << 10

// Defaults for limits of Config that are zero.
const (
	// 262,144 entries of about 100 bytes are enough for 430 attempts per second during 10 minutes.
	DefaultMaxEntries     = 1 << 18
	DefaultMaxAnswerBytes = 16 << 20
)

// State is the state of an attempt as far as the ledger knows it.
type State uint8

// States of an attempt. NotRun, Done and Broken are final.
const (
	Unknown State = iota // never seen, or meant for another incarnation
	Pending              // arrived, not dispatched yet
	NotRun               // refused or fenced: it did not run and never will
	Running              // dispatched
	Done                 // ran to its end
	Broken               // dispatched, and whether it took effect is unknown
)

// Answer is a complete HTTP answer. It must not be changed after it was passed to Attempt.Complete.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// size returns the size of the body and the header in bytes.
func (a *Answer) size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// Call describes an arriving attempt.
type Call struct {
	ID wire.AttemptID
	// Idempotent is true for an attempt of an idempotent call. It is recorded only until it ends.
	Idempotent bool
	// KeyInfo describes the idempotency key; nil for calls without an Idempotency-Key.
	KeyInfo *KeyInfo
}

// KeyInfo describes the idempotency key of an attempt.
type KeyInfo struct {
	Key           string
	Fingerprint   []byte // digest of method and path
	Owner         string // member id of the key's owner
	RosterVersion uint64 // of the roster that names the owner
	// Retention is the time for which the attempt is remembered after its end, if it is longer than the constant
	// Retention.
	Retention time.Duration
}

// Config holds the ledger's limits.
type Config struct {
	Self           string           // member id of this node
	MaxEntries     int              // 0 or less: DefaultMaxEntries
	MaxAnswerBytes int              // total size of the stored answers; 0 or less: DefaultMaxAnswerBytes
	Now            func() time.Time // nil: time.Now
}

// Ledger records attempts. It is safe for concurrent use. A single mutex is sufficient; BenchmarkLedger measures its
// throughput.
type Ledger struct {
	config      Config
	mu          sync.Mutex
	entries     map[wire.AttemptID]entry
	idempotent  map[wire.AttemptID]struct{} // idempotent attempts that have not ended
	answerBytes int                         // total size of the stored answers
	expiry      expiry
}

// entry is the state of one attempt. An attempt in a final state has a detail only if it is keyed, which keeps the other
// entries small.
type entry struct {
	state  State
	detail *detail
}

// detail holds the data of an attempt that is keyed or not in a final state yet.
type detail struct {
	ended     chan struct{} // closed when the state becomes final
	arrivedAt time.Time
	keyInfo   *KeyInfo
	answer    *Answer // nil if it was not stored
}

// New returns an empty ledger. Limits that are zero take their defaults.
func New(config Config) *Ledger {
	if config.MaxEntries <= 0 {
		config.MaxEntries = DefaultMaxEntries
	}
	if config.MaxAnswerBytes <= 0 {
		config.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Ledger{
		config:     config,
		entries:    map[wire.AttemptID]entry{},
		idempotent: map[wire.AttemptID]struct{}{},
		expiry:     expiry{start: config.Now(), buckets: map[int64][]wire.AttemptID{}},
	}
}

// Begin records the arrival of an attempt. The caller must end the attempt with Refuse, Complete or MarkBroken. The
// reason of an error is duplicate-attempt, with the known outcome of the first arrival, or fenced or
// attempt-ledger-full, both with the outcome not-run.
func (l *Ledger) Begin(call Call) (*Attempt, *failure.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.Idempotent {
		l.idempotent[call.ID] = struct{}{}
		return &Attempt{ledger: l, id: call.ID, idempotent: true}, nil
	}
	now := l.config.Now()
	l.expire(now)
	if current, ok := l.entries[call.ID]; ok {
		return nil, duplicateError(current.state)
	}
	if len(l.entries) >= l.config.MaxEntries {
		return nil, failure.New(failure.AttemptLedgerFull, failure.NotRun, "%d attempts are remembered", len(l.entries))
	}
	l.entries[call.ID] = entry{state: Pending,
		detail: &detail{ended: make(chan struct{}), arrivedAt: now, keyInfo: call.KeyInfo}}
	return &Attempt{ledger: l, id: call.ID}, nil
}

// duplicateError returns the error for a repeated arrival of an attempt in the given state.
func duplicateError(state State) *failure.Error {
	switch state {
	case NotRun:
		return failure.New(failure.Fenced, failure.NotRun, "the attempt was refused or fenced before")
	case Done:
		return failure.New(failure.DuplicateAttempt, failure.Done, "the attempt ran before")
	default:
		return failure.New(failure.DuplicateAttempt, failure.Unknown, "the attempt arrived before")
	}
}

// Fence prevents the dispatch of an attempt that has not been dispatched yet, even if it arrives later, and returns
// its state: NotRun, Running, Done, Broken, or Unknown if memberID is another incarnation of this node or the ledger
// is full.
func (l *Ledger) Fence(id wire.AttemptID, memberID string) State {
	if memberID != l.config.Self {
		return Unknown
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(l.config.Now())
	current, ok := l.entries[id]
	switch {
	case ok && current.state == Pending:
		l.finalize(id, NotRun, nil)
		return NotRun
	case ok:
		return current.state
	case len(l.entries) >= l.config.MaxEntries:
		return Unknown
	}
	l.entries[id] = entry{state: NotRun}
	l.expiry.add(id, l.config.Now().Add(Retention))
	return NotRun
}

// Query returns the state of an attempt without changing it, and false if the attempt is not in the ledger. An
// idempotent attempt is in the ledger only until it ends. For another incarnation of this node the state is Unknown.
func (l *Ledger) Query(id wire.AttemptID, memberID string) (State, bool) {
	if memberID != l.config.Self {
		return Unknown, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, running := l.idempotent[id]; running {
		return Running, true
	}
	current, ok := l.entries[id]
	return current.state, ok
}

// Wait blocks until the state of an attempt is final or the context ends, and returns the state at that time. The
// answer is nil if it was not stored. For an attempt that is not in the ledger, it returns Unknown at once.
func (l *Ledger) Wait(ctx context.Context, id wire.AttemptID) (State, *Answer) {
	state, answer, ended := l.lookup(id)
	if ended == nil {
		return state, answer
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
	state, answer, _ = l.lookup(id)
	return state, answer
}

// lookup returns the state and the stored answer of an attempt. If the state is not final, it also returns a channel
// that is closed when it becomes final.
func (l *Ledger) lookup(id wire.AttemptID) (State, *Answer, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(l.config.Now())
	current := l.entries[id]
	if current.detail == nil {
		return current.state, nil, nil
	}
	if current.state == Pending || current.state == Running {
		return current.state, nil, current.detail.ended
	}
	return current.state, current.detail.answer, nil
}

// Len returns the number of entries, which excludes idempotent attempts.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}
