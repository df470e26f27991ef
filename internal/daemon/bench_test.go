package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/operator"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/platformtest"
	"github.com/acacialock/acacialock/internal/settings"
	"github.com/acacialock/acacialock/internal/testnet"
)

// BenchmarkCall measures the CPU time and the allocations of one call: directly to the target, and through a node that is
// both the entry node and the target's node. The difference is the overhead of the two roles.
func BenchmarkCall(b *testing.B) {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, "ok")
	}))
	defer target.Close()
	entry, stop := startNode(b, target.Listener.Addr().String())
	defer stop()
	for _, path := range []struct{ name, addr string }{{"direct", target.Listener.Addr().String()}, {"through", entry}} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			b.Run(path.name+"/"+method, func(b *testing.B) { benchmarkCalls(b, path.addr, method) })
		}
	}
}

func benchmarkCalls(b *testing.B, addr, method string) {
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	b.ReportAllocs()
	b.SetParallelism(1)
	b.RunParallel(func(loop *testing.PB) {
		for loop.Next() {
			request, _ := http.NewRequest(method, "http://"+addr+"/", nil)
			request.Host = "storefront"
			response, err := transport.RoundTrip(request)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode != http.StatusOK {
				b.Errorf("status %d %v", response.StatusCode, response.Header)
				return
			}
		}
	})
}

// startNode runs a node with a service list in force and returns its entry address and a function that stops it.
func startNode(tb testing.TB, targetAddr string) (string, func()) {
	tb.Helper()
	server := platformtest.New()
	addr, err := server.Start("127.0.0.1:0")
	assert.NilError(tb, err)
	client := platform.NewClient(platform.Config{Addr: addr})
	op := &operator.Operator{Table: client, Objects: client.Objects(), Name: "test"}
	list := "[services.storefront]\nhome_region = \"sanjose\"\n[services.storefront.limits]\nslots = 64\nqueue = 64\n"
	_, err = op.Apply(context.Background(), []byte(list), nil)
	assert.NilError(tb, err)
	client.Close()
	set := &settings.Settings{
		Name: "n", Service: "storefront", Region: "sanjose", Zone: "sj-a", EntryAddr: testnet.MustFreeAddr(tb), PeerAddr: testnet.MustFreeAddr(tb),
		AdminAddr: testnet.MustFreeAddr(tb), TargetAddr: targetAddr, PlatformAddr: addr, DrainTimeout: time.Second,
		PlatformTryTimeout: time.Second, PlatformOperationTimeout: 5 * time.Second,
	}
	node, err := New(set, Options{})
	assert.NilError(tb, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	for node.view.Load().List == nil || len(node.view.Load().Members["storefront"]) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	return set.EntryAddr, func() {
		stop()
		<-ended
		server.Close()
	}
}
