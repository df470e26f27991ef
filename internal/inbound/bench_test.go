package inbound

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkCall compares a call through the node with a direct call to the target, both over loopback in one process.
// The results of "node" include two net/http round trips, those of "direct" one.
func BenchmarkCall(b *testing.B) {
	hello := bytes.Repeat([]byte("h"), 1024)
	addr := startTarget(b, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(hello) })
	node := startNode(b, addr, nil)
	direct := func(method string, body io.Reader) *http.Request {
		r, err := http.NewRequest(method, "http://"+addr+"/lots", body)
		assert.NilError(b, err)
		return r
	}
	forwarded := func(method string, body io.Reader) *http.Request {
		return node.request(context.Background(),
			call{method: method, path: "/lots", body: body, idempotent: method == "GET"})
	}
	run := func(b *testing.B, request func(string, io.Reader) *http.Request, method string, size int) {
		b.ReportAllocs()
		for b.Loop() {
			response, err := node.client.Transport.RoundTrip(request(method, bytes.NewReader(hello[:size])))
			if err != nil || response.StatusCode != http.StatusOK {
				b.Fatal(err, response)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	b.Run("get/direct", func(b *testing.B) { run(b, direct, "GET", 0) })
	b.Run("get/node", func(b *testing.B) { run(b, forwarded, "GET", 0) })
	b.Run("post/direct", func(b *testing.B) { run(b, direct, "POST", 1024) })
	b.Run("post/node", func(b *testing.B) { run(b, forwarded, "POST", 1024) })
}
