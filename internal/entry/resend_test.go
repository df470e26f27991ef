package entry

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against sends that net/http decides by itself when a target closes a connection that it has served before without a
// byte of an answer: each arrival is a first send or a retry that was charged.
func TestTargetGetsOnlySendsThatWereDecided(t *testing.T) {
	var arrivals, closed atomic.Int64
	var served sync.Map // addresses of connections that got an answer
	f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		if r.ContentLength != 0 || len(r.TransferEncoding) > 0 {
			t.Errorf("%s has a body of length %d, encoded %v", r.Method, r.ContentLength, r.TransferEncoding)
		}
		if _, again := served.LoadOrStore(r.RemoteAddr, true); again && r.Header.Get("X-Order") == "break" {
			closed.Add(1)
			panic(http.ErrAbortHandler)
		}
	})
	failed := f.sendBroken(t)
	assert.Assert(t, closed.Load() > 0, "no connection was closed")
	f.assertDecided(t, arrivals.Load(), failed)
}

// Guards against the same on the connections between nodes.
func TestNodeGetsOnlySendsThatWereDecided(t *testing.T) {
	f := newFixture(t, 3, func(http.ResponseWriter, *http.Request) {})
	var sends, broken atomic.Int64
	f.network.wrap = func(conn net.Conn) net.Conn { return &breakingConn{Conn: conn, sends: &sends, broken: &broken} }
	failed := f.sendBroken(t)
	assert.Assert(t, broken.Load() > 0, "no connection broke")
	f.assertDecided(t, sends.Load(), failed)
}

const (
	brokenCalls = 8
	calmCalls   = 40 // ahead of each broken call: they refill the retry budget, and open connections
)

// sendBroken sends calls that may be repeated, and returns how many of them were not answered with 200.
func (f *fixture) sendBroken(t *testing.T) (failed int) {
	t.Helper()
	f.handler.config.View.Load().List.Services["orders"].Retry.HedgePercent = 0 // some hedges end before they arrive
	for i := range brokenCalls {
		for range calmCalls {
			response, _, err := f.call(http.MethodGet, "/", "", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
		method := []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}[i%4]
		response, _, err := f.call(method, "/", "break", nil)
		assert.NilError(t, err)
		if response.StatusCode != http.StatusOK {
			failed++
		}
	}
	return failed
}

// assertDecided checks that the sends are those of the calls and the retries that were charged, and that no call failed.
func (f *fixture) assertDecided(t *testing.T, sends int64, failed int) {
	t.Helper()
	decided := int64((calmCalls + 1) * brokenCalls)
	var retries []string
	for name, count := range f.metrics.Values() {
		if strings.HasPrefix(name, "retry.") && !strings.HasPrefix(name, "retry.denied") {
			decided += count
			retries = append(retries, fmt.Sprint(name, "=", count))
		}
	}
	assert.Equal(t, sends, decided, "%v", retries)
	assert.Equal(t, failed, 0)
}

// breakingConn breaks when it has sent a request with "X-Order: break" and has served another one before.
type breakingConn struct {
	net.Conn
	sends, broken *atomic.Int64
	used, reset   atomic.Bool
}

func (c *breakingConn) Write(data []byte) (int, error) {
	if bytes.Contains(data, []byte(" /acacialock/v1/forward/")) {
		c.sends.Add(1)
		if c.used.Swap(true) && bytes.Contains(data, []byte("X-Order: break\r\n")) {
			c.broken.Add(1)
			c.reset.Store(true)
			_ = c.Conn.Close()
			return len(data), nil
		}
	}
	return c.Conn.Write(data)
}

func (c *breakingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.reset.Load() {
		return 0, syscall.ECONNRESET
	}
	return n, err
}
