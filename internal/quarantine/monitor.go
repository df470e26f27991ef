package quarantine

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// connectTimeout is the time after which a target that answers no connect counts as dead.
	connectTimeout = 500 * time.Millisecond
	// crashWindow is the time by which the sentinel's break may precede the one of a request.
	crashWindow = 50 * time.Millisecond
	// settleTime is waited for further connections to break when the target accepts connects, as one that was restarted
	// at once does.
	settleTime = 20 * time.Millisecond
	// breaksOfCrash is the number of requests that break together when the target died, if there was no sentinel. One
	// alone may be a handler that closed its connection.
	breaksOfCrash = 2
)

// monitor watches the target and the requests at it.
type monitor struct {
	addr     string
	dialer   net.Dialer
	sentinel sentinel

	mu   sync.Mutex
	runs map[*Run]struct{}
}

// crash is one death of the target.
type crash struct {
	shared chan struct{} // closed when the suspects were shared
}

func newMonitor(addr string) *monitor {
	return &monitor{addr: addr, runs: map[*Run]struct{}{}}
}

// Conn is a connection to the target.
type Conn struct {
	net.Conn
	written atomic.Int64
	closed  atomic.Bool
	onBreak atomic.Pointer[func()]
}

// OnBreak sets what is called when the target closes the connection.
func (c *Conn) OnBreak(call func()) { c.onBreak.Store(&call) }

// Written is the number of bytes written so far.
func (c *Conn) Written() int64 { return c.written.Load() }

// Write implements net.Conn.
func (c *Conn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.written.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if err == nil || c.closed.Load() {
		return n, err
	}
	if call := c.onBreak.Load(); call != nil {
		(*call)()
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (m *monitor) dial(ctx context.Context) (net.Conn, error) {
	raw, err := m.dialer.DialContext(ctx, "tcp", m.addr)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw}, nil
}

// died judges whether the target died when a request broke at that time.
func (m *monitor) died(ctx context.Context, at time.Time) bool {
	if m.refuses(ctx) {
		return true
	}
	time.Sleep(time.Until(at.Add(settleTime)))
	switch m.sentinel.state(at) {
	case sentinelBroke:
		return true
	case sentinelHeld:
		return false
	}
	return m.brokeTogether(at)
}

// refuses reports whether the target's process accepts no connect.
func (m *monitor) refuses(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), connectTimeout)
	defer cancel()
	probe, err := m.dialer.DialContext(ctx, "tcp", m.addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || isTimeout(err)
	}
	_ = probe.Close() // nothing was sent
	return false
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// brokeTogether reports whether several requests broke, and most of those at the target at that time.
func (m *monitor) brokeTogether(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	sent, broken := 0, 0
	for run := range m.runs {
		if run.sentAt.IsZero() || run.sentAt.After(at) {
			continue
		}
		sent++
		if run.broken {
			broken++
		}
	}
	return broken >= breaksOfCrash && 2*broken > sent
}

// attribute marks the requests that were at the target at that time and returns those not marked before, with the
// crash to which the given request belongs. When nothing is returned, another request shares the suspects.
func (m *monitor) attribute(to *Run, at time.Time) ([]*Run, *crash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if to.crash != nil {
		return nil, to.crash
	}
	found := &crash{shared: make(chan struct{})}
	var marked []*Run
	for run := range m.runs {
		if run.crash != nil || run.sentAt.IsZero() || run.sentAt.After(at) {
			continue
		}
		run.crash = found
		marked = append(marked, run)
	}
	return marked, found
}
