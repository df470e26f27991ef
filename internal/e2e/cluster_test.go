// Package e2e tests calls end to end under failures, with separate processes or several nodes in one process on loopback.
package e2e

import (
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/testcluster"
	"github.com/acacialock/acacialock/internal/testload"
)

const (
	readyLimit = 60 * time.Second
	drainLimit = 60 * time.Second
)

const noFaults = `{"writes_per_second": 400, "reads_per_second": 2000}`

const storefrontList = `[services.storefront]
home_region = "sanjose"
timeout = "3s"
depends_on = ["inventory"]

[services.inventory]
home_region = "sanjose"
timeout = "3s"
`

// newCluster starts the configured nodes, applies storefrontList and waits until all nodes are ready.
func newCluster(t *testing.T, configs ...testcluster.NodeConfig) *testcluster.Cluster {
	t.Helper()
	cluster, err := testcluster.Start(testcluster.Config{Dir: t.TempDir(), Race: raceEnabled, Output: nil})
	assert.NilError(t, err)
	t.Cleanup(func() {
		cluster.Stop(false)
		if t.Failed() {
			for _, node := range cluster.Nodes {
				t.Logf("output of %s:\n%s", node.Name, node.Daemon.Output())
			}
		}
	})
	for _, config := range configs {
		_, err := cluster.Add(config)
		assert.NilError(t, err)
	}
	out, code := cluster.Apply(storefrontList)
	assert.Equal(t, code, 0, out)
	assert.NilError(t, cluster.WaitReady(readyLimit))
	return cluster
}

// storefrontConfigs returns the configurations of n storefront nodes, alternating between two zones of the home region.
func storefrontConfigs(n int) []testcluster.NodeConfig {
	configs := make([]testcluster.NodeConfig, n)
	for i := range configs {
		zone := []string{"sj-a", "sj-b"}[i%2]
		configs[i] = testcluster.NodeConfig{Service: "storefront", Region: "sanjose", Zone: zone, ServiceTime: 5 * time.Millisecond}
	}
	return configs
}

// entryAddrs returns a function that returns the entry addresses of the nodes.
func entryAddrs(nodes ...*testcluster.Node) func() []string {
	var addrs []string
	for _, node := range nodes {
		addrs = append(addrs, node.EntryAddr)
	}
	return func() []string { return addrs }
}

// get sends a GET request on a new connection and returns the status, header and body.
func get(t *testing.T, entry, host, path string) (int, http.Header, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+entry+path, nil)
	assert.NilError(t, err)
	request.Host = host
	client := &http.Client{Timeout: testload.CallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Header, string(body)
}

// waitUntilServed waits until a request to the host through the entry succeeds.
func waitUntilServed(t *testing.T, entry, host string) {
	t.Helper()
	err := testcluster.WaitFor(readyLimit, "a response from "+host, func() bool {
		status, _, _ := get(t, entry, host, "/")
		return status == http.StatusOK
	})
	assert.NilError(t, err)
}

// waitUntilKeyed waits until the entry serves keyed calls, which requires an activated roster.
func waitUntilKeyed(t *testing.T, entry string) {
	t.Helper()
	err := testcluster.WaitFor(readyLimit, "a keyed call", func() bool {
		id := "warm-" + time.Now().Format("150405.000000")
		return testload.PlaceOrder(entry, "storefront", id, true).Answered
	})
	assert.NilError(t, err)
}

// setFaults sets the platform stand-in's faults from a JSON body; noFaults clears them.
func setFaults(t *testing.T, cluster *testcluster.Cluster, body string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+cluster.PlatformAddr+"/admin/faults", strings.NewReader(body))
	assert.NilError(t, err)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode/100, 2)
}

func TestMain(m *testing.M) { os.Exit(m.Run()) }
