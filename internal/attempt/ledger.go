// Package attempt holds the ledger of attempts at a target's node: which were seen, dispatched, ended or fenced. With it
// an attempt of a non-idempotent call is dispatched at most once, and a fenced one never.
package attempt

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Retention is the shortest time for which an ended or fenced attempt is remembered.
const Retention = 10 * time.Minute

// MaxAnswer is the largest body of a kept answer, in bytes.
const MaxAnswer = 64 << 10

// Defaults for limits that are zero.
const (
	// 262,144 entries of about 100 bytes hold 430 attempts/s for 10 min.
	DefaultMaxEntries     = 1 << 18
	DefaultMaxAnswerBytes = 16 << 20
)

// State is what is known of an attempt.
type State uint8

// States. Pending attempts were not dispatched yet; NotRun, Done and Broken are final.
const (
	Unknown State = iota // never seen, or meant for another incarnation
	Pending
	NotRun // refused or fenced: it never ran and never will
	Running
	Done   // ran to its end
	Broken // was dispatched, and whether it took effect is unknown
)

// Answer is a whole HTTP answer. It is not changed after it was kept.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

func (a *Answer) size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// Call describes an attempt that arrives.
type Call struct {
	ID wire.AttemptID
	// Idempotent attempts are recorded only until they end.
	Idempotent bool
	// Keyed is nil for calls without an Idempotency-Key.
	Keyed *Keyed
}

// Keyed holds what a keyed attempt is remembered by.
type Keyed struct {
	Key           string
	Fingerprint   []byte // digest of method and path
	Owner         string // member id
	RosterVersion uint64
	Retention     time.Duration // remembered for this time after its end, or for Retention if that is longer
}

// Config holds the ledger's limits.
type Config struct {
	Self           string // member id of this node
	MaxEntries     int
	MaxAnswerBytes int              // of all kept answers together
	Now            func() time.Time // nil: time.Now
}

// Ledger records attempts. Safe for concurrent use. One mutex is enough: BenchmarkLedger measures its throughput.
type Ledger struct {
	config      Config
	mu          sync.Mutex
	entries     map[wire.AttemptID]entry
	idempotent  map[wire.AttemptID]struct{} // idempotent attempts that have not ended
	answerBytes int
	expiry      expiry
}

// entry is the state of one attempt. Final attempts without a key have no detail, which keeps their entry small.
type entry struct {
	state  State
	detail *detail
}

// detail belongs to attempts that are not final and to keyed ones.
type detail struct {
	ended  chan struct{} // closed when the state becomes final
	begun  time.Time
	keyed  *Keyed
	answer *Answer
}

// New returns an empty ledger.
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

// Begin records the arrival of an attempt. Errors are duplicate-attempt with the outcome that is known of the first
// arrival, fenced and attempt-ledger-full, both not-run. The attempt must be ended by Refuse, Done or Broken.
func (l *Ledger) Begin(call Call) (*Attempt, *failure.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if call.Idempotent {
		l.idempotent[call.ID] = struct{}{}
		return &Attempt{ledger: l, id: call.ID, idempotent: true}, nil
	}
	now := l.config.Now()
	l.expire(now)
	if seen, ok := l.entries[call.ID]; ok {
		return nil, duplicate(seen.state)
	}
	if len(l.entries) >= l.config.MaxEntries {
		return nil, failure.New(failure.LedgerFull, failure.NotRun, "%d attempts are remembered", len(l.entries))
	}
	l.entries[call.ID] = entry{state: Pending, detail: &detail{ended: make(chan struct{}), begun: now, keyed: call.Keyed}}
	return &Attempt{ledger: l, id: call.ID}, nil
}

// duplicate is the failure for a second arrival.
func duplicate(state State) *failure.Error {
	switch state {
	case NotRun:
		return failure.New(failure.Fenced, failure.NotRun, "the attempt was refused or fenced before")
	case Done:
		return failure.New(failure.DuplicateAttempt, failure.Done, "the attempt ran before")
	default:
		return failure.New(failure.DuplicateAttempt, failure.Unknown, "the attempt arrived before")
	}
}

// Fence makes sure that an attempt that was not dispatched never will be, and returns its state: NotRun, Running, Done,
// Broken, or Unknown when it was meant for another incarnation or the ledger is full.
func (l *Ledger) Fence(id wire.AttemptID, memberID string) State {
	if memberID != l.config.Self {
		return Unknown
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(l.config.Now())
	seen, ok := l.entries[id]
	switch {
	case ok && seen.state == Pending:
		l.end(id, NotRun, nil)
		return NotRun
	case ok:
		return seen.state
	case len(l.entries) >= l.config.MaxEntries:
		return Unknown
	}
	l.entries[id] = entry{state: NotRun}
	l.expiry.add(id, l.config.Now().Add(Retention))
	return NotRun
}

// Query returns the state of an attempt without changing it, and false when it was never seen. An idempotent attempt
// is seen only until it ends.
func (l *Ledger) Query(id wire.AttemptID, memberID string) (State, bool) {
	if memberID != l.config.Self {
		return Unknown, true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, running := l.idempotent[id]; running {
		return Running, true
	}
	seen, ok := l.entries[id]
	return seen.state, ok
}

// Wait returns the state of an attempt once it is final, or the state reached when the context ends. The answer is nil
// when it was not kept.
func (l *Ledger) Wait(ctx context.Context, id wire.AttemptID) (State, *Answer) {
	state, answer, ended := l.look(id)
	if ended == nil {
		return state, answer
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
	state, answer, _ = l.look(id)
	return state, answer
}

// look returns what is known of an attempt, and a channel that is closed at its end when the state is not final.
func (l *Ledger) look(id wire.AttemptID) (State, *Answer, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(l.config.Now())
	seen := l.entries[id]
	if seen.detail == nil {
		return seen.state, nil, nil
	}
	if seen.state == Pending || seen.state == Running {
		return seen.state, nil, seen.detail.ended
	}
	return seen.state, seen.detail.answer, nil
}

// Len is the number of attempts remembered.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}
