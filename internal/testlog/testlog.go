// Package testlog captures the klog output of the code under test.
package testlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"k8s.io/klog/v2"
)

// Log holds captured log output. Safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Capture redirects klog to the returned Log until the test ends. It changes global state, so tests that use it must not
// run in parallel.
func Capture(t *testing.T) *Log {
	t.Helper()
	state := klog.CaptureState()
	log := &Log{}
	klog.LogToStderr(false)
	klog.SetOutput(log)
	t.Cleanup(func() {
		klog.Flush()
		state.Restore()
	})
	return log
}

// Write implements io.Writer for klog.
func (l *Log) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

// Lines returns the non-empty lines logged so far that contain all texts.
func (l *Log) Lines(texts ...string) []string {
	klog.Flush()
	l.mu.Lock()
	defer l.mu.Unlock()
	var matching []string
	for _, line := range strings.Split(l.text.String(), "\n") {
		matches := line != ""
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			matching = append(matching, line)
		}
	}
	return matching
}
