// Package callermem accounts for the memory that callers make a process hold, whatever the state of their requests, so that one
// limit bounds all of it.
package callermem

import (
	"cmp"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is what callers make the process hold.
type Kind int

// Kinds.
const (
	Heads     Kind = iota // incomplete heads, and requests that wait for their turn on their connection
	Requests              // heads of the callers' requests in progress
	Bodies                // bodies that are read before their request is sent on, or kept for another send
	Answers               // answers that wait for those before them, or are read before they are sent on
	Forwarded             // heads of requests in progress that other nodes have forwarded
	numKinds
)

// ErrFull is the error of what needs memory that callers may not use.
var ErrFull = errors.New("callers use all memory that they may use")

// DefaultLimit is the limit of an account that is created without one.
const DefaultLimit = 32 << 20

// divisors holds for each kind the part of the limit that it may take, so that a crowd of one kind leaves others what they need.
var divisors = [numKinds]int64{Heads: 2, Requests: 4, Bodies: 2, Answers: 4, Forwarded: 4}

// SmallRequestBytes is the size of requests that may take twice the part of their kind, so that a crowd of large ones leaves room
// for those of ordinary callers.
const SmallRequestBytes = 48 << 10

const (
	// reclaimShare is the part of the limit that is freed when it is reached, so that not each further byte needs another pass
	// over all holders.
	reclaimShare = 16
	// futilePause is the time without another pass after one that has freed nothing.
	futilePause = 10 * time.Millisecond
)

// Reclaimer frees excess bytes of a kind, or of any kind for AnyKind, and reports whether it has freed something.
type Reclaimer func(kind Kind, excess int64) bool

// AnyKind selects holders of all kinds.
const AnyKind Kind = -1

// Account counts what callers make a process hold. It is safe for concurrent use.
type Account struct {
	limit int64
	total atomic.Int64
	held  [numKinds]atomic.Int64

	mu       sync.Mutex // held during a pass of reclaim
	reclaim  Reclaimer  // nil: nothing can be freed
	futileAt [numKinds + 1]time.Time
}

// NewAccount returns an account with the limit in bytes; 0: DefaultLimit.
func NewAccount(limit int64) *Account { return &Account{limit: cmp.Or(limit, DefaultLimit)} }

// SetReclaimer sets what frees memory when a limit is reached. It must be called before the account is used.
func (a *Account) SetReclaimer(reclaim Reclaimer) { a.reclaim = reclaim }

// Limit returns the limit of all kinds together.
func (a *Account) Limit() int64 { return a.limit }

// Held returns the bytes of a kind.
func (a *Account) Held(kind Kind) int64 { return a.held[kind].Load() }

// Total returns the bytes of all kinds.
func (a *Account) Total() int64 { return a.total.Load() }

// Share returns the bytes that a kind may take.
func (a *Account) Share(kind Kind) int64 { return a.limit / divisors[kind] }

// CanEverHold reports whether the bytes would fit if nothing else were held.
func (a *Account) CanEverHold(kind Kind, bytes int64) bool { return bytes <= a.ceiling(kind, bytes) }

// ceiling returns the bytes up to which bytes may be added to a kind.
func (a *Account) ceiling(kind Kind, bytes int64) int64 {
	if kind == Requests || kind == Forwarded {
		return requestCeiling(bytes, a.Share(kind))
	}
	return a.Share(kind)
}

// requestCeiling answers crowds of valid requests with many header lines: it returns the bytes up to which a request that takes
// size bytes may be added to those in progress.
func requestCeiling(size, share int64) int64 {
	if size <= SmallRequestBytes {
		return 2 * share
	}
	return share
}

// Reserve counts the bytes, after freeing others if necessary. If the limits leave no room it counts nothing and returns false.
func (a *Account) Reserve(kind Kind, bytes int64) bool { return a.reserve(kind, bytes, a.makeRoom) }

// TryReserve is Reserve without freeing others.
func (a *Account) TryReserve(kind Kind, bytes int64) bool { return a.reserve(kind, bytes, a.fits) }

// reserve counts the bytes if hasRoom, which is called with the ceiling of the kind, returns true then.
func (a *Account) reserve(kind Kind, bytes int64, hasRoom func(kind Kind, ceiling int64) bool) bool {
	a.add(kind, bytes)
	if hasRoom(kind, a.ceiling(kind, bytes)) {
		return true
	}
	a.add(kind, -bytes)
	return false
}

// Add counts bytes that are held already, and frees others if necessary. Negative bytes are taken back.
func (a *Account) Add(kind Kind, bytes int64) {
	a.add(kind, bytes)
	if bytes > 0 {
		a.makeRoom(kind, a.Share(kind))
	}
}

// Release takes back bytes that were counted.
func (a *Account) Release(kind Kind, bytes int64) { a.add(kind, -bytes) }

func (a *Account) add(kind Kind, bytes int64) {
	a.held[kind].Add(bytes)
	a.total.Add(bytes)
}

// makeRoom frees what exceeds the ceiling of the kind and the limit, as far as that is possible, and reports whether both hold.
func (a *Account) makeRoom(kind Kind, ceiling int64) bool {
	if a.fits(kind, ceiling) {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.fits(kind, ceiling) {
		over, excess := kind, a.held[kind].Load()-ceiling
		if excess <= 0 {
			over, excess = AnyKind, a.total.Load()-a.limit
		}
		if !a.pass(over, excess) {
			return a.fits(kind, ceiling)
		}
	}
	return true
}

// fits reports whether the kind is within the ceiling and all kinds are within the limit.
func (a *Account) fits(kind Kind, ceiling int64) bool {
	return a.held[kind].Load() <= ceiling && a.total.Load() <= a.limit
}

// pass frees the excess and a part of the limit, and reports whether it has freed something. The mutex is held.
func (a *Account) pass(kind Kind, excess int64) bool {
	now := time.Now()
	futileAt := &a.futileAt[kind+1]
	if a.reclaim == nil || now.Sub(*futileAt) < futilePause {
		return false
	}
	share := a.limit
	if kind != AnyKind {
		share = a.Share(kind)
	}
	if !a.reclaim(kind, excess+share/reclaimShare) {
		*futileAt = now
		return false
	}
	return true
}
