package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/framing"
	"github.com/acacialock/acacialock/internal/keys"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// Guards against a short body that stops and is waited for without a time limit, and against a request that reaches its target
// although its body is incomplete: the caller is told at the deadline that it has not run, unless an earlier
// call with its key may have.
func TestShortBodyThatStopsEndsAtTheDeadline(t *testing.T) {
	f := newFixture(t, 1, func(http.ResponseWriter, *http.Request) { t.Error("the target got the request") })
	addr := startCallerListener(t, f.handler)
	for key, outcome := range map[string]failure.Outcome{"": failure.NotRun, wire.IdempotencyKey + ": k\r\n": failure.Unknown} {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		defer conn.Close()
		assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: orders\r\n"+key+wire.TimeoutMS+": 200\r\nContent-Length: 14\r\n\r\nfive ")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.Header.Get(wire.Outcome), string(outcome))
		assert.Equal(t, response.Header.Get(wire.Reason), string(failure.DeadlineExceeded))
		assert.Assert(t, response.Close)
	}
}

// Guards against the outcome not-run for a key whose first call may have run: the memory of callers says nothing about that, and
// the lines of a large head that is refused are not read.
func TestRefusalForMemoryPrecedesTheKey(t *testing.T) {
	keyed, plain := http.Header{wire.IdempotencyKey: {"k"}}, http.Header{"A": {"b"}}
	for _, c := range []struct {
		keys    *keys.Client
		header  http.Header
		outcome failure.Outcome
	}{
		{&keys.Client{}, keyed, failure.Unknown}, {&keys.Client{}, http.Header{}, failure.Unknown}, {&keys.Client{}, plain, failure.NotRun},
		{nil, http.Header{}, failure.NotRun},
	} {
		handler := New(Config{Keys: c.keys, Metrics: telemetry.New()})
		recorder := httptest.NewRecorder()
		handler.RefuseHeader(recorder, &http.Request{Header: c.header}, framing.NoMemory)
		assert.Equal(t, recorder.Header().Get(wire.Outcome), string(c.outcome))
	}
	assert.Assert(t, precedesKey(failure.CallerMemoryFull))
}
