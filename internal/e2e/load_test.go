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

// runs counts the runs of each order over all targets.
func runs(t *testing.T, cluster *testcluster.Cluster) map[string]int {
	t.Helper()
	var logs []string
	for _, node := range cluster.Nodes {
		logs = append(logs, node.RunLog)
	}
	counts, err := testload.Runs(logs...)
	assert.NilError(t, err)
	return counts
}

// verify fails the test for every order that breaks a promise.
func verify(t *testing.T, counts map[string]int, orders []*testload.Order) testload.Report {
	t.Helper()
	report := testload.Verify(counts, orders)
	t.Log(report)
	for _, violation := range report.Violations {
		t.Error(violation)
	}
	return report
}

// stopAndVerify ends the load before it reads the run logs, which else lack the last orders.
func stopAndVerify(t *testing.T, cluster *testcluster.Cluster, traffic *testload.Load) testload.Report {
	t.Helper()
	orders := traffic.Stop()
	return verify(t, runs(t, cluster), orders)
}
