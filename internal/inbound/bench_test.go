package inbound

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkCall compares a call to the target through the node with the direct call, both over loopback in one process:
// the figures of "node" include two calls of net/http, those of "direct" one.
func BenchmarkCall(b *testing.B) {
	hello := bytes.Repeat([]byte("h"), 1024)
	addr := startTarget(b, func(w http.ResponseWriter, r *http.Request) { _, _ = w.Write(hello) })
	one := startNode(b, addr, nil)
	post := bytes.Repeat([]byte("p"), 1024)
	direct := func(method string, body io.Reader) *http.Request {
		r, err := http.NewRequest(method, "http://"+addr+"/lots", body)
		assert.NilError(b, err)
		return r
	}
	cases := map[string]func() *http.Request{
		"get/direct":  func() *http.Request { return direct("GET", nil) },
		"post/direct": func() *http.Request { return direct("POST", bytes.NewReader(post)) },
		"get/node": func() *http.Request {
			return one.request(context.Background(), call{method: "GET", path: "/lots", idempotent: true})
		},
		"post/node": func() *http.Request {
			return one.request(context.Background(), call{method: "POST", path: "/lots", body: bytes.NewReader(post)})
		},
	}
	for _, name := range []string{"get/direct", "get/node", "post/direct", "post/node"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				answer, err := one.client.Transport.RoundTrip(cases[name]())
				if err != nil {
					b.Fatal(err)
				}
				if answer.StatusCode != http.StatusOK {
					b.Fatal(answer.Status)
				}
				_, _ = io.Copy(io.Discard, answer.Body)
				_ = answer.Body.Close()
			}
		})
	}
}
