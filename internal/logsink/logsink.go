// Package logsink provides an asynchronous, rate-limited writer for log lines that never blocks its callers. Lines that
// exceed the rate limit, or that find the queue full because the output is slow, are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines and maxQueuedBytes limit the queue. A line may quote a caller's header of 16 KB.
	maxQueuedLines = 4096
	maxQueuedBytes = 2 << 20
	// MaxBytesPerSecond is the rate limit for one process. It is enough for the lines of about 800 failed requests per
	// second.
	MaxBytesPerSecond = 256 << 10
	// reportInterval is the minimum time between two reports of dropped lines.
	reportInterval = time.Second
	// closeTimeout limits how long Close waits for a blocked output when the process ends.
	closeTimeout = 200 * time.Millisecond
)

// Sink is an io.Writer that expects one complete line per Write. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	queued  atomic.Int64 // bytes of the lines in the queue
	done    chan struct{}

	mu          sync.Mutex
	closed      bool
	windowStart time.Time // start of the current one-second window
	windowBytes int       // bytes accepted in the current window
	rate        int       // maximum bytes per window
}

// New returns a sink that writes at most rate bytes per second to out. The caller must call Close to write the queued
// lines and stop the sink.
func New(out io.Writer, rate int) *Sink {
	s := &Sink{out: out, rate: rate, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of the line, or drops the line. It never blocks, and always returns the length of the line and
// nil.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.queued.Load()+int64(len(line)) > maxQueuedBytes || !s.reserve(len(line)) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
		s.queued.Add(int64(len(line)))
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// reserve adds size to the bytes of the current window and reports whether they stay within the rate. If not, it adds
// nothing. The caller must hold mu.
func (s *Sink) reserve(size int) bool {
	if now := time.Now(); now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.windowBytes = now, 0
	}
	if s.windowBytes+size > s.rate {
		return false
	}
	s.windowBytes += size
	return true
}

// Dropped returns the number of lines dropped since the sink was created.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// run writes the queued lines to the output and reports dropped lines, until Close closes the queue.
func (s *Sink) run() {
	defer close(s.done)
	var reported int64
	var reportedAt time.Time
	for line := range s.lines {
		s.queued.Add(-int64(len(line)))
		_, _ = s.out.Write(line) // there is no place to report an error of the log output
		if dropped := s.dropped.Load(); dropped > reported && time.Since(reportedAt) >= reportInterval {
			_, _ = fmt.Fprintf(s.out, "log lines dropped: %d since the start\n", dropped)
			reported, reportedAt = dropped, time.Now()
		}
	}
}

// Close stops accepting lines and waits up to closeTimeout until the queued ones are written.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
