package entry

import (
	"bytes"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a resend that lacks the part of a streamed body which a refused send has read: a target's node reads the
// body to compare it with crash suspects and may refuse after that. Above maxReplayBytes no other send is allowed.
func TestPartlyReadBodyIsReplayedInFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := bytes.Repeat([]byte("0123456789"), rapid.IntRange(1, 2*maxReplayBytes/10).Draw(t, "tens"))
		request, err := http.NewRequest(http.MethodPost, "http://orders/", io.MultiReader(bytes.NewReader(content)))
		assert.NilError(t, err)
		request.ContentLength = -1
		body, err := newRequestBody(t.Context(), request)
		assert.NilError(t, err)
		for range rapid.IntRange(1, 3).Draw(t, "refused sends") {
			send := &http.Request{}
			body.attach(send)
			part := rapid.IntRange(0, maxReplayBytes).Draw(t, "bytes read")
			_, err := io.CopyN(io.Discard, send.Body, int64(part))
			assert.Assert(t, err == nil || part > len(content))
			if !body.replayable() {
				assert.Assert(t, len(content) > maxReplayBytes-copyBufferBytes, "a body of %d bytes is not replayable", len(content))
				return
			}
		}
		last := &http.Request{}
		body.attach(last)
		got, err := io.ReadAll(last.Body)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, content), "the last send got %d of %d bytes", len(got), len(content))
	})
}
