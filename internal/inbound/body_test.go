package inbound

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/quarantine"
)

// Guards against the fingerprint of an incomplete body for one that was read to its length: net/http asks for the end only
// later, and a target that died in between made all requests with that path suspects.
func TestBodyOfKnownLengthIsWhole(t *testing.T) {
	const text = "three bolts"
	open, writer := io.Pipe() // a connection that stays open behind the body
	defer writer.Close()
	request := httptest.NewRequest("POST", "/buy", io.MultiReader(strings.NewReader(text), open))
	request.ContentLength = int64(len(text))
	body := newRequestBody(httptest.NewRecorder(), request)
	body.digest = quarantine.NewDigest("shop", "POST", "/buy")
	read := make([]byte, len(text))
	_, err := io.ReadFull(body, read)
	assert.NilError(t, err)

	whole := quarantine.NewDigest("shop", "POST", "/buy")
	whole.Write([]byte(text))
	whole.End()
	assert.Equal(t, body.digest.Fingerprint(), whole.Fingerprint())
}
