package peerclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

// Guards against a response of another node without end: the RPC client reads a response as a whole.
func TestEndlessResponseOfNodeEnds(t *testing.T) {
	var sent atomic.Int64
	part := []byte(strings.Repeat("x", 1<<20))
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/protobuf")
		for {
			n, err := w.Write(part)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	clients := New(nil, nil)
	defer clients.Close()
	addr := server.Listener.Addr().String()
	_, err := clients.Probe(context.Background(), cluster.Member{PeerAddr: addr})
	assert.ErrorContains(t, err, "too large")
	_, err = clients.AttemptsUnpooled(addr).Fence(context.Background(), &rpc.FenceRequest{})
	assert.ErrorContains(t, err, "too large")
	assert.Assert(t, sent.Load() < 4*maxBodyBytes, "%d bytes were read", sent.Load())
}
