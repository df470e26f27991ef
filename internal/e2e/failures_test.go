package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/testcluster"
	"github.com/acacialock/acacialock/internal/testload"
	"github.com/acacialock/acacialock/internal/wire"
)

const loadWorkers = 8

// Guards against failures that tests of single components miss: the operators' command applies a list, nodes discover each
// other, calls succeed through every entry, and refusals carry their outcome and reason.
func TestCallsEndToEnd(t *testing.T) {
	configs := storefrontConfigs(2)
	configs[0].EntryServices = []string{"inventory"}
	configs = append(configs, testcluster.NodeConfig{Service: "inventory", Region: "sanjose", Zone: "sj-a", ServiceTime: time.Millisecond})
	cluster := newCluster(t, configs...)
	for _, node := range cluster.Nodes[:2] {
		waitUntilServed(t, node.EntryAddr, "storefront")
	}
	waitUntilServed(t, cluster.Nodes[0].EntryAddr, "inventory")

	status, header, _ := get(t, cluster.Nodes[0].EntryAddr, "warehouse", "/")
	assert.Equal(t, status, http.StatusNotFound)
	assert.Equal(t, header.Get(wire.Outcome), "not-run")
	assert.Equal(t, header.Get(wire.Reason), "unknown-service")

	status, header, body := get(t, cluster.Nodes[1].EntryAddr, "storefront", "/a//b/../c?x=1")
	assert.Equal(t, status, http.StatusOK, body)
	assert.Assert(t, strings.Contains(body, "GET /a//b/../c "), "the path was changed: %s", body)
	for name := range header {
		assert.Assert(t, !strings.HasPrefix(name, "Acacialock-"), "internal header %s reached the caller", name)
	}
}

// Guards against a non-idempotent call that runs twice, or that runs although it was reported as not-run, when nodes are
// killed, frozen and restarted under load.
func TestKilledAndFrozenNodesRunNoOrderTwice(t *testing.T) {
	cluster := newCluster(t, storefrontConfigs(4)...)
	for _, node := range cluster.Nodes {
		waitUntilServed(t, node.EntryAddr, "storefront")
	}
	load := startLoad(loadWorkers, false, "kill", entryAddrs(cluster.Nodes[0], cluster.Nodes[1]))
	time.Sleep(time.Second)
	cluster.Nodes[2].Daemon.Kill()
	time.Sleep(time.Second)
	assert.NilError(t, cluster.Nodes[3].Daemon.Signal(syscall.SIGSTOP))
	time.Sleep(4 * time.Second)
	assert.NilError(t, cluster.Nodes[3].Daemon.Signal(syscall.SIGCONT))
	assert.NilError(t, cluster.Nodes[2].StartDaemon())
	time.Sleep(2 * time.Second)
	report := stopAndVerify(t, cluster, load)
	assert.Assert(t, report.Answered > report.Orders/2, "most orders should be answered by the running nodes")
}

// Guards against a drain that aborts requests in flight or admits new ones: three of four nodes restart under load.
func TestDrainUnderLoadCompletesAllOrders(t *testing.T) {
	cluster := newCluster(t, storefrontConfigs(4)...)
	for _, node := range cluster.Nodes {
		waitUntilServed(t, node.EntryAddr, "storefront")
	}
	load := startLoad(loadWorkers, false, "drain", entryAddrs(cluster.Nodes[0]))
	for _, node := range cluster.Nodes[1:] {
		time.Sleep(500 * time.Millisecond)
		assert.NilError(t, node.Daemon.Terminate(drainLimit), node.Daemon.Output())
		assert.NilError(t, node.StartDaemon())
		assert.NilError(t, testcluster.WaitFor(readyLimit, "the restarted node", node.Ready))
		waitUntilServed(t, node.EntryAddr, "storefront")
	}
	orders := load.Stop()
	report := verifyOrders(t, countRuns(t, cluster), orders)
	for _, order := range orders {
		assert.Check(t, order.Answered, "order %s was not answered: %s", order.ID, order.LastResult)
	}
	assert.Equal(t, report.Answered, report.Orders)
}

// Guards against nodes that cannot serve without the store: during a store outage one node is killed and another is killed
// and restarted, and the restarted node must serve the newest list.
func TestStoreOutageWithRestart(t *testing.T) {
	cluster := newCluster(t, storefrontConfigs(4)...)
	for _, node := range cluster.Nodes {
		waitUntilServed(t, node.EntryAddr, "storefront")
	}
	out, code := cluster.Apply(strings.Replace(storefrontList, "3s", "4s", 1))
	assert.Equal(t, code, 0, out)
	setFaults(t, cluster, `{"down": true}`)
	defer setFaults(t, cluster, noFaults)
	load := startLoad(loadWorkers, false, "outage", entryAddrs(cluster.Nodes[0]))
	cluster.Nodes[1].Daemon.Kill()
	cluster.Nodes[3].Daemon.Kill()
	assert.NilError(t, cluster.Nodes[3].StartDaemon())
	assert.NilError(t, testcluster.WaitFor(readyLimit, "the restarted node", cluster.Nodes[3].Ready))
	waitUntilServed(t, cluster.Nodes[3].EntryAddr, "storefront")
	stopAndVerify(t, cluster, load)
	assert.Equal(t, cluster.Nodes[0].Status().Control.ListVersion, uint64(2))
	assert.Equal(t, cluster.Nodes[3].Status().Control.ListVersion, uint64(2))
}

// Guards against a keyed order that runs twice when its caller retries it through any entry while nodes are killed, frozen
// and drained.
func TestKeyedOrdersUnderFailures(t *testing.T) {
	cluster := newCluster(t, storefrontConfigs(5)...)
	for _, node := range cluster.Nodes {
		waitUntilKeyed(t, node.EntryAddr)
	}
	load := startLoad(loadWorkers, true, "keyed", entryAddrs(cluster.Nodes[0], cluster.Nodes[1]))
	time.Sleep(time.Second)
	cluster.Nodes[4].Daemon.Kill()
	time.Sleep(2 * time.Second)
	assert.NilError(t, cluster.Nodes[3].Daemon.Signal(syscall.SIGSTOP))
	time.Sleep(3 * time.Second)
	assert.NilError(t, cluster.Nodes[3].Daemon.Signal(syscall.SIGCONT))
	assert.NilError(t, cluster.Nodes[2].Daemon.Terminate(drainLimit), cluster.Nodes[2].Daemon.Output())
	assert.NilError(t, cluster.Nodes[4].StartDaemon())
	time.Sleep(10 * time.Second)
	report := stopAndVerify(t, cluster, load)
	assert.Assert(t, report.Answered > 0)
}

// Guards against a request that crashes every target that its retries reach, even if nodes restart between retries: a
// restarted node must learn the suspects before it serves.
func TestCrashingRequestCrashesAtMostTwoTargets(t *testing.T) {
	cluster := newCluster(t, storefrontConfigs(4)...)
	for _, node := range cluster.Nodes {
		waitUntilServed(t, node.EntryAddr, "storefront")
	}
	sendCrashingRequests(t, cluster, 12)
	exited := countExitedTargets(cluster)
	assert.Assert(t, exited >= 1, "the request must crash at least one target for this test to be meaningful")
	assert.Assert(t, exited <= 2, "%d targets crashed", exited)
	for _, node := range cluster.Nodes {
		if node.Target.Exited() {
			continue
		}
		node.Daemon.Kill()
		assert.NilError(t, node.StartDaemon())
		assert.NilError(t, testcluster.WaitFor(readyLimit, "the restarted node", node.Ready))
	}
	sendCrashingRequests(t, cluster, 12)
	assert.Assert(t, countExitedTargets(cluster) <= 2, "%d targets crashed after nodes were restarted", countExitedTargets(cluster))
}

func sendCrashingRequests(t *testing.T, cluster *testcluster.Cluster, times int) {
	t.Helper()
	client := &http.Client{Timeout: testload.CallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range times {
		entry := cluster.Nodes[n%len(cluster.Nodes)].EntryAddr
		request, err := http.NewRequest(http.MethodGet, "http://"+entry+"/crash", nil)
		assert.NilError(t, err)
		request.Host = "storefront"
		request.Header.Set("X-Crash", "1")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
	}
}

func countExitedTargets(cluster *testcluster.Cluster) int {
	exited := 0
	for _, node := range cluster.Nodes {
		if node.Target.Exited() {
			exited++
		}
	}
	return exited
}

// Guards against a lost update when operators apply different lists concurrently: exactly one must succeed, and the others
// must see a conflict.
func TestConcurrentApplyAcceptsOneChange(t *testing.T) {
	cluster := newCluster(t, storefrontConfigs(2)...)
	setFaults(t, cluster, `{"lose_every": 3, "writes_per_second": 400, "reads_per_second": 2000}`)
	defer setFaults(t, cluster, noFaults)
	const operators = 4
	codes := make([]int, operators)
	outputs := make([]string, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			text := strings.Replace(storefrontList, "3s", fmt.Sprintf("%ds", i+5), 1)
			outputs[i], codes[i] = cluster.Apply(text, "--expect", "1")
		})
	}
	wait.Wait()
	accepted := 0
	for i, code := range codes {
		switch code {
		case 0:
			accepted++
		case 3:
		default:
			t.Errorf("operator %d: exit code %d: %s", i, code, outputs[i])
		}
	}
	assert.Equal(t, accepted, 1, "exactly one change to version 1 must be accepted")
	out, code := cluster.RunCommand("history")
	assert.Equal(t, code, 0, out)
	t.Logf("history:\n%s", out)
}
