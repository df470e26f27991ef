// Package testlog gives tests the lines that the code under test logs.
package testlog

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"k8s.io/klog/v2"
)

// Log holds what was logged. Safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Capture collects the log until the test ends. Tests that use it can't run in parallel.
func Capture(t *testing.T) *Log {
	t.Helper()
	state := klog.CaptureState()
	collected := &Log{}
	klog.LogToStderr(false)
	klog.SetOutput(collected)
	t.Cleanup(func() {
		klog.Flush()
		state.Restore()
	})
	return collected
}

// Write implements io.Writer for the logging library.
func (l *Log) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

// Lines returns the lines so far that contain all texts.
func (l *Log) Lines(texts ...string) []string {
	klog.Flush()
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range strings.Split(l.text.String(), "\n") {
		matches := line != ""
		for _, text := range texts {
			matches = matches && strings.Contains(line, text)
		}
		if matches {
			found = append(found, line)
		}
	}
	return found
}
