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

// Guards against a whole path that works in parts only: list accepted by the command, nodes that find each other,
// calls answered through every entry, typed refusals.
func TestCallsThroughWholePath(t *testing.T) {
	places := storefronts(2)
	places[0].EntryServices = []string{"inventory"}
	places = append(places, testcluster.Place{Service: "inventory", Region: "sanjose", Zone: "sj-a", ServiceTime: time.Millisecond})
	cluster := newCluster(t, places...)
	for _, node := range cluster.Nodes[:2] {
		untilServed(t, node.EntryAddr, "storefront")
	}
	untilServed(t, cluster.Nodes[0].EntryAddr, "inventory")

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

// Guards against a non-idempotent call that runs twice, or runs after not-run, when nodes are killed, frozen and
// started again under load.
func TestKilledAndFrozenNodesNeverRunAnOrderTwice(t *testing.T) {
	cluster := newCluster(t, storefronts(4)...)
	for _, node := range cluster.Nodes {
		untilServed(t, node.EntryAddr, "storefront")
	}
	traffic := startLoad(loadWorkers, false, "kill", entriesOf(cluster.Nodes[0], cluster.Nodes[1]))
	time.Sleep(time.Second)
	cluster.Nodes[2].Daemon.Kill()
	time.Sleep(time.Second)
	assert.NilError(t, cluster.Nodes[3].Daemon.Signal(syscall.SIGSTOP))
	time.Sleep(4 * time.Second)
	assert.NilError(t, cluster.Nodes[3].Daemon.Signal(syscall.SIGCONT))
	assert.NilError(t, cluster.Nodes[2].StartDaemon())
	time.Sleep(2 * time.Second)
	total := stopAndVerify(t, cluster, traffic)
	assert.Assert(t, total.Answered > total.Orders/2, "most orders should be answered by the nodes that live")
}

// Guards against a drain that cuts a request or lets new work in: three of four nodes are replaced under load.
func TestDrainUnderLoadCutsNothing(t *testing.T) {
	cluster := newCluster(t, storefronts(4)...)
	for _, node := range cluster.Nodes {
		untilServed(t, node.EntryAddr, "storefront")
	}
	traffic := startLoad(loadWorkers, false, "drain", entriesOf(cluster.Nodes[0]))
	for _, node := range cluster.Nodes[1:] {
		time.Sleep(500 * time.Millisecond)
		assert.NilError(t, node.Daemon.Terminate(drainLimit), node.Daemon.Output())
		assert.NilError(t, node.StartDaemon())
		assert.NilError(t, testcluster.WaitFor(readyLimit, "the restarted node", node.Ready))
		untilServed(t, node.EntryAddr, "storefront")
	}
	orders := traffic.Stop()
	total := verify(t, runs(t, cluster), orders)
	for _, one := range orders {
		assert.Check(t, one.Answered, "order %s was cut: %s", one.ID, one.Last)
	}
	assert.Equal(t, total.Answered, total.Orders)
}

// Guards against nodes that need the store to serve: it is down while a node restarts and another dies, and the
// restarted one must come back with the newest list.
func TestStoreOutageWithRestart(t *testing.T) {
	cluster := newCluster(t, storefronts(4)...)
	for _, node := range cluster.Nodes {
		untilServed(t, node.EntryAddr, "storefront")
	}
	out, code := cluster.Apply(strings.Replace(storefrontList, "3s", "4s", 1))
	assert.Equal(t, code, 0, out)
	faults(t, cluster, `{"down": true}`)
	defer faults(t, cluster, noFaults)
	traffic := startLoad(loadWorkers, false, "outage", entriesOf(cluster.Nodes[0]))
	cluster.Nodes[1].Daemon.Kill()
	cluster.Nodes[3].Daemon.Kill()
	assert.NilError(t, cluster.Nodes[3].StartDaemon())
	assert.NilError(t, testcluster.WaitFor(readyLimit, "the restarted node", cluster.Nodes[3].Ready))
	untilServed(t, cluster.Nodes[3].EntryAddr, "storefront")
	stopAndVerify(t, cluster, traffic)
	assert.Equal(t, cluster.Nodes[0].Status().Control.ListVersion, uint64(2))
	assert.Equal(t, cluster.Nodes[3].Status().Control.ListVersion, uint64(2))
}

// Guards against a keyed order that runs twice when its caller sends it again through any entry, while nodes are
// killed, frozen and replaced.
func TestKeyedOrdersUnderFailures(t *testing.T) {
	cluster := newCluster(t, storefronts(5)...)
	for _, node := range cluster.Nodes {
		untilKeyed(t, node.EntryAddr)
	}
	traffic := startLoad(loadWorkers, true, "keyed", entriesOf(cluster.Nodes[0], cluster.Nodes[1]))
	time.Sleep(time.Second)
	cluster.Nodes[4].Daemon.Kill()
	time.Sleep(2 * time.Second)
	assert.NilError(t, cluster.Nodes[3].Daemon.Signal(syscall.SIGSTOP))
	time.Sleep(3 * time.Second)
	assert.NilError(t, cluster.Nodes[3].Daemon.Signal(syscall.SIGCONT))
	assert.NilError(t, cluster.Nodes[2].Daemon.Terminate(drainLimit), cluster.Nodes[2].Daemon.Output())
	assert.NilError(t, cluster.Nodes[4].StartDaemon())
	time.Sleep(10 * time.Second)
	total := stopAndVerify(t, cluster, traffic)
	assert.Assert(t, total.Answered > 0)
}

// Guards against a request that crashes every target that its caller's resends reach, also when a node is replaced
// between them: the new node must know the suspects before it serves.
func TestCrashingRequestTakesDownAtMostTwoTargets(t *testing.T) {
	cluster := newCluster(t, storefronts(4)...)
	for _, node := range cluster.Nodes {
		untilServed(t, node.EntryAddr, "storefront")
	}
	sendCrashing(t, cluster, 12)
	down := targetsDown(cluster)
	assert.Assert(t, down >= 1, "the request must crash a target for this test to show anything")
	assert.Assert(t, down <= 2, "%d targets were taken down", down)
	for _, node := range cluster.Nodes {
		if node.Target.Ended() {
			continue
		}
		node.Daemon.Kill()
		assert.NilError(t, node.StartDaemon())
		assert.NilError(t, testcluster.WaitFor(readyLimit, "the replaced node", node.Ready))
	}
	sendCrashing(t, cluster, 12)
	assert.Assert(t, targetsDown(cluster) <= 2, "%d targets were taken down after nodes were replaced", targetsDown(cluster))
}

func sendCrashing(t *testing.T, cluster *testcluster.Cluster, times int) {
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

func targetsDown(cluster *testcluster.Cluster) int {
	down := 0
	for _, node := range cluster.Nodes {
		if node.Target.Ended() {
			down++
		}
	}
	return down
}

// Guards against a lost change: operators apply different lists at once, and each must win once or see a conflict.
func TestOperatorsApplyAtOnce(t *testing.T) {
	cluster := newCluster(t, storefronts(2)...)
	faults(t, cluster, `{"lose_every": 3, "writes_per_second": 400, "reads_per_second": 2000}`)
	defer faults(t, cluster, noFaults)
	const operators = 4
	codes := make([]int, operators)
	outs := make([]string, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() {
			text := strings.Replace(storefrontList, "3s", fmt.Sprintf("%ds", i+5), 1)
			outs[i], codes[i] = cluster.Apply(text, "--expect", "1")
		})
	}
	wait.Wait()
	won := 0
	for i, code := range codes {
		switch code {
		case 0:
			won++
		case 3:
		default:
			t.Errorf("operator %d: exit code %d: %s", i, code, outs[i])
		}
	}
	assert.Equal(t, won, 1, "exactly one change may follow version 1")
	out, code := cluster.Command("history")
	assert.Equal(t, code, 0, out)
	t.Logf("history:\n%s", out)
}
