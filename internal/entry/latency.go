package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyWindow   = 10 * time.Second // after which the histogram is reset
	minSamples      = 50               // the quantiles are not used with fewer samples
	maxLatencyUS    = 60_000_000       // longer latencies are recorded as this
	hedgeQuantile   = 95
	suspectQuantile = 99
	suspectFactor   = 3
	// minSuspectDelay is the shortest delay before a connection is checked, so that a short pause of a node is not taken for
	// a silent connection.
	minSuspectDelay     = 100 * time.Millisecond
	defaultSuspectDelay = time.Second // used until a route has minSamples
	// maxRoutes is the greatest number of routes with a tracker of their own; all further routes share one.
	maxRoutes = 256
)

// latencies tracks the usual time to the first byte by service and kind of call: the rule's name or else the method.
type latencies struct {
	mu     sync.RWMutex
	routes map[string]*latencyTracker
}

// latencyTracker derives the hedge and suspect delays of one route from the latencies of the last one to two windows.
type latencyTracker struct {
	mu      sync.Mutex
	current *hdrhistogram.Histogram
	started time.Time
	hedge   atomic.Int64 // nanoseconds; 0: not known yet
	suspect atomic.Int64 // nanoseconds; 0: not known yet
}

func newLatencies() *latencies { return &latencies{routes: map[string]*latencyTracker{}} }

// route returns the tracker of a route, which it creates on first use.
func (l *latencies) route(service, kind string) *latencyTracker {
	name := service + " " + kind
	l.mu.RLock()
	tracker, ok := l.routes[name]
	l.mu.RUnlock()
	if ok {
		return tracker
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if tracker, ok = l.routes[name]; ok {
		return tracker
	}
	if len(l.routes) >= maxRoutes {
		name = ""
		if tracker, ok = l.routes[name]; ok {
			return tracker
		}
	}
	tracker = &latencyTracker{current: hdrhistogram.New(1, maxLatencyUS, 2)}
	l.routes[name] = tracker
	return tracker
}

// record adds the time to the first byte of an answer. It recomputes the delays at minSamples, after each further
// minSamples, and when the window ends.
func (t *latencyTracker) record(latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.current.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyUS)) // no error: the value is clamped to the range
	if t.started.IsZero() {
		t.started = now
	}
	count := t.current.TotalCount()
	if count < minSamples {
		return
	}
	expired := now.Sub(t.started) >= latencyWindow
	if expired || t.hedge.Load() == 0 || count%minSamples == 0 {
		t.publish()
	}
	if expired {
		t.current.Reset()
		t.started = now
	}
}

// publish sets the delays from the quantiles of the histogram. The caller holds mu.
func (t *latencyTracker) publish() {
	hedge := time.Duration(t.current.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	suspect := time.Duration(t.current.ValueAtQuantile(suspectQuantile)) * time.Microsecond * suspectFactor
	t.hedge.Store(int64(hedge))
	t.suspect.Store(int64(max(suspect, minSuspectDelay)))
}

// hedgeDelay returns the time after which a call counts as slow and is hedged; 0: not known yet.
func (t *latencyTracker) hedgeDelay() time.Duration { return time.Duration(t.hedge.Load()) }

// suspectDelay returns the time without a first byte after which a connection is checked.
func (t *latencyTracker) suspectDelay() time.Duration {
	if delay := t.suspect.Load(); delay != 0 {
		return time.Duration(delay)
	}
	return defaultSuspectDelay
}
