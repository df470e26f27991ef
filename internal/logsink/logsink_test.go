package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockedWriter blocks each Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(data []byte) (int, error) {
	<-b.release
	return len(data), nil
}

// Guards against requests that hang in a log call because the reader of the log has stopped.
func TestWriteDoesNotBlockOnBlockedOutput(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	sink := New(out, 1<<30)
	const lines = 3 * maxQueuedLines
	for range lines {
		n, err := sink.Write([]byte("a line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 7)
	}
	assert.Assert(t, sink.Dropped() >= lines-maxQueuedLines-1)
	sink.Close() // returns although the output is blocked
	close(out.release)
	<-sink.done
}

// Guards against callers whose long headers are quoted in lines that take the memory of the process while the output is blocked.
func TestQueuedBytesAreBounded(t *testing.T) {
	out := blockedWriter{make(chan struct{})}
	sink := New(out, 1<<30)
	line := bytes.Repeat([]byte("x"), 16<<10)
	for range maxQueuedLines / 2 {
		_, err := sink.Write(line)
		assert.NilError(t, err)
	}
	queued := 0
	for len(sink.lines) > 0 {
		queued += len(<-sink.lines)
	}
	assert.Assert(t, queued <= maxQueuedBytes, "%d bytes", queued)
	close(out.release)
	sink.Close()
	<-sink.done
}

// syncBuffer is a bytes.Buffer for concurrent writers.
type syncBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// Guards against a log volume that grows with the load, and against lines that are dropped without a report.
func TestVolumeIsBounded(t *testing.T) {
	out := &syncBuffer{}
	sink := New(out, 1000)
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 100 {
		_, _ = sink.Write(line)
	}
	sink.Close()
	text := out.text.String()
	assert.Assert(t, strings.Count(text, string(line)) <= 20, "the volume of two seconds at most")
	assert.Assert(t, strings.Contains(text, "log lines dropped: "))
	assert.Assert(t, sink.Dropped() >= 80)
}
