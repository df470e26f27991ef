// Package logsink writes log lines to standard output without ever blocking those who log. Lines beyond the rate, or beyond
// what a slow reader leaves room for, are dropped and counted.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines is the number of lines that wait for the writer; with 300 bytes a line they take about 1 MB at most.
	queuedLines = 4096
	// BytesPerSecond bounds the volume of one process. It holds the lines of about 800 failed requests a second.
	BytesPerSecond = 256 << 10
	// reportEvery is the time between two lines about dropped ones.
	reportEvery = time.Second
	// closeWait bounds the wait for a blocked reader at the end of the process.
	closeWait = 200 * time.Millisecond
)

// Sink is an io.Writer of whole lines. Safe for concurrent use.
type Sink struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu     sync.Mutex
	closed bool
	second time.Time // begin of the present second
	bytes  int       // written in it
	rate   int
}

// New returns a sink that writes at most rate bytes a second to an output; call Close at the end.
func New(to io.Writer, rate int) *Sink {
	s := &Sink{to: to, rate: rate, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.room(len(line)) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// room charges the line to the present second. The mutex is held.
func (s *Sink) room(size int) bool {
	if now := time.Now(); now.Sub(s.second) >= time.Second {
		s.second, s.bytes = now, 0
	}
	if s.bytes+size > s.rate {
		return false
	}
	s.bytes += size
	return true
}

// Dropped is the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) run() {
	defer close(s.done)
	var reported int64
	var reportedAt time.Time
	for line := range s.lines {
		_, _ = s.to.Write(line) // there is nowhere to report a failed log
		if dropped := s.dropped.Load(); dropped > reported && time.Since(reportedAt) >= reportEvery {
			_, _ = fmt.Fprintf(s.to, "log lines dropped: %d since the start\n", dropped)
			reported, reportedAt = dropped, time.Now()
		}
	}
}

// Close writes the lines that wait, for a short time at most.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeWait):
	}
}
