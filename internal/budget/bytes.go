package budget

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Class is a kind of measuring or control traffic.
type Class int

// Classes.
const (
	Heartbeat Class = iota
	Configuration
	Sample // load samples on answers
	Probe
	classes
)

// Link is where the bytes go.
type Link int

// Links.
const (
	Region Link = iota // within the region
	Paid               // across the paid link between regions
	links
)

// String returns the class's name in counters.
func (c Class) String() string {
	return [...]string{"heartbeat", "configuration", "sample", "probe"}[c]
}

// String returns the link's name in counters.
func (l Link) String() string { return [...]string{"region", "link"}[l] }

// ceilings holds the share of a link's budget up to which all traffic together may grow by a write of the class. The
// order gives the order of cuts: probes across the link, probes in the region, samples across the link. The rest
// above a class's ceiling is reserved for the classes above it.
var ceilings = [classes][links]float64{
	Heartbeat:     {1, 1},
	Configuration: {0.9, 0.9},
	Sample:        {0.7, 0.6},
	Probe:         {0.5, 0.4},
}

const (
	// windowSlots divides a second. Tokens return with the slot in which they were spent, so 1/windowSlots of the
	// budget is idle under full use.
	windowSlots = 16
	slotLength  = time.Second / windowSlots
)

// Limits is the budget of one node in bytes per second.
type Limits struct {
	RegionBytesPerSecond int
	LinkBytesPerSecond   int
}

// Bytes counts measuring and control bytes against a bucket per link with a ceiling per class. A token returns a
// second after it was spent, so no span of one second holds more than the budget. Safe for concurrent use.
type Bytes struct {
	clock  func() time.Time
	start  time.Time
	mu     sync.Mutex
	limit  [links]int
	recent [links]window
	total  [classes][links]atomic.Int64
	denied [classes][links]atomic.Int64
}

// window holds the bytes of the last second in slots. One more slot than a second covers the partial ones.
type window struct {
	slots [windowSlots + 1]int
	last  int64 // number of the newest slot
	sum   int
}

// NewBytes returns an unused budget. A nil clock means time.Now.
func NewBytes(limits Limits, clock func() time.Time) *Bytes {
	if clock == nil {
		clock = time.Now
	}
	bytes := &Bytes{clock: clock, start: clock()}
	bytes.SetLimits(limits)
	return bytes
}

// SetLimits replaces the budget. Bytes already written in the last second count against it.
func (b *Bytes) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = [links]int{Region: limits.RegionBytesPerSecond, Paid: limits.LinkBytesPerSecond}
}

// Take spends n bytes and reports whether the message may be written. A writer that gets false does not write.
func (b *Bytes) Take(class Class, link Link, n int) bool {
	taken := b.take(class, link, n)
	if taken {
		b.total[class][link].Add(int64(n))
	} else {
		b.denied[class][link].Add(int64(n))
	}
	return taken
}

func (b *Bytes) take(class Class, link Link, n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	recent := &b.recent[link]
	recent.advance(int64(b.clock().Sub(b.start) / slotLength))
	ceiling := int(ceilings[class][link] * float64(b.limit[link]))
	if n < 0 || recent.sum+n > ceiling {
		return false
	}
	recent.slots[recent.last%int64(len(recent.slots))] += n
	recent.sum += n
	return true
}

// TooLargeError reports a piece that the class may never write at once on the link.
type TooLargeError struct {
	Class Class
	Link  Link
	Bytes int
	Limit int // bytes
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a piece of %d bytes exceeds the %s budget of %d bytes per second on the %s",
		e.Bytes, e.Class, e.Limit, e.Link)
}

// Wait spends n bytes as soon as tokens are there. A message larger than a second's budget is written in pieces, with
// one Wait for each. The error is ctx's or a *TooLargeError.
func (b *Bytes) Wait(ctx context.Context, class Class, link Link, n int) error {
	for !b.Take(class, link, n) {
		if limit := b.Limit(class, link); n > limit {
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

// Limit is the largest number of bytes that the class may write on the link in a second.
func (b *Bytes) Limit(class Class, link Link) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(ceilings[class][link] * float64(b.limit[link]))
}

// Written returns the bytes written so far.
func (b *Bytes) Written(class Class, link Link) int64 { return b.total[class][link].Load() }

// Denied returns the bytes refused so far.
func (b *Bytes) Denied(class Class, link Link) int64 { return b.denied[class][link].Load() }

// advance drops the slots that are more than a second old. Clocks that go back leave the window as it is.
func (w *window) advance(slot int64) {
	for w.last < slot {
		w.last++
		if slot-w.last > int64(len(w.slots)) {
			w.last = slot - int64(len(w.slots))
		}
		oldest := &w.slots[w.last%int64(len(w.slots))]
		w.sum -= *oldest
		*oldest = 0
	}
}
