package budget

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Class is a class of measurement or control traffic.
type Class int

// Traffic classes, in descending order of precedence.
const (
	Heartbeat Class = iota
	Configuration
	Sample // load samples sent with answers
	Probe
	numClasses
)

// Link is a kind of network link with a budget of its own.
type Link int

// Links.
const (
	Region      Link = iota // within the region
	InterRegion             // across the link between regions
	numLinks
)

// String returns the name of the class in counters.
func (c Class) String() string {
	return [...]string{"heartbeat", "configuration", "sample", "probe"}[c]
}

// String returns the name of the link in counters.
func (l Link) String() string { return [...]string{"region", "link"}[l] }

// ceilings holds, per class and link, the share of the link's budget that the traffic of all classes together may not
// exceed after a write of the class. The part of the budget above a class's ceiling is reserved for the classes above
// it. As the budget fills up, traffic is cut in this order: probes across the link between regions, probes in the
// region, samples across the link between regions, and so on.
var ceilings = [numClasses][numLinks]float64{
	Heartbeat:     {1, 1},
	Configuration: {0.9, 0.9},
	Sample:        {0.7, 0.6},
	Probe:         {0.5, 0.4},
}

const (
	// windowSlots is the number of slots into which a second is divided. All tokens spent in a slot are returned
	// together, so 1/windowSlots of the budget is idle under full use.
	windowSlots = 16
	slotLength  = time.Second / windowSlots
)

// Limits holds the budgets of one node in bytes per second.
type Limits struct {
	RegionBytesPerSecond int // within the region
	LinkBytesPerSecond   int // across the link between regions
}

// ByteBudget limits and counts the bytes of measurement and control traffic, with a sliding one-second window per link
// and a ceiling per class. A token is returned one second after it was spent, so the traffic never exceeds the budget
// in any span of one second. It is safe for concurrent use.
type ByteBudget struct {
	clock   func() time.Time
	start   time.Time
	mu      sync.Mutex
	limit   [numLinks]int
	recent  [numLinks]window
	written [numClasses][numLinks]atomic.Int64
	denied  [numClasses][numLinks]atomic.Int64
}

// window is a sliding window over the bytes written in the last second. It has one slot more than a second, because the
// first and the last slot are partial.
type window struct {
	slots  [windowSlots + 1]int
	newest int64 // number of the newest slot
	sum    int   // of all slots
}

// NewByteBudget returns an unused budget with the given limits. A nil clock means time.Now.
func NewByteBudget(limits Limits, clock func() time.Time) *ByteBudget {
	if clock == nil {
		clock = time.Now
	}
	b := &ByteBudget{clock: clock, start: clock()}
	b.SetLimits(limits)
	return b
}

// SetLimits replaces the limits. Bytes written in the last second count against the new ones.
func (b *ByteBudget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = [numLinks]int{Region: limits.RegionBytesPerSecond, InterRegion: limits.LinkBytesPerSecond}
}

// TrySpend spends n bytes and reports whether the message may be written. If it returns false, nothing is spent and the
// message must not be written; its bytes count as denied.
func (b *ByteBudget) TrySpend(class Class, link Link, n int) bool {
	allowed := b.spend(class, link, n)
	if allowed {
		b.written[class][link].Add(int64(n))
	} else {
		b.denied[class][link].Add(int64(n))
	}
	return allowed
}

func (b *ByteBudget) spend(class Class, link Link, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	recent := &b.recent[link]
	recent.advance(int64(b.clock().Sub(b.start) / slotLength))
	ceiling := int(ceilings[class][link] * float64(b.limit[link]))
	if n < 0 || recent.sum+n > ceiling {
		return false
	}
	recent.slots[recent.newest%int64(len(recent.slots))] += n
	recent.sum += n
	return true
}

// TooLargeError reports a write that is larger than the limit of its class on the link, so that it can never be allowed.
type TooLargeError struct {
	Class Class
	Link  Link
	Bytes int // size of the write
	Limit int // largest size allowed, in bytes
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a piece of %d bytes exceeds the %s budget of %d bytes per second on the %s",
		e.Bytes, e.Class, e.Limit, e.Link)
}

// Wait blocks until enough tokens are available and spends n bytes. A message larger than the budget of one second must
// be written in pieces, with one Wait for each. The error is that of the context or a *TooLargeError.
func (b *ByteBudget) Wait(ctx context.Context, class Class, link Link, n int) error {
	for !b.TrySpend(class, link, n) {
		if limit := b.MaxBytesPerSecond(class, link); n > limit {
			return &TooLargeError{class, link, n, limit}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(slotLength):
		}
	}
	return nil
}

// MaxBytesPerSecond returns the largest number of bytes that the class may write on the link in a second.
func (b *ByteBudget) MaxBytesPerSecond(class Class, link Link) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(ceilings[class][link] * float64(b.limit[link]))
}

// BytesWritten returns the number of bytes allowed by TrySpend or Wait so far.
func (b *ByteBudget) BytesWritten(class Class, link Link) int64 { return b.written[class][link].Load() }

// BytesDenied returns the number of bytes refused so far. Each refused try of a Wait counts.
func (b *ByteBudget) BytesDenied(class Class, link Link) int64 { return b.denied[class][link].Load() }

// advance moves the window to the given slot and removes the slots that are more than a second old. If the clock has
// gone back, the window stays as it is.
func (w *window) advance(slot int64) {
	for w.newest < slot {
		w.newest++
		if slot-w.newest > int64(len(w.slots)) {
			w.newest = slot - int64(len(w.slots))
		}
		oldest := &w.slots[w.newest%int64(len(w.slots))]
		w.sum -= *oldest
		*oldest = 0
	}
}
