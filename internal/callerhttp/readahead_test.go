package callerhttp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/callermem"
)

// readAhead reads the body of a request ahead until ctx ends.
func readAhead(ctx context.Context, r *http.Request) ([]byte, error) {
	return r.Body.(*body).ReadAhead(ctx)
}

// echoAhead answers with the body, or with a status that tells why it could not be read ahead.
func echoAhead(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		return
	}
	data, err := readAhead(r.Context(), r)
	switch {
	case err == nil:
		_, _ = w.Write(data) // the caller may have left
	case errors.Is(err, callermem.ErrFull):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func post(length int, sent string) string {
	return fmt.Sprintf("POST /once HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, sent)
}

// Guards against bodies that change when they are read ahead, in one write and in parts, and against requests behind them that are
// lost.
func TestBodiesReadAheadAreWhole(t *testing.T) {
	server, addr := startServer(t, Bounds{}, echoAhead)
	for _, length := range []int{1, minAheadBytes - 1, minAheadBytes, minAheadBytes + 1, 60_000} {
		body := strings.Repeat("0123456789abcdef", length/16+1)[:length]
		conn, reader := dial(t, addr)
		write(t, conn, post(length, body)+post(length, body))
		write(t, conn, post(length, body[:length/2]))
		for range 2 {
			status, got, _ := readAnswer(reader, http.MethodPost)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, got == body, "%d bytes", len(got))
		}
		write(t, conn, body[length/2:]+get("/"))
		status, got, _ := readAnswer(reader, http.MethodPost)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, got == body, "%d bytes", len(got))
		status, _, _ = readAnswer(reader, http.MethodGet)
		assert.Equal(t, status, http.StatusOK)
	}
	server.requireNothingHeld(t)
}

// Guards against bodies that take memory when they are announced, and against a crowd of bodies without their end that takes more
// than its share or keeps an ordinary body out.
func TestCrowdOfBodiesStaysWithinItsShare(t *testing.T) {
	const crowd, length, sent = 40, 60_000, 20_000
	server, addr := startServer(t, Bounds{Memory: 1 << 20}, echoAhead)
	announced, _ := dial(t, addr)
	write(t, announced, post(length, "x"))
	for end := time.Now().Add(testTimeout); server.Held().Bodies == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	assert.Assert(t, server.Held().Bodies <= minAheadBytes)
	for range crowd {
		conn, _ := dial(t, addr)
		write(t, conn, post(length, strings.Repeat("x", sent)))
		assert.Assert(t, server.Held().Bodies <= server.account.Share(callermem.Bodies)+length, "%+v", server.Held())
	}
	for end := time.Now().Add(testTimeout); server.Held().Bodies > server.account.Share(callermem.Bodies); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%+v", server.Held())
	}
	ordinary, reader := dial(t, addr)
	body := strings.Repeat("y", length)
	write(t, ordinary, post(length, body))
	status, got, _ := readAnswer(reader, http.MethodPost)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, got == body)
}

// Guards against callers whose bodies stop and who hold all connections, or the memory of all requests in progress.
func TestBodiesThatStopMakeRoom(t *testing.T) {
	for _, bounds := range []Bounds{{Connections: 20}, {Memory: 256 << 10}} {
		server, addr := startServer(t, bounds, echoAhead)
		for range 40 {
			conn, _ := dial(t, addr)
			_, _ = conn.Write([]byte(post(10, "12345"))) // the connection may be closed
		}
		for served, end := 0, time.Now().Add(testTimeout); served < 10; {
			conn, reader := dial(t, addr)
			_, _ = conn.Write([]byte(get("/"))) // the connection may be closed
			status, _, _ := readAnswer(reader, http.MethodGet)
			if status == http.StatusOK {
				served++
			}
			assert.Assert(t, time.Now().Before(end), "%d requests were served", served)
		}
		assert.NilError(t, server.Close())
		server.requireNothingHeld(t)
	}
}

// Guards against a body that is waited for after its context has ended, and against an answer that is lost with it.
func TestContextEndsReadAhead(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	started := make(chan struct{})
	server, addr := startServer(t, Bounds{}, func(w http.ResponseWriter, r *http.Request) {
		close(started)
		_, err := readAhead(ctx, r)
		if errors.Is(err, context.Canceled) {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})
	conn, reader := dial(t, addr)
	write(t, conn, post(10, "12345"))
	<-started
	cancel()
	status, _, answer := readAnswer(reader, http.MethodPost)
	assert.Equal(t, status, http.StatusRequestTimeout)
	assert.Assert(t, answer.Close)
	_, err := reader.ReadByte()
	assert.Assert(t, err != nil, "the connection stays open")
	server.requireNothingHeld(t)
}

// Guards against a crowd that leaves answers unread which were read ahead for it, and keeps the memory from others for as long as a
// write may take.
func TestUnreadAnswersMakeRoom(t *testing.T) {
	const length, crowd = 100_000, 20
	var refused atomic.Int64
	server, addr := startServer(t, Bounds{Memory: 4 << 20}, func(w http.ResponseWriter, r *http.Request) {
		if !w.(*exchange).ReserveAnswer(length) {
			refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		for range 100 { // more than the buffers of the connection take
			if _, err := w.Write(make([]byte, length)); err != nil || r.Method == http.MethodPost {
				return
			}
		}
	})
	var open []net.Conn
	for range crowd {
		conn, _ := dial(t, addr)
		write(t, conn, get("/once"))
		open = append(open, conn)
	}
	for served, end := 0, time.Now().Add(testTimeout); served < 20; {
		conn, reader := dial(t, addr)
		write(t, conn, post(0, ""))
		status, _, _ := readAnswer(reader, http.MethodPost)
		if status == http.StatusOK {
			served++
		}
		_ = conn.Close()
		assert.Assert(t, server.Held().Answers <= server.account.Share(callermem.Answers)+length, "%+v", server.Held())
		assert.Assert(t, time.Now().Before(end), "%d requests were served, %d refused", served, refused.Load())
	}
	for _, conn := range open {
		_ = conn.Close()
	}
	server.requireNothingHeld(t)
}

// Guards against callers that were refused and keep their connections, each new one being closed: those whose bodies stop, and
// those whose answers were sent and that stay open only to be read.
func TestRefusedCallersMakeRoom(t *testing.T) {
	const connections = 10
	for _, length := range []int{60_000, 10_000_000} { // the rest of the longer one is not waited for
		handled := make(chan struct{}, connections)
		server, addr := startServer(t, Bounds{Connections: connections}, func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost {
				w.WriteHeader(http.StatusNotFound)
				handled <- struct{}{}
			}
		})
		for end := time.Now().Add(testTimeout); ; { // until all of them are open and none is in progress any more
			for server.Held().Connections < connections {
				conn, _ := dial(t, addr)
				write(t, conn, post(length, "12345"))
				<-handled
			}
			if server.countPlaced() == 0 && server.Held().Connections == connections {
				break
			}
			time.Sleep(time.Millisecond)
			assert.Assert(t, time.Now().Before(end), "%d bytes", length)
		}
		conn, reader := dial(t, addr)
		write(t, conn, get("/"))
		status, _, _ := readAnswer(reader, http.MethodGet)
		assert.Equal(t, status, http.StatusOK)
	}
}

// countPlaced returns the number of connections that may not be closed for others.
func (s *Server) countPlaced() (count int) {
	_, holdings := s.holdings()
	for _, h := range holdings {
		if h.placed {
			count++
		}
	}
	return count
}
