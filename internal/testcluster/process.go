// Package testcluster starts acacialock as separate processes on loopback, for the demo and the tests of failures: the
// platform's stand-in, targets, and a node beside each target.
package testcluster

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is one started program.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	output *lockedBuffer
	done   chan struct{}
	err    error // how it ended; valid after done
}

// lockedBuffer keeps a process's output for reports of failed tests.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
	copy io.Writer // nil: not shown
}

func (b *lockedBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.copy != nil {
		_, _ = b.copy.Write(text) // showing the output is a convenience
	}
	return b.data.Write(text)
}

// start runs a program until it ends or Kill.
func start(name string, show io.Writer, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, output: &lockedBuffer{copy: show}, done: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	// The child gets no signal meant for the terminal; Stop decides the order in which processes end.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Signal sends a signal; SIGSTOP and SIGCONT freeze and resume the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(os.Kill) // it may have ended
	<-p.done
}

// Terminate sends SIGTERM and waits for the end; past the limit it kills the process and fails.
func (p *Process) Terminate(limit time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		p.Kill()
		return fmt.Errorf("%s did not end within %v", p.Name, limit)
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Output returns what the process printed.
func (p *Process) Output() string {
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	return p.output.data.String()
}
