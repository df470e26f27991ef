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
	// connectTimeout is the time after which a target that does not accept a connection counts as crashed.
	connectTimeout = 500 * time.Millisecond
	// crashWindow is how long before the break of a request the sentinel may break to be attributed to the same crash.
	crashWindow = 50 * time.Millisecond
	// settleTime is how long to wait for further connections to break if the target accepts connections, as a target
	// that has already restarted does too.
	settleTime = 20 * time.Millisecond
	// minBrokenRequests is the number of requests that must break together to conclude, without a sentinel, that the
	// target crashed. A single one may be due to a handler that closed its connection.
	minBrokenRequests = 2
)

// monitor detects crashes of the target from its connections and tracks the requests sent to it.
type monitor struct {
	addr     string
	dialer   net.Dialer
	sentinel sentinel

	mu       sync.Mutex
	requests map[*TrackedRequest]struct{}
}

// crash is one detected crash of the target, to which the requests then in flight are attributed.
type crash struct {
	shared chan struct{} // closed once the suspects have been shared
}

func newMonitor(addr string) *monitor {
	return &monitor{addr: addr, requests: map[*TrackedRequest]struct{}{}}
}

// Conn is a connection to the target that counts the bytes written and reports when the target closes it.
type Conn struct {
	net.Conn
	written       atomic.Int64
	closed        atomic.Bool
	onTargetClose atomic.Pointer[func()]
}

// OnTargetClose sets the function to call when a read fails because the target closed the connection.
func (c *Conn) OnTargetClose(callback func()) { c.onTargetClose.Store(&callback) }

// BytesWritten returns the number of bytes written so far.
func (c *Conn) BytesWritten() int64 { return c.written.Load() }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil || c.closed.Load() {
		return n, err
	}
	if callback := c.onTargetClose.Load(); callback != nil {
		(*callback)()
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

// targetCrashed reports whether the target crashed, given that a request broke at the given time. It may block for
// settleTime.
func (m *monitor) targetCrashed(ctx context.Context, at time.Time) bool {
	if m.refusesConnections(ctx) {
		return true
	}
	time.Sleep(time.Until(at.Add(settleTime)))
	switch m.sentinel.state(at) {
	case sentinelBroken:
		return true
	case sentinelOpen:
		return false
	}
	return m.mostRequestsBroke(at)
}

// refusesConnections reports whether the target refuses a connection or does not accept one within connectTimeout.
func (m *monitor) refusesConnections(ctx context.Context) bool {
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

// mostRequestsBroke reports whether at least minBrokenRequests, and more than half, of the requests sent to the target
// before the given time broke.
func (m *monitor) mostRequestsBroke(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	sent, broken := 0, 0
	for tracked := range m.requests {
		if tracked.sentAt.IsZero() || tracked.sentAt.After(at) {
			continue
		}
		sent++
		if tracked.broken {
			broken++
		}
	}
	return broken >= minBrokenRequests && 2*broken > sent
}

// attributeCrash attributes the requests that were at the target at the given time to a new crash and returns them
// with that crash. If the given request already belongs to a crash, it returns no requests and that crash, whose
// suspects another request shares.
func (m *monitor) attributeCrash(request *TrackedRequest, at time.Time) ([]*TrackedRequest, *crash) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if request.crash != nil {
		return nil, request.crash
	}
	newCrash := &crash{shared: make(chan struct{})}
	var marked []*TrackedRequest
	for tracked := range m.requests {
		if tracked.crash != nil || tracked.sentAt.IsZero() || tracked.sentAt.After(at) {
			continue
		}
		tracked.crash = newCrash
		marked = append(marked, tracked)
	}
	return marked, newCrash
}
