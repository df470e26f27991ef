package inbound

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/quarantine"
)

// Guards against the fingerprint of an incomplete body for a body that was read up to its Content-Length. net/http
// reads the EOF only later, and a target that crashed in between made all requests with that path suspects.
func TestDigestIsCompleteAtContentLength(t *testing.T) {
	const text = "three bolts"
	open, writer := io.Pipe() // a connection that stays open behind the body
	defer writer.Close()
	request := httptest.NewRequest("POST", "/buy", io.MultiReader(strings.NewReader(text), open))
	request.ContentLength = int64(len(text))
	body := newRequestBody(httptest.NewRecorder(), request)
	body.digest = quarantine.NewDigest("shop", "POST", "/buy")
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(body, buffer)
	assert.NilError(t, err)

	complete := quarantine.NewDigest("shop", "POST", "/buy")
	complete.Write([]byte(text))
	complete.End()
	assert.Equal(t, body.digest.Fingerprint(), complete.Fingerprint())
}
