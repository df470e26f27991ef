// Command failures sends orders to a cluster of separate processes while one or two faults are injected. It reports what
// callers observed: orders without an answer, orders that ran twice, orders reported as not-run that did run, and the
// time to recovery.
package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/acacialock/acacialock/internal/testcluster"
	"github.com/acacialock/acacialock/internal/testload"
)

type arguments struct {
	Only    string        `arg:"--only" help:"run the scenarios whose name contains this"`
	After   time.Duration `arg:"--after" default:"15s" help:"load after the fault"`
	Outage  time.Duration `arg:"--outage" default:"15s" help:"length of the store outages"`
	Workers int           `arg:"--workers" default:"4" help:"for each of keyed and unkeyed orders"`
	Seed    uint64        `arg:"--seed" default:"7"`
}

const (
	loadBeforeFault = 3 * time.Second // time under load before the fault is injected
	drainTimeout    = time.Minute
	serviceList     = "[services.storefront]\nhome_region = \"sanjose\"\ntimeout = \"3s\"\n"
)

func main() {
	var args arguments
	arg.MustParse(&args)
	fmt.Printf("seed %d, 5 targets in 2 zones, %d workers each for unkeyed and keyed orders, fault after %v, then %v\n",
		args.Seed, args.Workers, loadBeforeFault, args.After)
	fmt.Println("scenario                 kind     orders  no answer  not-run  unknown  ran twice  not-run but ran  recovered after")
	failed := false
	for _, s := range scenarios {
		if !strings.Contains(s.name, args.Only) {
			continue
		}
		if err := s.run(args); err != nil {
			fmt.Printf("%s: %v\n", s.name, err)
			failed = true
		}
	}
	if failed {
		os.Exit(1)
	}
}

// run starts a cluster with a load of unkeyed and one of keyed orders, injects the fault and prints a result line for
// each of the two loads.
func (s scenario) run(args arguments) error {
	dir, err := os.MkdirTemp("", "acacialock-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	cluster, err := startCluster(dir)
	if cluster != nil {
		defer cluster.Stop(false)
	}
	if err != nil {
		return err
	}
	loads := map[string]*testload.Load{}
	for kind, keyed := range map[string]bool{"unkeyed": false, "keyed": true} {
		loads[kind] = testload.Start(testload.Config{
			Workers: args.Workers, Keyed: keyed, Prefix: kind, Seed: args.Seed, Entries: entryAddrs(cluster), MaxPause: 20 * time.Millisecond,
		})
	}
	time.Sleep(loadBeforeFault)
	fault := time.Now()
	observation, faultErr := s.fault(cluster, args)
	time.Sleep(time.Until(fault.Add(args.After)))
	for _, kind := range []string{"unkeyed", "keyed"} {
		if err := s.printResult(cluster, kind, loads[kind].Stop(), fault); err != nil {
			return err
		}
	}
	if observation != "" {
		fmt.Printf("  %s\n", observation)
	}
	return faultErr
}

func startCluster(dir string) (*testcluster.Cluster, error) {
	cluster, err := testcluster.Start(testcluster.Config{Dir: dir})
	if err != nil {
		return cluster, err
	}
	for i := range 5 {
		zone := []string{"sj-a", "sj-b"}[i%2]
		config := testcluster.NodeConfig{Service: "storefront", Region: "sanjose", Zone: zone, ServiceTime: 5 * time.Millisecond}
		if _, err := cluster.Add(config); err != nil {
			return cluster, err
		}
	}
	if out, code := cluster.Apply(serviceList); code != 0 {
		return cluster, fmt.Errorf("apply ended with exit code %d: %s", code, out)
	}
	if err := cluster.WaitReady(time.Minute); err != nil {
		return cluster, err
	}
	return cluster, testcluster.WaitFor(time.Minute, "keyed orders", func() bool {
		return testload.PlaceOrder(cluster.Nodes[0].EntryAddr, "storefront", fmt.Sprint("warm-", time.Now().UnixNano()), true).Answered
	})
}

// entryAddrs returns a function that lists the entry addresses of the first two nodes, which no scenario kills.
func entryAddrs(cluster *testcluster.Cluster) func() []string {
	addrs := []string{cluster.Nodes[0].EntryAddr, cluster.Nodes[1].EntryAddr}
	return func() []string { return addrs }
}

// printResult verifies the orders of one load against the run logs of all nodes and prints the result line. It returns
// an error if an order violates a guarantee.
func (s scenario) printResult(cluster *testcluster.Cluster, kind string, orders []*testload.Order, fault time.Time) error {
	var logs []string
	for _, node := range cluster.Nodes {
		logs = append(logs, node.RunLog)
	}
	counts, err := testload.CountRuns(logs...)
	if err != nil {
		return err
	}
	r := testload.Verify(counts, orders)
	fmt.Printf("%-24s %-8s %6d  %9d  %7d  %7d  %9d  %15d  %v\n", s.name, kind, r.Orders, r.NotRun+r.Unknown, r.NotRun, r.Unknown,
		r.RanTwice, r.NotRunButRan, testload.RecoveryTime(fault, orders).Round(10*time.Millisecond))
	if reasons := unansweredOutcomes(orders); reasons != "" {
		fmt.Printf("  last tries without an answer: %s\n", reasons)
	}
	if len(r.Violations) > 0 {
		return fmt.Errorf("%d guarantees violated, the first: %s", len(r.Violations), r.Violations[0])
	}
	return nil
}

// unansweredOutcomes counts the orders without an answer by the result of their last attempt.
func unansweredOutcomes(orders []*testload.Order) string {
	counts := map[string]int{}
	for _, order := range orders {
		if !order.Answered {
			counts[order.LastResult]++
		}
	}
	var parts []string
	for _, last := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d x %q", counts[last], last))
	}
	return strings.Join(parts, ", ")
}
