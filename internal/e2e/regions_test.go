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

// settleTime is the time for requests that a target still runs after their callers disconnected.
const settleTime = 200 * time.Millisecond

// regionCluster is a set of nodes in this process, connected by a simulated network that has the users' delays and can be
// partitioned between regions.
type regionCluster struct {
	t        *testing.T
	network  *testnet.Network
	platform *platformtest.Server
	addr     string // platform address
	nodes    []*regionNode
	mu       sync.Mutex
	runs     map[string]int // by order ID
}

type regionNode struct {
	place    testnet.Place
	settings *settings.Settings
	stop     context.CancelFunc
	ended    chan error
}

func newRegionCluster(t *testing.T, places ...testnet.Place) *regionCluster {
	t.Helper()
	r := &regionCluster{t: t, network: testnet.New(), platform: platformtest.New(), runs: map[string]int{}}
	addr, err := r.platform.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(r.platform.Close)
	r.addr = addr
	r.network.SetPlace(addr, sanjose)
	for i, place := range places {
		r.start(fmt.Sprintf("storefront-%d", i+1), place)
	}
	r.apply(storefrontList)
	assert.NilError(t, testcluster.WaitFor(readyLimit, "all nodes to discover each other", r.allDiscovered))
	return r
}

// start starts a node with its own target.
func (r *regionCluster) start(name string, place testnet.Place) {
	r.t.Helper()
	target := httptest.NewServer(http.HandlerFunc(r.serve))
	r.t.Cleanup(target.Close)
	config := &settings.Settings{
		Name: name, Service: "storefront", Zone: place.Zone, Region: place.Region,
		EntryAddr: testnet.MustFreeAddr(r.t), PeerAddr: testnet.MustFreeAddr(r.t), AdminAddr: testnet.MustFreeAddr(r.t),
		TargetAddr: target.Listener.Addr().String(), PlatformAddr: r.addr,
		DrainTimeout: 10 * time.Second, PlatformTryTimeout: time.Second, PlatformOperationTimeout: 5 * time.Second,
	}
	r.network.SetPlace(config.PeerAddr, place)
	node, err := daemon.New(config, daemon.Options{Dial: r.network.Dialer(place)})
	assert.NilError(r.t, err)
	ctx, stop := context.WithCancel(context.Background())
	started := &regionNode{place: place, settings: config, stop: stop, ended: make(chan error, 1)}
	go func() { started.ended <- node.Run(ctx) }()
	r.nodes = append(r.nodes, started)
	r.t.Cleanup(func() {
		stop()
		<-started.ended
	})
}

// serve is the handler of the targets; it counts the runs of each order.
func (r *regionCluster) serve(w http.ResponseWriter, request *http.Request) {
	order := request.Header.Get("X-Order")
	r.mu.Lock()
	r.runs[order]++
	r.mu.Unlock()
	_, _ = io.Copy(io.Discard, request.Body) // a truncated body shows as an unanswered order
	time.Sleep(3 * time.Millisecond)
	fmt.Fprintf(w, "order=%s ", order)
}

// apply applies a service list as an operator in sanjose does.
func (r *regionCluster) apply(text string) {
	r.t.Helper()
	client := platform.NewClient(platform.Config{Addr: r.addr})
	defer client.Close()
	op := &operator.Operator{Table: client, Objects: client.Objects(), Name: "test"}
	_, err := op.Apply(context.Background(), []byte(text), nil)
	assert.NilError(r.t, err)
}

func (r *regionCluster) status(node *regionNode) testcluster.Status {
	return testcluster.StatusAt(node.settings.AdminAddr)
}

func (r *regionCluster) allDiscovered() bool {
	for _, node := range r.nodes {
		if r.status(node).OwnMembers < len(r.nodes) {
			return false
		}
	}
	return true
}

// entries returns a function that returns the entry addresses in a region.
func (r *regionCluster) entries(region string) func() []string {
	var addrs []string
	for _, node := range r.nodes {
		if node.place.Region == region {
			addrs = append(addrs, node.settings.EntryAddr)
		}
	}
	return func() []string { return addrs }
}

// Guards against a partition between regions that stops calls, runs a keyed order on both sides, or leaves a region on an
// older list after the partition ends.
func TestRegionPartition(t *testing.T) {
	r := newRegionCluster(t, sanjose, sanjose, sanjoseB, guanacaste, guanacaste)
	home, remote := r.nodes[0], r.nodes[4]
	waitUntilKeyed(t, home.settings.EntryAddr)
	waitUntilKeyed(t, remote.settings.EntryAddr)

	loads := map[string]*testload.Load{
		"unkeyed in sanjose":    startLoad(3, false, "us", r.entries("sanjose")),
		"unkeyed in guanacaste": startLoad(3, false, "ug", r.entries("guanacaste")),
		"keyed in sanjose":      startLoad(3, true, "ks", r.entries("sanjose")),
		"keyed in guanacaste":   startLoad(3, true, "kg", r.entries("guanacaste")),
	}
	time.Sleep(2 * time.Second)
	r.network.Partition(testnet.InDifferentRegions)
	time.Sleep(time.Second)
	r.apply(strings.Replace(storefrontList, "3s", "4s", 1))
	assert.NilError(t, testcluster.WaitFor(readyLimit, "the list in the store's region", func() bool {
		return r.status(home).Control.ListVersion == 2
	}))
	assert.Equal(t, r.status(remote).Control.ListVersion, uint64(1), "the list reached the other region during the partition")
	time.Sleep(12 * time.Second)
	answeredInPartition := map[string]int{}
	for name, load := range loads {
		answeredInPartition[name] = load.Answered()
	}
	time.Sleep(2 * time.Second)
	for _, name := range []string{"unkeyed in sanjose", "unkeyed in guanacaste", "keyed in sanjose"} {
		assert.Check(t, loads[name].Answered() > answeredInPartition[name], "%s: no order was answered late in the partition", name)
	}
	r.network.Heal()
	assert.NilError(t, testcluster.WaitFor(readyLimit, "the list in the other region", func() bool {
		return r.status(remote).Control.ListVersion == 2
	}))
	waitUntilKeyed(t, remote.settings.EntryAddr)
	orders := map[string][]*testload.Order{}
	for name, load := range loads {
		orders[name] = load.Stop()
	}
	time.Sleep(settleTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range loads {
		t.Log(name)
		verifyOrders(t, r.runs, orders[name])
	}
}
