package entry

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/wire"
)

// cutConn loses what follows the first bytes of an answer.
type cutConn struct {
	net.Conn
	cuts *atomic.Int64 // answers that remain to be cut, at all connections
	keep int           // bytes of the body that arrive
	hang bool          // reads after the cut wait until the connection is closed; otherwise they fail
	cut  atomic.Bool
}

func (c *cutConn) Read(data []byte) (int, error) {
	if c.cut.Load() && !c.hang {
		return 0, syscall.ECONNRESET
	}
	n, err := c.Conn.Read(data)
	for c.cut.Load() && err == nil {
		_, err = c.Conn.Read(data)
	}
	if err != nil {
		return 0, err
	}
	head := bytes.Index(data[:n], []byte("\r\n\r\n"))
	if !bytes.HasPrefix(data[:n], []byte("HTTP/1.1 200")) || head < 0 || c.cuts.Add(-1) < 0 {
		return n, err
	}
	c.cut.Store(true)
	return min(n, head+4+c.keep), nil
}

// Guards against a caller whose connection is closed without an answer because the connection between the nodes broke when
// the head of the answer had arrived.
func TestBrokenAnswerIsAFailure(t *testing.T) {
	for name, keep := range map[string]int{"after the head": 0, "in the body": 7, "before the last byte": 1999} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request) {
				fmt.Fprint(w, strings.Repeat("x", 2000))
			})
			f.handler.config.ReadAheadBytes = 64 << 10
			var cuts atomic.Int64
			cuts.Store(-1 << 40)
			f.network.wrap = func(conn net.Conn) net.Conn { return &cutConn{Conn: conn, cuts: &cuts, keep: keep} }
			for i := range 4 {
				order := fmt.Sprintf("post-%d", i)
				cuts.Store(1)
				response, _, err := f.call(http.MethodPost, "/", order, strings.NewReader("x"))
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusBadGateway)
				assert.Equal(t, f.runCount(order), int64(1))
			}
			for range 60 { // retries are allowed for a share of the requests
				_, _, err := f.call(http.MethodGet, "/", "", nil)
				assert.NilError(t, err)
			}
			for range 4 {
				cuts.Store(1)
				response, body, err := f.call(http.MethodGet, "/", "", nil)
				assert.NilError(t, err)
				assert.Assert(t, response.StatusCode == http.StatusOK && len(body) == 2000, "%d, %d bytes", response.StatusCode, len(body))
				assert.Assert(t, cuts.Load() <= 0, "no answer was cut")
			}
			assert.Equal(t, f.metrics.Counter("answer.aborted").Count(), int64(0))
		})
	}
}

// Guards against an answer that has begun and is awaited beyond the deadline of its call.
func TestDeadlineEndsAnswerThatHasBegun(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, strings.Repeat("x", 2000)) })
	f.handler.config.ReadAheadBytes = 64 << 10
	var cuts atomic.Int64
	f.network.wrap = func(conn net.Conn) net.Conn {
		return &cutConn{Conn: conn, cuts: &cuts, keep: 7, hang: true}
	}
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		cuts.Store(1)
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, method, f.entry.URL+"/", strings.NewReader("x"))
		assert.NilError(t, err)
		request.Host = "orders"
		request.Header.Set(wire.TimeoutMS, "300")
		response, err := f.entry.Client().Do(request)
		assert.NilError(t, err, "%s: the call's timeout is 300 ms", method)
		_ = response.Body.Close()
		assert.Assert(t, response.StatusCode >= 500, "%s: %d", method, response.StatusCode)
	}
}
