package deployment

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a case: what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file, replacing an earlier one.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Logf writes one line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Printf writes a line to the record and to standard output.
func (r *Record) Printf(format string, args ...any) {
	r.Logf(format, args...)
	fmt.Printf(format+"\n", args...)
}
