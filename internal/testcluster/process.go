// Package testcluster starts acacialock as separate processes on loopback: a platform stand-in, targets, and a node beside
// each target. The demo, the end-to-end tests and the benchmarks use it.
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

// Process is a started program.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	output *outputBuffer
	done   chan struct{}
	err    error // exit error; valid once done is closed
}

// outputBuffer stores the output of a process and copies it to tee. Safe for concurrent use.
type outputBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
	tee  io.Writer // nil for none
}

func (b *outputBuffer) Write(text []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tee != nil {
		_, _ = b.tee.Write(text) // the copy is best effort
	}
	return b.data.Write(text)
}

// start starts a program whose output is stored and copied to tee.
func start(name string, tee io.Writer, program string, args ...string) (*Process, error) {
	p := &Process{Name: name, output: &outputBuffer{tee: tee}, done: make(chan struct{})}
	p.cmd = exec.Command(program, args...)
	p.cmd.Stdout = p.output
	p.cmd.Stderr = p.output
	// A separate process group keeps terminal signals from the child, so that Stop decides the order in which processes end.
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

// Signal sends a signal to the process; SIGSTOP freezes it and SIGCONT resumes it.
func (p *Process) Signal(signal syscall.Signal) error { return p.cmd.Process.Signal(signal) }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(os.Kill) // the process may have exited
	<-p.done
}

// Terminate sends SIGTERM and returns the exit error of the process. If it does not exit within the limit, Terminate kills
// it and returns an error.
func (p *Process) Terminate(limit time.Duration) error {
	_ = p.cmd.Process.Signal(syscall.SIGTERM) // the process may have exited
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		p.Kill()
		return fmt.Errorf("%s did not exit within %v", p.Name, limit)
	}
}

// Exited reports whether the process has exited.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Output returns the combined standard output and standard error so far.
func (p *Process) Output() string {
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	return p.output.data.String()
}
