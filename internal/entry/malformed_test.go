package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a caller's malformed chunk that is reported as a failure of the target, and against reuse of the
// connection after it.
func TestMalformedChunkIsABadRequest(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	conn, err := net.Dial("tcp", f.entry.Listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: orders\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\nzz\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	answer, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusBadRequest)
	assert.Assert(t, answer.Close)
	_, err = io.Copy(io.Discard, answer.Body)
	assert.NilError(t, err)
	_, err = reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}
