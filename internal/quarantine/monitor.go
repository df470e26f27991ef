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
	connectTimeout = time.Second
	// crashWindow is the time within which the connections of a target that died break.
	crashWindow = 50 * time.Millisecond
	// settleTime is waited for further connections to break when the target accepts connects, as one that was restarted
	// at once does.
	settleTime = 20 * time.Millisecond
	// breaksOfCrash is the number of connections that break in a crash window when the target accepts connects. One
	// alone may be a handler that closed its connection.
	breaksOfCrash = 2
)

// monitor watches the connections to the target and the requests on them.
type monitor struct {
	addr   string
	dialer net.Dialer

	mu     sync.Mutex
	runs   map[*Run]struct{}
	breaks []time.Time // of requests and of idle connections, within the last crashWindow
}

// crash is one death of the target.
type crash struct {
	shared chan struct{} // closed when the suspects were shared
}

func newMonitor(addr string) *monitor {
	return &monitor{addr: addr, runs: map[*Run]struct{}{}}
}

// Conn is a connection to the target. While it is idle, its end is taken as a sign of the target's death.
type Conn struct {
	net.Conn
	monitor *monitor
	uses    atomic.Uint64
	idle    atomic.Uint64 // the use after which it became idle
	written atomic.Int64
	closed  atomic.Bool
	onBreak atomic.Pointer[func()]
}

// Use notes that a request uses the connection from now on, and returns the number of the use. When the target closes
// the connection before SetIdle, onBreak is called.
func (c *Conn) Use(onBreak func()) uint64 {
	c.onBreak.Store(&onBreak)
	return c.uses.Add(1)
}

// SetIdle notes that the request with that number no longer uses the connection.
func (c *Conn) SetIdle(use uint64) { c.idle.Store(use) }

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
	if err != nil && !c.closed.Load() {
		c.broke()
	}
	return n, err
}

func (c *Conn) broke() {
	if c.idle.Load() == c.uses.Load() {
		c.monitor.noteBreak()
		return
	}
	if call := c.onBreak.Load(); call != nil {
		(*call)()
	}
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
	return &Conn{Conn: raw, monitor: m}, nil
}

func (m *monitor) noteBreak() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	recent := m.breaks[:0]
	for _, at := range m.breaks {
		if now.Sub(at) <= crashWindow {
			recent = append(recent, at)
		}
	}
	m.breaks = append(recent, now)
}

// died judges whether the target died when a request broke at that time.
func (m *monitor) died(ctx context.Context, at time.Time) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), connectTimeout)
	defer cancel()
	probe, err := m.dialer.DialContext(ctx, "tcp", m.addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, context.DeadlineExceeded) || isTimeout(err)
	}
	_ = probe.Close() // nothing was sent
	time.Sleep(time.Until(at.Add(settleTime)))
	return m.brokeTogether(at)
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}

// brokeTogether reports whether several connections broke around that time, and most of the requests at the target.
func (m *monitor) brokeTogether(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	breaks := 0
	for _, other := range m.breaks {
		if other.Sub(at).Abs() <= crashWindow {
			breaks++
		}
	}
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
	return breaks >= breaksOfCrash && 2*broken > sent
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
