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

// startTarget starts a target that never crashes and returns its address.
func startTarget(t testing.TB, handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against hop-by-hop or internal headers that reach the target or the caller, a rewritten path, lost trailers
// and informational responses, and a changed body or length.
func TestExchangeForwardsRequestAndResponse(t *testing.T) {
	large := bytes.Repeat([]byte("weighed lots "), 1<<18)
	var got *http.Request
	var bodyLength int
	var requestTrailer http.Header
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		body, _ := io.ReadAll(r.Body)
		got, bodyLength, requestTrailer = r, len(body), r.Trailer
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "2")
		w.Header().Set(wire.Outcome, "not-run")
		w.Header().Set("Trailer", "X-Sum")
		_, _ = w.Write(body)
		w.Header().Set("X-Sum", "3")
		w.Header().Set(http.TrailerPrefix+"X-Late", "4")
	})
	node := startNode(t, addr, nil)
	earlyHints := 0
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(int, textproto.MIMEHeader) error { earlyHints++; return nil },
	})
	// A header with two values, and an encoded path that http.ServeMux would clean.
	r := node.request(ctx, call{method: "PUT", path: "//a%2Fb/../c?q=%20", body: io.MultiReader(bytes.NewReader(large))})
	r.Host = "orders.example"
	r.Header["X-Many"] = []string{"1", "2"}
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "1")
	r.Trailer = http.Header{"X-Check": {"5"}}
	response, err := node.client.Transport.RoundTrip(r)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())

	assert.Equal(t, bodyLength, len(large))
	assert.Assert(t, bytes.Equal(body, large))
	assert.Equal(t, got.RequestURI, "//a%2Fb/../c?q=%20")
	assert.Equal(t, got.Host, "orders.example")
	assert.DeepEqual(t, got.Header["X-Many"], []string{"1", "2"})
	assert.Equal(t, got.Header.Get("X-Hop"), "")
	assert.Equal(t, requestTrailer.Get("X-Check"), "5")
	for _, name := range internalRequestHeaders {
		assert.Equal(t, got.Header.Get(name) != "", name == wire.TimeoutMS, name)
	}
	assert.Equal(t, earlyHints, 1)
	assert.Equal(t, response.Header.Get("Link")+response.Header.Get("X-Hop")+response.Header.Get(wire.Outcome), "")
	assert.Equal(t, response.Header.Get("X-End"), "2")
	assert.Equal(t, response.Trailer.Get("X-Sum"), "3")
	assert.Equal(t, response.Trailer.Get("X-Late"), "4")
	_, err = wire.ParseLoadSample(response.Header.Get(wire.Load))
	assert.NilError(t, err)

	head := node.send(context.Background(), call{method: "HEAD", path: "/", idempotent: true})
	assert.NilError(t, head.err)
	assert.Equal(t, head.body, "")
}

// Guards against data that stays in a buffer: request and response alternate on one exchange.
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
	node := startNode(t, addr, nil)
	reader, writer := io.Pipe()
	response, err := node.client.Transport.RoundTrip(
		node.request(context.Background(), call{method: "POST", path: "/", body: reader}))
	assert.NilError(t, err)
	lines := bufio.NewReader(response.Body)
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
	assert.NilError(t, response.Body.Close())
}

// Guards against a truncated response that looks complete, with a known length or in chunks, and against a ledger that
// records it as done.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	addr := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/length" {
			w.Header().Set("Content-Length", "100")
		}
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	node := startNode(t, addr, nil)
	for _, path := range []string{"/length", "/chunks"} {
		id := wire.NewAttemptID()
		broken := node.send(context.Background(), call{method: "POST", path: path, attempt: id})
		assert.Equal(t, broken.StatusCode, http.StatusOK)
		assert.Assert(t, broken.err != nil)
		fenced, err := node.Fence(context.Background(), &rpc.FenceRequest{Attempt: id[:], MemberId: node.self.ID})
		assert.NilError(t, err)
		assert.Equal(t, fenced.GetState(), rpc.AttemptState_ATTEMPT_BROKEN)
	}
	assert.Equal(t, node.LoadSample().InFlight, 0)
}

// Guards against net/http resending a request by itself when the target closes a connection, with and without a body, with a
// method that may be repeated, and with an Idempotency-Key, with which it resends a plain request.
func TestRequestIsSentOnce(t *testing.T) {
	var count atomic.Int64
	addr := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/once" {
			count.Add(1)
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
	})
	for _, c := range []call{
		{method: "POST", path: "/once"},
		{method: "POST", path: "/once", body: strings.NewReader("lot")},
		{method: "POST", path: "/once", key: "a"},
		{method: "GET", path: "/once", key: "b"},
		{method: "DELETE", path: "/once", key: "c"},
		{method: "POST", path: "/once", header: http.Header{"X-Idempotency-Key": {"d"}}},
		{method: "POST", path: "/once", key: "e", idempotent: true},
		{method: "GET", path: "/once", idempotent: true},
		{method: "HEAD", path: "/once", idempotent: true},
		{method: "OPTIONS", path: "/once", idempotent: true},
		{method: "TRACE", path: "/once", idempotent: true},
	} {
		// Each call has its own node, since a node whose target failed half of its requests refuses further ones.
		node := startNode(t, addr, func(c *Config) { c.KeyGate = &fakeKeyGate{} })
		node.send(context.Background(), call{method: "POST", path: "/warm"}) // opens the connection
		count.Store(0)
		broken := node.send(context.Background(), c)
		assert.Equal(t, broken.reason(), failure.TargetConnectionBroke, "%+v", c)
		assert.Equal(t, broken.outcome(), failure.Unknown)
		assert.Equal(t, count.Load(), int64(1), "%+v", c)
	}

	// Control: this target does make net/http resend a plain request.
	plain := &http.Transport{}
	defer plain.CloseIdleConnections()
	count.Store(0)
	for _, path := range []string{"/warm", "/once"} {
		r, err := http.NewRequest("POST", "http://"+addr+path, nil)
		assert.NilError(t, err)
		r.Header.Set(wire.IdempotencyKey, "a")
		response, err := plain.RoundTrip(r)
		assert.Equal(t, err == nil, path == "/warm")
		if err == nil {
			assert.NilError(t, response.Body.Close())
		}
	}
	assert.Equal(t, count.Load(), int64(2))
}

// Guards against an idempotent call that continues at the target after its caller disconnected, and against a
// non-idempotent one that does not.
func TestCallerDisconnects(t *testing.T) {
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
	node := startNode(t, addr, func(c *Config) { c.KeyGate = &fakeKeyGate{} })
	for _, idempotent := range []bool{true, false} {
		id := wire.NewAttemptID()
		c := call{method: "PUT", path: "/", idempotent: idempotent, attempt: id}
		if !idempotent {
			c.key = "key"
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-entered
			cancel()
		}()
		assert.Assert(t, node.send(ctx, c).err != nil)
		assert.Equal(t, <-cancelled, idempotent)
		if idempotent {
			continue
		}
		fetched, err := node.FetchAnswer(context.Background(),
			&rpc.FetchAnswerRequest{Attempt: id[:], MemberId: node.self.ID, WaitMs: 5000})
		assert.NilError(t, err)
		assert.Equal(t, fetched.GetState(), rpc.AttemptState_ATTEMPT_DONE)
		assert.Equal(t, string(fetched.GetAnswer().GetBody()), "answer")
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Compare(cmp.Equal(node.LoadSample().InFlight, 0)) })
}

// Guards against a caller that stops reading and thereby fills the node's memory or holds its slot beyond the deadline,
// and against a slow caller that does not get the complete response.
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
	node := startNode(t, addr, nil)
	get := func(timeout time.Duration) *http.Response {
		response, err := node.client.Transport.RoundTrip(node.request(context.Background(),
			call{method: "GET", path: "/", idempotent: true, timeout: timeout}))
		assert.NilError(t, err)
		return response
	}
	stopped := get(500 * time.Millisecond)
	poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Compare(cmp.Equal(node.LoadSample().InFlight, 0)) })
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
