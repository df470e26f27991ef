package e2e

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/testcluster"
	"github.com/acacialock/acacialock/internal/testload"
)

func startLoad(workers int, keyed bool, prefix string, entries func() []string) *testload.Load {
	return testload.Start(testload.Config{Workers: workers, Keyed: keyed, Prefix: prefix, Seed: 7, Entries: entries})
}

// countRuns returns the number of runs of each order across all targets.
func countRuns(t *testing.T, cluster *testcluster.Cluster) map[string]int {
	t.Helper()
	var logs []string
	for _, node := range cluster.Nodes {
		logs = append(logs, node.RunLog)
	}
	counts, err := testload.CountRuns(logs...)
	assert.NilError(t, err)
	return counts
}

// verifyOrders reports a test error for every order that violates a guarantee.
func verifyOrders(t *testing.T, counts map[string]int, orders []*testload.Order) testload.Report {
	t.Helper()
	report := testload.Verify(counts, orders)
	t.Log(report)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	return report
}

// stopAndVerify stops the load before it reads the run logs, so that they contain the last orders, and verifies all orders.
func stopAndVerify(t *testing.T, cluster *testcluster.Cluster, load *testload.Load) testload.Report {
	t.Helper()
	orders := load.Stop()
	return verifyOrders(t, countRuns(t, cluster), orders)
}
