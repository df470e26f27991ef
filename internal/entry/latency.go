package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyWindow   = 10 * time.Second
	minSamples      = 50 // below that the quantiles are not used
	maxLatencyUS    = 60_000_000
	hedgeQuantile   = 95
	suspectQuantile = 99
	suspectFactor   = 3
	// minSuspect keeps short pauses of a node from being taken for a silent connection.
	minSuspect     = 100 * time.Millisecond
	defaultSuspect = time.Second
	// maxRoutes bounds the tracked routes; further ones share the last tracker.
	maxRoutes = 256
)

// latencies tracks the usual time to the first byte by service and method.
type latencies struct {
	mu     sync.RWMutex
	routes map[string]*latencyTracker
}

// latencyTracker summarises the last one to two windows.
type latencyTracker struct {
	mu      sync.Mutex
	current *hdrhistogram.Histogram
	started time.Time
	hedge   atomic.Int64 // nanoseconds; 0: unknown
	suspect atomic.Int64
}

func newLatencies() *latencies { return &latencies{routes: map[string]*latencyTracker{}} }

func (l *latencies) route(service, method string) *latencyTracker {
	name := service + " " + method
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

// record adds the time to the first byte of an answer.
func (t *latencyTracker) record(latency time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.current.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyUS)) // in range
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

func (t *latencyTracker) publish() {
	hedge := time.Duration(t.current.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	suspect := time.Duration(t.current.ValueAtQuantile(suspectQuantile)) * time.Microsecond * suspectFactor
	t.hedge.Store(int64(hedge))
	t.suspect.Store(int64(max(suspect, minSuspect)))
}

// hedgeAfter is the time after which a call is slower than usual; 0: not known yet.
func (t *latencyTracker) hedgeAfter() time.Duration { return time.Duration(t.hedge.Load()) }

// suspectAfter is the time after which a connection without a first byte is checked.
func (t *latencyTracker) suspectAfter() time.Duration {
	if after := t.suspect.Load(); after != 0 {
		return time.Duration(after)
	}
	return defaultSuspect
}
