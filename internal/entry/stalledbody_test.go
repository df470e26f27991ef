package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Guards against a short body that stops and is waited for without a time limit, and against a request that reaches its target
// although its body is incomplete: the caller is told at the deadline that it has not run.
func TestShortBodyThatStopsEndsAtTheDeadline(t *testing.T) {
	f := newFixture(t, 1, func(http.ResponseWriter, *http.Request) { t.Error("the target got the request") })
	conn, err := net.Dial("tcp", startCallerListener(t, f.handler))
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: orders\r\n"+wire.TimeoutMS+": 200\r\nContent-Length: 14\r\n\r\nfive ")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(wire.Outcome), string(failure.NotRun))
	assert.Equal(t, response.Header.Get(wire.Reason), string(failure.DeadlineExceeded))
	assert.Assert(t, response.Close)
}
