// Command load compares load-balancing policies with simulated targets behind loopback sockets. It generates load in an
// open loop: calls start at planned times, and latency is measured from the planned time.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"
)

var allPolicies = []string{"random", "round-robin", "least-in-flight", "two-choices", "pool", "queues", "perfect"}

type options struct {
	Load     int           `arg:"--load" default:"85" help:"percent of the nominal capacity"`
	Sizes    []int         `arg:"--size,separate" help:"workers of a service; all sizes run at once (default 5 and 7)"`
	Policies []string      `arg:"--policy,separate" help:"policies to compare (default all)"`
	Rounds   int           `arg:"--rounds" default:"5"`
	Slice    time.Duration `arg:"--slice" default:"5s" help:"time of one policy in one round"`
	Warmup   time.Duration `arg:"--warmup" default:"500ms" help:"start of a slice that is not counted"`
	Entries  int           `arg:"--entries" help:"entry nodes (default one for each worker)"`
	Regions  int           `arg:"--regions" default:"2" help:"1 or 2"`
	Service  time.Duration `arg:"--service" default:"25ms" help:"mean service time"`
	Queue    int           `arg:"--queue" default:"9" help:"requests that wait at a target before it refuses"`
	Hedge    int           `arg:"--hedge" default:"0" help:"hedges per 100 calls at most; sent after the 95% quantile"`
	Seed     uint64        `arg:"--seed" default:"1"`
	Cores    int           `arg:"--cores" default:"5" help:"cores used at most"`
	Out      string        `arg:"--out" default:"bench/results"`
}

func main() {
	options := &options{}
	arg.MustParse(options)
	if len(options.Sizes) == 0 {
		options.Sizes = []int{5, 7}
	}
	if len(options.Policies) == 0 {
		options.Policies = allPolicies
	}
	runtime.GOMAXPROCS(options.Cores)
	if err := comparePolicies(options); err != nil {
		klog.ErrorS(err, "benchmark failed")
		os.Exit(1)
	}
}

// comparePolicies runs every policy once per round, in a random order drawn anew for each round. It prints the results
// and writes them to files.
func comparePolicies(options *options) error {
	command := fmt.Sprintf("seed %d: go run ./bench/load %s", options.Seed, strings.Join(os.Args[1:], " "))
	fmt.Println(command)
	var results []*measurement
	for round := range options.Rounds {
		order := slices.Clone(options.Policies)
		random := rand.New(rand.NewPCG(options.Seed, uint64(round)))
		random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, policy := range order {
			measurements, err := runUndisturbedSlice(options, policy, round)
			if err != nil {
				return err
			}
			results = append(results, measurements...)
		}
	}
	summaries := summarize(results)
	writeTable(os.Stdout, summaries)
	directory, err := writeResultFiles(options, command, summaries)
	if err == nil {
		fmt.Println("files:", directory)
	}
	return err
}
