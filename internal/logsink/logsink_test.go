package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

type blocked struct{ release chan struct{} }

func (b blocked) Write(data []byte) (int, error) {
	<-b.release
	return len(data), nil
}

// Guards against a reader of the log that stops and with it every request.
func TestBlockedOutputBlocksNobody(t *testing.T) {
	out := blocked{make(chan struct{})}
	sink := New(out, 1<<30)
	const lines = 3 * queuedLines
	for range lines {
		n, err := sink.Write([]byte("a line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 7)
	}
	assert.Assert(t, sink.Dropped() >= lines-queuedLines-1)
	sink.Close() // returns although the reader is blocked
	close(out.release)
	<-sink.done
}

type buffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *buffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// Guards against a volume that grows with the load, and against lines that are dropped without a word.
func TestVolumeIsBounded(t *testing.T) {
	out := &buffer{}
	sink := New(out, 1000)
	line := []byte(strings.Repeat("x", 99) + "\n")
	for range 100 {
		_, _ = sink.Write(line)
	}
	sink.Close()
	text := out.text.String()
	assert.Assert(t, strings.Count(text, string(line)) <= 20, "two seconds at most")
	assert.Assert(t, strings.Contains(text, "log lines dropped: "))
	assert.Assert(t, sink.Dropped() >= 80)
}
