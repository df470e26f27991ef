package entry

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/framing"
	"github.com/acacialock/acacialock/internal/serving"
)

// startCallerListener serves callers as a node does, with limits on their headers, and returns the address.
func startCallerListener(t *testing.T, handler *Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := listener.Addr().String()
	assert.NilError(t, listener.Close())
	servers, err := serving.Open(func() { t.Error("a handler panicked") }, serving.Listener{
		Name: "entry", Addr: addr, Handler: framing.Handler(handler, handler.RefuseHeader),
		Limits: func() framing.Limits {
			return framing.Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 500 * time.Millisecond, IdleTimeout: time.Second}
		},
	})
	assert.NilError(t, err)
	t.Cleanup(servers.Close)
	for _, part := range servers.Parts() {
		go func() { _ = part(t.Context()) }()
	}
	return addr
}

// exchangeRaw sends the bytes of start and then repeat, up to maxBytes, until an answer arrives or the connection ends. It
// returns the status of the answer, 0 without one, whether the connection was closed after it, and the bytes of repeat sent.
func exchangeRaw(t *testing.T, addr, start, repeat string, maxBytes int, halfClose bool) (status int, closed bool, sent int) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		reader := bufio.NewReader(conn)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			closed = true
			return
		}
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err = reader.ReadByte()
		var timeout net.Error
		closed = err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
	}()
	if _, err := io.WriteString(conn, start); err == nil && halfClose {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	for repeat != "" && sent < maxBytes {
		n, err := io.WriteString(conn, repeat)
		sent += n
		if err != nil {
			break
		}
	}
	<-answered
	return status, closed, sent
}

// Guards against requests whose framing two servers could read differently, or that have no end: each must get the answer
// of its row, its connection must not be used again, and no target must get it.
func TestFramingOfCallers(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	addr := startCallerListener(t, f.handler)
	const host = "Host: orders\r\n"
	const chunked = "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n"
	line := strings.Repeat("x", 1000)
	const maxSent = 64 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for name, c := range map[string]struct {
		start, repeat string
		halfClose     bool
		want          int // status; 0: the connection is closed without an answer
	}{
		"two lengths":               {start: "POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", want: 400},
		"length and encoding":       {start: "POST / HTTP/1.1\r\n" + host + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", want: 400},
		"negative length":           {start: "POST / HTTP/1.1\r\n" + host + "Content-Length: -1\r\n\r\n", want: 400},
		"unknown encoding":          {start: "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", want: 501},
		"line without a colon":      {start: "GET / HTTP/1.1\r\n" + host + "X\r\n\r\n", want: 400},
		"space in a header name":    {start: "GET / HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\nabc", want: 400},
		"no host":                   {start: "GET / HTTP/1.1\r\n\r\n", want: 400},
		"two hosts":                 {start: "GET / HTTP/1.1\r\n" + host + host + "\r\n", want: 400},
		"invalid chunk":             {start: chunked + "zz\r\n", want: 400},
		"header without end":        {start: "GET / HTTP/1.1\r\n" + host, repeat: "X-A: " + line + "\r\n", want: 431},
		"header line without end":   {start: "GET / HTTP/1.1\r\n" + host + "X-A: ", repeat: line, want: 431},
		"request line without end":  {start: "GET /", repeat: line, want: 431},
		"chunk extension":           {start: chunked + "1;", repeat: line, want: 400},
		"trailers without end":      {start: chunked + "1\r\na\r\n0\r\n", repeat: "X-A: " + line + "\r\n", want: 400},
		"header that stops":         {start: "GET / HTTP/1.1\r\n" + host, want: 0},
		"half-close in the header":  {start: "GET / HTTP/1.1\r\n" + host, halfClose: true, want: 400},
		"half-close in the body":    {start: "POST / HTTP/1.1\r\n" + host + "Content-Length: 10\r\n\r\nabc", halfClose: true, want: 400},
		"half-close in chunked one": {start: chunked + "3\r\nabc\r\n", halfClose: true, want: 502}, // its target may have begun
	} {
		status, closed, sent := exchangeRaw(t, addr, c.start, c.repeat, maxSent, c.halfClose)
		assert.Check(t, status == c.want, "%s: status %d, want %d", name, status, c.want)
		assert.Check(t, closed, "%s: the connection stays open", name)
		assert.Check(t, sent < maxSent, "%s: all of %d bytes were read", name, sent)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	const maxGrowth = 16 << 20
	assert.Assert(t, after.HeapAlloc < before.HeapAlloc+maxGrowth)
}

// Guards against a caller that half-closes its connection after a complete request and gets a 503, the promise that the
// request has not run, although its target has begun to run it. Such a caller counts as gone: net/http can't tell it from
// one that has closed its connection.
func TestHalfClosedCallerGetsNoPromise(t *testing.T) {
	entered := make(chan struct{}, 1)
	f := newFixture(t, 1, func(_ http.ResponseWriter, r *http.Request) {
		entered <- struct{}{}
		<-r.Context().Done()
	})
	addr := startCallerListener(t, f.handler)
	status, closed, _ := exchangeRaw(t, addr, "GET / HTTP/1.1\r\nHost: orders\r\n\r\n", "", 0, true)
	assert.Assert(t, status == 0 || status == http.StatusBadGateway, "status %d", status)
	assert.Assert(t, closed)
}

// Guards against a request with two body lengths that is served because it was sent behind another request in one write: the
// part after its body would be parsed as a request of its own (request smuggling).
func TestConflictingLengthsBehindARequest(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	conn, err := net.Dial("tcp", startCallerListener(t, f.handler))
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: orders\r\nX-Order: first\r\n\r\n"+
		"POST / HTTP/1.1\r\nHost: orders\r\nX-Order: second\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+
		"GET / HTTP/1.1\r\nHost: orders\r\nX-Order: smuggled\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for _, want := range []int{http.StatusOK, http.StatusBadRequest} {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, want)
	}
	_, err = reader.ReadByte()
	assert.Assert(t, err != nil, "the connection is closed")
	assert.Equal(t, f.runCount("second")+f.runCount("smuggled"), int64(0))
}
