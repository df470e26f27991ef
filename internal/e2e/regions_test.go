package e2e

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/daemon"
	"github.com/acacialock/acacialock/internal/operator"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/platformtest"
	"github.com/acacialock/acacialock/internal/settings"
	"github.com/acacialock/acacialock/internal/testcluster"
	"github.com/acacialock/acacialock/internal/testload"
	"github.com/acacialock/acacialock/internal/testnet"
)

var (
	sanjose    = testnet.Place{Region: "sanjose", Zone: "sj-a"}
	sanjoseB   = testnet.Place{Region: "sanjose", Zone: "sj-b"}
	guanacaste = testnet.Place{Region: "guanacaste", Zone: "gc-a"}
)

// settleTime lets requests end that a target still runs after its caller left.
const settleTime = 200 * time.Millisecond

// regions is a set of nodes in this process, joined by a network with the users' delays that can be cut.
type regions struct {
	t        *testing.T
	network  *testnet.Network
	platform *platformtest.Server
	addr     string // of the platform
	nodes    []*regionNode
	mu       sync.Mutex
	runs     map[string]int
}

type regionNode struct {
	place    testnet.Place
	settings *settings.Settings
	stop     context.CancelFunc
	ended    chan error
}

func newRegions(t *testing.T, places ...testnet.Place) *regions {
	t.Helper()
	r := &regions{t: t, network: testnet.New(), platform: platformtest.New(), runs: map[string]int{}}
	addr, err := r.platform.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(r.platform.Close)
	r.addr = addr
	r.network.Put(addr, sanjose)
	for i, place := range places {
		r.start(fmt.Sprintf("storefront-%d", i+1), place)
	}
	r.apply(storefrontList)
	assert.NilError(t, testcluster.WaitFor(readyLimit, "all nodes to know each other", r.converged))
	return r
}

// start runs one node with a target of its own.
func (r *regions) start(name string, place testnet.Place) {
	r.t.Helper()
	target := httptest.NewServer(http.HandlerFunc(r.serve))
	r.t.Cleanup(target.Close)
	set := &settings.Settings{
		Name: name, Service: "storefront", Zone: place.Zone, Region: place.Region,
		EntryAddr: testnet.MustFreeAddr(r.t), PeerAddr: testnet.MustFreeAddr(r.t), AdminAddr: testnet.MustFreeAddr(r.t),
		TargetAddr: target.Listener.Addr().String(), PlatformAddr: r.addr,
		DrainTimeout: 10 * time.Second, PlatformTryTimeout: time.Second, PlatformOperationTimeout: 5 * time.Second,
	}
	r.network.Put(set.PeerAddr, place)
	node, err := daemon.New(set, daemon.Options{Dial: r.network.Dialer(place)})
	assert.NilError(r.t, err)
	ctx, stop := context.WithCancel(context.Background())
	started := &regionNode{place: place, settings: set, stop: stop, ended: make(chan error, 1)}
	go func() { started.ended <- node.Run(ctx) }()
	r.nodes = append(r.nodes, started)
	r.t.Cleanup(func() {
		stop()
		<-started.ended
	})
}

// serve is the target: it counts the runs of each order.
func (r *regions) serve(w http.ResponseWriter, request *http.Request) {
	order := request.Header.Get("X-Order")
	r.mu.Lock()
	r.runs[order]++
	r.mu.Unlock()
	_, _ = io.Copy(io.Discard, request.Body) // a cut body shows in the missing answer
	time.Sleep(3 * time.Millisecond)
	fmt.Fprintf(w, "order=%s ", order)
}

// apply accepts a list as an operator in sanjose does.
func (r *regions) apply(text string) {
	r.t.Helper()
	client := platform.NewClient(platform.Config{Addr: r.addr})
	defer client.Close()
	accepted := &operator.Operator{Table: client, Objects: client.Objects(), Name: "test"}
	_, err := accepted.Apply(context.Background(), []byte(text), nil)
	assert.NilError(r.t, err)
}

func (r *regions) status(node *regionNode) testcluster.Status {
	return testcluster.StatusAt(node.settings.AdminAddr)
}

func (r *regions) converged() bool {
	for _, node := range r.nodes {
		if r.status(node).OwnMembers < len(r.nodes) {
			return false
		}
	}
	return true
}

// entries returns the entry addresses in a region.
func (r *regions) entries(region string) func() []string {
	var addrs []string
	for _, node := range r.nodes {
		if node.place.Region == region {
			addrs = append(addrs, node.settings.EntryAddr)
		}
	}
	return func() []string { return addrs }
}

// Guards against a region split that stops calls, runs a keyed order on both sides, or leaves a region on an older list
// once it is over.
func TestRegionSplit(t *testing.T) {
	r := newRegions(t, sanjose, sanjose, sanjoseB, guanacaste, guanacaste)
	near, far := r.nodes[0], r.nodes[4]
	untilKeyed(t, near.settings.EntryAddr)
	untilKeyed(t, far.settings.EntryAddr)

	loads := map[string]*testload.Load{
		"unkeyed in sanjose":    startLoad(3, false, "us", r.entries("sanjose")),
		"unkeyed in guanacaste": startLoad(3, false, "ug", r.entries("guanacaste")),
		"keyed in sanjose":      startLoad(3, true, "ks", r.entries("sanjose")),
		"keyed in guanacaste":   startLoad(3, true, "kg", r.entries("guanacaste")),
	}
	time.Sleep(2 * time.Second)
	r.network.Cut(testnet.Between)
	time.Sleep(time.Second)
	r.apply(strings.Replace(storefrontList, "3s", "4s", 1))
	assert.NilError(t, testcluster.WaitFor(readyLimit, "the list in the store's region", func() bool {
		return r.status(near).Control.ListVersion == 2
	}))
	assert.Equal(t, r.status(far).Control.ListVersion, uint64(1), "the list crossed the cut")
	time.Sleep(12 * time.Second)
	during := map[string]int{}
	for name, l := range loads {
		during[name] = l.Answered()
	}
	time.Sleep(2 * time.Second)
	for _, name := range []string{"unkeyed in sanjose", "unkeyed in guanacaste", "keyed in sanjose"} {
		assert.Check(t, loads[name].Answered() > during[name], "%s: no order was answered late in the split", name)
	}
	r.network.Heal()
	assert.NilError(t, testcluster.WaitFor(readyLimit, "the list in the other region", func() bool {
		return r.status(far).Control.ListVersion == 2
	}))
	untilKeyed(t, far.settings.EntryAddr)
	orders := map[string][]*testload.Order{}
	for name, l := range loads {
		orders[name] = l.Stop()
	}
	time.Sleep(settleTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range loads {
		t.Log(name)
		verify(t, r.runs, orders[name])
	}
}
