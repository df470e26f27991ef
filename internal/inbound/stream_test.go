package inbound

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

// startTarget serves a well-behaved target and returns its address.
func startTarget(t testing.TB, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against headers of one connection or of the nodes that reach the target or the caller, a path that is rewritten,
// lost trailers and informational answers, and a changed body or length.
func TestExchangePassesEverythingOn(t *testing.T) {
	large := bytes.Repeat([]byte("weighed lots "), 1<<18)
	var got *http.Request
	var sum int
	var sent http.Header
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		body, _ := io.ReadAll(r.Body)
		got, sum, sent = r, len(body), r.Trailer
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "2")
		w.Header().Set(wire.Outcome, "not-run")
		w.Header().Set("Trailer", "X-Sum")
		_, _ = w.Write(body)
		w.Header().Set("X-Sum", "3")
		w.Header().Set(http.TrailerPrefix+"X-Late", "4")
	})
	one := startNode(t, addr, nil)
	hints := 0
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error { hints++; return nil },
	})
	// A header of two values and an encoded path, which a cleaning mux would change.
	r := one.request(ctx, call{method: "PUT", path: "//a%2Fb/../c?q=%20", body: io.MultiReader(bytes.NewReader(large))})
	r.Host = "orders.example"
	r.Header["X-Many"] = []string{"1", "2"}
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Trailer = http.Header{"X-Check": {"5"}}
	answer, err := one.client.Transport.RoundTrip(r)
	assert.NilError(t, err)
	body, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.NilError(t, answer.Body.Close())

	assert.Equal(t, sum, len(large))
	assert.Assert(t, bytes.Equal(body, large))
	assert.Equal(t, got.RequestURI, "//a%2Fb/../c?q=%20")
	assert.Equal(t, got.Host, "orders.example")
	assert.DeepEqual(t, got.Header["X-Many"], []string{"1", "2"})
	assert.Equal(t, got.Header.Get("X-Hop"), "")
	assert.Equal(t, sent.Get("X-Check"), "5")
	for _, name := range innerRequest {
		assert.Equal(t, got.Header.Get(name) != "", name == wire.TimeoutMS, name)
	}
	assert.Equal(t, hints, 1)
	assert.Equal(t, answer.Header.Get("Link")+answer.Header.Get("X-Hop")+answer.Header.Get(wire.Outcome), "")
	assert.Equal(t, answer.Header.Get("X-End"), "2")
	assert.Equal(t, answer.Trailer.Get("X-Sum"), "3")
	assert.Equal(t, answer.Trailer.Get("X-Late"), "4")
	_, err = wire.ParseLoadSample(answer.Header.Get(wire.Load))
	assert.NilError(t, err)

	head := one.send(context.Background(), call{method: "HEAD", path: "/", idempotent: true})
	assert.NilError(t, head.err)
	assert.Equal(t, head.body, "")
}

// Guards against parts that wait in a buffer: request and answer alternate on one exchange.
func TestExchangeStreamsBothWays(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		w.WriteHeader(http.StatusOK)
		_ = control.Flush()
		lines := bufio.NewReader(r.Body)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			fmt.Fprint(w, strings.ToUpper(line))
			_ = control.Flush()
		}
	})
	one := startNode(t, addr, nil)
	reader, writer := io.Pipe()
	answer, err := one.client.Transport.RoundTrip(
		one.request(context.Background(), call{method: "POST", path: "/", body: reader}))
	assert.NilError(t, err)
	lines := bufio.NewReader(answer.Body)
	for range 3 {
		_, err := writer.Write([]byte("flag\n"))
		assert.NilError(t, err)
		line, err := lines.ReadString('\n')
		assert.NilError(t, err)
		assert.Equal(t, line, "FLAG\n")
	}
	assert.NilError(t, writer.Close())
	_, err = lines.ReadString('\n')
	assert.Equal(t, err, io.EOF)
	assert.NilError(t, answer.Body.Close())
}

// Guards against a broken answer that looks complete, with a known length and in chunks, and against a ledger that
// takes it for done.
func TestBrokenAnswerIsNeverComplete(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "100")
		}
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	one := startNode(t, addr, nil)
	for _, path := range []string{"/length", "/chunks"} {
		id := wire.NewAttemptID()
		broken := one.send(context.Background(), call{method: "POST", path: path, attempt: id})
		assert.Equal(t, broken.StatusCode, http.StatusOK)
		assert.Assert(t, broken.err != nil)
		fenced, err := one.Fence(context.Background(), &rpc.FenceRequest{Attempt: id[:], MemberId: one.self.ID})
		assert.NilError(t, err)
		assert.Equal(t, fenced.GetState(), rpc.AttemptState_ATTEMPT_BROKEN)
	}
	assert.Equal(t, one.Sample().InFlight, 0)
}

// Guards against net/http sending a non-idempotent request again by itself when the target closes a connection, with and
// without a body, and with an Idempotency-Key, for which it does so with a plain request.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	var count atomic.Int64
	addr := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once" {
			count.Add(1)
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
	})
	for _, c := range []call{
		{method: "POST", path: "/once"},
		{method: "POST", path: "/once", body: strings.NewReader("lot")},
		{method: "POST", path: "/once", key: "a"},
		{method: "GET", path: "/once", key: "b"},
		{method: "DELETE", path: "/once", key: "c"},
		{method: "POST", path: "/once", header: http.Header{"X-Idempotency-Key": {"d"}}},
	} {
		// A node of its own for each, since one whose target broke half of its requests sends them elsewhere.
		one := startNode(t, addr, func(c *Config) { c.Gate = &openGate{} })
		one.send(context.Background(), call{method: "POST", path: "/warm"}) // opens the connection
		count.Store(0)
		broken := one.send(context.Background(), c)
		assert.Equal(t, broken.reason(), failure.TargetBroke, "%+v", c)
		assert.Equal(t, broken.outcome(), failure.Unknown)
		assert.Equal(t, count.Load(), int64(1), "%+v", c)
	}

	// The plain request shows that this target makes net/http send again.
	plain := &http.Transport{}
	defer plain.CloseIdleConnections()
	count.Store(0)
	for _, path := range []string{"/warm", "/once"} {
		r, err := http.NewRequest("POST", "http://"+addr+path, nil)
		assert.NilError(t, err)
		r.Header.Set(wire.IdempotencyKey, "a")
		answer, err := plain.RoundTrip(r)
		assert.Equal(t, err == nil, path == "/warm")
		if err == nil {
			assert.NilError(t, answer.Body.Close())
		}
	}
	assert.Equal(t, count.Load(), int64(2))
}

// Guards against an idempotent call that goes on at the target after its caller left, and against another that does not.
func TestCallerLeaves(t *testing.T) {
	entered, cancelled := make(chan struct{}), make(chan bool, 1)
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		select {
		case <-r.Context().Done():
			cancelled <- true
		case <-time.After(300 * time.Millisecond):
			cancelled <- false
		}
		fmt.Fprint(w, "answer")
	})
	one := startNode(t, addr, func(c *Config) { c.Gate = &openGate{} })
	for _, idempotent := range []bool{true, false} {
		id := wire.NewAttemptID()
		c := call{method: "PUT", path: "/", idempotent: idempotent, attempt: id}
		if !idempotent {
			c.key = "key"
		}
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			<-entered
			leave()
		}()
		assert.Assert(t, one.send(ctx, c).err != nil)
		assert.Equal(t, <-cancelled, idempotent)
		if idempotent {
			continue
		}
		kept, err := one.FetchAnswer(context.Background(),
			&rpc.FetchAnswerRequest{Attempt: id[:], MemberId: one.self.ID, WaitMs: 5000})
		assert.NilError(t, err)
		assert.Equal(t, kept.GetState(), rpc.AttemptState_ATTEMPT_DONE)
		assert.Equal(t, string(kept.GetAnswer().GetBody()), "answer")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Compare(cmp.Equal(one.Sample().InFlight, 0)) })
}

// Guards against a caller that stops reading and fills the node's memory or holds its slot beyond the deadline, and
// against a slow one that does not get the whole answer.
func TestSlowReader(t *testing.T) {
	const size = 64 << 20
	var written atomic.Int64
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		part := make([]byte, 64<<10)
		for written.Load() < size {
			n, err := w.Write(part)
			written.Add(int64(n))
			if err != nil {
				return
			}
		}
	})
	one := startNode(t, addr, nil)
	get := func(timeout time.Duration) *http.Response {
		answer, err := one.client.Transport.RoundTrip(one.request(context.Background(),
			call{method: "GET", path: "/", idempotent: true, timeout: timeout}))
		assert.NilError(t, err)
		return answer
	}
	stopped := get(500 * time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Compare(cmp.Equal(one.Sample().InFlight, 0)) })
	assert.Assert(t, written.Load() < size, "all of the answer was read from the target")
	_, err := io.Copy(io.Discard, stopped.Body)
	assert.Assert(t, err != nil, "the answer that broke off looks complete")
	assert.NilError(t, stopped.Body.Close())

	written.Store(0)
	slow := get(0)
	time.Sleep(50 * time.Millisecond)
	total, err := io.Copy(io.Discard, slow.Body)
	assert.NilError(t, err)
	assert.Equal(t, total, int64(size))
	assert.NilError(t, slow.Body.Close())
}
