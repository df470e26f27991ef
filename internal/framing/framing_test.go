package framing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func startServer(t *testing.T, limits Limits) (addr string, served *int) {
	served = new(int)
	server := httptest.NewUnstartedServer(Handler(
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			*served++
			_, _ = io.Copy(w, r.Body)
		}),
		func(w http.ResponseWriter, _ *http.Request, fault Fault) {
			w.WriteHeader(map[Fault]int{ConflictingLengths: http.StatusBadRequest, HeaderTooLarge: http.StatusRequestHeaderFieldsTooLarge}[fault])
		},
	))
	server.Listener = NewLimitedListener(server.Listener, func() Limits { return limits })
	server.Config.ConnContext, server.Config.ConnState = ConnContext, ConnState
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), served
}

// Guards against serving a request with two body lengths, and against parsing what follows it as another request. The
// connection carries valid requests before the faulty one.
func TestConflictingLengthsAreRefused(t *testing.T) {
	addr, served := startServer(t, Limits{})
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	reader := bufio.NewReader(conn)
	for i, text := range []string{
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nCONTENT-length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		for _, part := range []string{text[:20], text[20:]} {
			_, err = fmt.Fprint(conn, part)
			assert.NilError(t, err)
		}
		answer, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, answer.Body)
		assert.NilError(t, err)
		if i < 2 {
			assert.Equal(t, answer.StatusCode, http.StatusOK)
			continue
		}
		assert.Equal(t, answer.StatusCode, http.StatusBadRequest)
	}
	_, err = reader.ReadByte()
	assert.Assert(t, err != nil, "the connection is closed")
	assert.Equal(t, *served, 2)
}

// requireClosed waits until the server has closed the connection and fails the test if it does not.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := io.ReadAll(conn)
	assert.NilError(t, err) // EOF, not a timeout
}

// Guards against callers that hold connections and memory: headers beyond the size limit, incomplete headers, and
// connections without requests.
func TestCallerLimits(t *testing.T) {
	limits := Limits{MaxHeaderBytes: 200, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: 300 * time.Millisecond}
	addr, served := startServer(t, limits)
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}

	large := dial()
	_, err := fmt.Fprintf(large, "GET / HTTP/1.1\r\nHost: x\r\nX: %0200d\r\n\r\n", 0)
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(large), nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, *served, 0)

	slow := dial()
	_, err = fmt.Fprint(slow, "GET / HTTP/1.1\r\nHost: x\r\n")
	assert.NilError(t, err)
	requireClosed(t, slow)

	requireClosed(t, dial())

	used := dial()
	_, err = fmt.Fprint(used, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	assert.NilError(t, err)
	requireClosed(t, used) // after the response
	assert.Equal(t, *served, 1)
}

// Guards against closing a connection as idle while a request is in progress whose response takes longer than the
// idle time.
func TestLongRequestsAreNotIdle(t *testing.T) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(500 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}))
	limits := Limits{HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
	server.Listener = NewLimitedListener(server.Listener, func() Limits { return limits })
	server.Config.ConnContext, server.Config.ConnState = ConnContext, ConnState
	server.Start()
	defer server.Close()
	answer, err := http.Get(server.URL)
	assert.NilError(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "whole")
}

// Guards against applying the header limits to a body that continues after its response has started: a target may
// respond early and still read a long upload to its end.
func TestUploadAfterResponseStarted(t *testing.T) {
	read := make(chan int, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		w.WriteHeader(http.StatusOK)
		_ = control.Flush()
		text, _ := io.ReadAll(r.Body)
		read <- len(text)
	}))
	limits := Limits{MaxHeaderBytes: 100, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
	server.Listener = NewLimitedListener(server.Listener, func() Limits { return limits })
	server.Config.ConnContext, server.Config.ConnState = ConnContext, ConnState
	server.Start()
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n")
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	for range 10 {
		_, err = fmt.Fprint(conn, "x")
		assert.NilError(t, err)
		time.Sleep(30 * time.Millisecond)
	}
	assert.Equal(t, <-read, 10)
}
