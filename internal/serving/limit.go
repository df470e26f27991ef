package serving

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener closes connections beyond a limit as soon as it has accepted them, so that a crowd at one listener leaves
// the descriptors that the others need.
type limitedListener struct {
	net.Listener
	limit    int64
	open     *atomic.Int64
	onRefuse func() // called for each connection that is closed
}

func newLimitedListener(listener net.Listener, limit int, onRefuse func()) net.Listener {
	return limitedListener{listener, int64(limit), new(atomic.Int64), onRefuse}
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: accepted, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		_ = accepted.Close() // nothing was read from it
		l.onRefuse()
	}
}

// limitedConn counts as open until it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
