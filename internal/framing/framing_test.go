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

func serve(t *testing.T) (addr string, served *int) {
	served = new(int)
	server := httptest.NewUnstartedServer(Handler(
		http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			*served++
			_, _ = io.Copy(w, r.Body)
		}),
		func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) },
	))
	server.Listener = Listen(server.Listener)
	server.Config.ConnContext = ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), served
}

// Guards against a request with two lengths that is served, and against what follows it being served as another one; also
// after a proper request on the same connection.
func TestTwoLengthsAreRefused(t *testing.T) {
	addr, served := serve(t)
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
