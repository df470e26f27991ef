package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/wire"
)

const (
	lateBytes   = 300 << 10 // longer than what any node reads ahead
	callTimeout = "400"     // ms
	// unflushedBytes is more than the entry's server holds back of an answer of known length.
	unflushedBytes = 8 << 10
	// callerPatience is the time after which a caller of the test gives up.
	callerPatience = 4 * time.Second
)

// lateFixture is a fixture with one target, which writes the first bytes of its answers and never ends them.
type lateFixture struct {
	*fixture
	cancelled chan struct{} // a value for each answer whose request was cancelled
}

func newLateFixture(t *testing.T) *lateFixture {
	f := &lateFixture{cancelled: make(chan struct{}, 1)}
	f.fixture = newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sized" {
			w.Header().Set("Content-Length", strconv.Itoa(lateBytes))
		}
		first, _ := strconv.Atoi(r.URL.RawQuery)
		_, _ = w.Write(make([]byte, first))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		f.cancelled <- struct{}{}
	})
	return f
}

// begin sends a call with callTimeout, and returns its response when the first bytes of the body were read, except for those that a server
// may hold back.
func (f *lateFixture) begin(t *testing.T, ctx context.Context, path string, first int) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.entry.URL+path+"?"+strconv.Itoa(first), nil)
	assert.NilError(t, err)
	request.Host = "orders"
	request.Header.Set(wire.TimeoutMS, callTimeout)
	response, err := f.entry.Client().Do(request)
	assert.NilError(t, err)
	_, err = io.ReadFull(response.Body, make([]byte, max(0, first-unflushedBytes)))
	assert.NilError(t, err)
	return response
}

// Guards against an answer that has begun and is awaited beyond the deadline of its call, because its target is silent or the
// connection to its node, and against one that is cut and looks complete.
func TestDeadlineEndsStreamedAnswer(t *testing.T) {
	for _, silent := range []string{"target", "node"} {
		for _, path := range []string{"/sized", "/chunked"} {
			for name, first := range map[string]int{"after half": lateBytes / 2, "before the end": lateBytes - 1, "before the last chunk": lateBytes} {
				if path == "/sized" && first == lateBytes {
					continue // complete
				}
				t.Run(silent+path+" "+name, func(t *testing.T) {
					f := newLateFixture(t)
					ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
					defer cancel()
					response := f.begin(t, ctx, path, first)
					if silent == "node" {
						assert.Assert(t, f.network.silence() > 0)
					}
					rest, err := io.Copy(io.Discard, response.Body)
					assert.Assert(t, err != nil, "an answer that was cut after %d bytes looked complete", rest)
					assert.Assert(t, !errors.Is(err, context.DeadlineExceeded), "the caller gave up")
					_ = response.Body.Close()
					<-f.cancelled
					assert.Equal(t, f.metrics.Counter("answer.aborted").Count(), int64(1))
					assert.Equal(t, f.metrics.Counter("answer.late.caller").Count(), int64(0))
					if silent == "node" {
						assert.Equal(t, f.metrics.Counter("answer.late.node").Count(), int64(1))
					}
				})
			}
		}
	}
}

// Guards against a caller whose connection is closed without an answer when only the head of one has arrived by the deadline.
func TestDeadlineAfterHeadOfAnswer(t *testing.T) {
	for _, silent := range []string{"target", "node"} {
		for _, path := range []string{"/sized", "/chunked"} {
			f := newLateFixture(t)
			if silent == "node" {
				f.network.wrap = func(conn net.Conn) net.Conn {
					cuts := &atomic.Int64{}
					cuts.Store(1)
					return &cutConn{Conn: conn, cuts: cuts, hang: true}
				}
			}
			ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
			defer cancel()
			response := f.begin(t, ctx, path, 0)
			assert.Assert(t, response.StatusCode >= 500, "%s, %s: %d", silent, path, response.StatusCode)
			assert.Equal(t, response.Header.Get(wire.Outcome), "unknown")
			_ = response.Body.Close()
			<-f.cancelled
			assert.Equal(t, f.metrics.Counter("answer.aborted").Count(), int64(0))
		}
	}
}

// Guards against a caller that does not read its answer and is taken for a silent node.
func TestLateCallerIsToldFromSilentNode(t *testing.T) {
	large := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		for part := make([]byte, 1<<20); r.Context().Err() == nil; {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	request, err := http.NewRequest(http.MethodGet, large.entry.URL+"/", nil)
	assert.NilError(t, err)
	request.Host = "orders"
	request.Header.Set(wire.TimeoutMS, callTimeout)
	response, err := large.entry.Client().Do(request)
	assert.NilError(t, err)
	time.Sleep(time.Second) // beyond callTimeout; the buffers of all connections are full by then
	_, err = io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil)
	_ = response.Body.Close()
	assert.Equal(t, large.metrics.Counter("answer.late.caller").Count(), int64(1))
	assert.Equal(t, large.metrics.Counter("answer.late.node").Count(), int64(0))
}
