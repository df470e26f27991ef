// Command overhead measures the latency that acacialock adds. It sends the same calls through an entry node and directly
// to a target, interleaved in one run, at a fixed arrival rate.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alexflint/go-arg"

	"github.com/acacialock/acacialock/internal/testcluster"
	"github.com/acacialock/acacialock/internal/testload"
)

type arguments struct {
	Rate        int           `arg:"--rate" default:"400" help:"calls per second on each path"`
	Duration    time.Duration `arg:"--duration" default:"10s" help:"of each round"`
	Rounds      int           `arg:"--rounds" default:"3"`
	Targets     int           `arg:"--targets" default:"5" help:"targets, each with a node"`
	ServiceTime time.Duration `arg:"--service-time" default:"2ms"`
	Seed        uint64        `arg:"--seed" default:"1"`
}

const (
	maxLatencyUS = 10_000_000
	serviceList  = "[services.storefront]\nhome_region = \"sanjose\"\n"
)

// path is one of the two compared ways to reach a target, with the calls measured on it.
type path struct {
	name      string
	addr      func(*rand.Rand) string
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	failed    int
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	dir, err := os.MkdirTemp("", "acacialock-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	cluster, err := startCluster(dir, args)
	if cluster != nil {
		defer cluster.Stop(false)
	}
	if err != nil {
		return err
	}
	fmt.Printf("seed %d, %d targets, %d calls/s on each path, service time %v, %d rounds of %v\n",
		args.Seed, args.Targets, args.Rate, args.ServiceTime, args.Rounds, args.Duration)
	fmt.Println("round  added p50     added p99     added p99.9   (direct p50/p99/p99.9)  failed direct/entry")
	for round := range args.Rounds {
		direct := &path{name: "direct", addr: randomNode(cluster, func(n *testcluster.Node) string { return n.TargetAddr })}
		entry := &path{name: "entry", addr: randomNode(cluster, func(n *testcluster.Node) string { return n.EntryAddr })}
		measure(args, uint64(round), direct, entry)
		printRound(round, direct, entry)
	}
	return nil
}

func startCluster(dir string, args arguments) (*testcluster.Cluster, error) {
	cluster, err := testcluster.Start(testcluster.Config{Dir: dir})
	if err != nil {
		return cluster, err
	}
	for i := range args.Targets {
		zone := []string{"sj-a", "sj-b"}[i%2]
		if _, err := cluster.Add(testcluster.NodeConfig{Service: "storefront", Region: "sanjose", Zone: zone, ServiceTime: args.ServiceTime}); err != nil {
			return cluster, err
		}
	}
	if out, code := cluster.Apply(serviceList); code != 0 {
		return cluster, fmt.Errorf("apply ended with exit code %d: %s", code, out)
	}
	return cluster, cluster.WaitReady(time.Minute)
}

func randomNode(cluster *testcluster.Cluster, addr func(*testcluster.Node) string) func(*rand.Rand) string {
	return func(random *rand.Rand) string { return addr(cluster.Nodes[random.IntN(len(cluster.Nodes))]) }
}

// measure sends calls at a fixed rate, alternately on both paths. Latency is measured from the planned start of a call.
func measure(args arguments, round uint64, paths ...*path) {
	random := rand.New(rand.NewPCG(args.Seed, round))
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer client.CloseIdleConnections()
	for _, p := range paths {
		p.latencies = hdrhistogram.New(1, maxLatencyUS, 3)
	}
	rate := args.Rate * len(paths)
	warmupCalls := int(args.Duration.Seconds()*float64(rate)) / 10 // not recorded: connections are opened during these calls
	var mu sync.Mutex                                              // guards random
	testload.OpenLoop(rate, args.Duration, func(n int, planned time.Time) {
		p := paths[n%len(paths)]
		mu.Lock()
		addr := p.addr(random)
		mu.Unlock()
		p.call(client, addr, planned, n >= warmupCalls)
	})
}

func (p *path) call(client *http.Client, addr string, planned time.Time, record bool) {
	request, err := http.NewRequest(http.MethodGet, "http://"+addr+"/bales", nil)
	if err != nil {
		panic(err)
	}
	request.Host = "storefront"
	response, err := client.Do(request)
	ok := err == nil
	if ok {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		ok = err == nil && response.StatusCode == http.StatusOK
	}
	latency := time.Since(planned)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.failed++
		return
	}
	if record {
		_ = p.latencies.RecordValue(min(latency.Microseconds(), maxLatencyUS)) // in range
	}
}

var quantiles = []float64{50, 99, 99.9}

func printRound(round int, direct, entry *path) {
	sort.Float64s(quantiles)
	line := fmt.Sprintf("%5d", round+1)
	directText := ""
	for _, q := range quantiles {
		directUS, entryUS := direct.latencies.ValueAtQuantile(q), entry.latencies.ValueAtQuantile(q)
		line += fmt.Sprintf("  %+8.2f ms", float64(entryUS-directUS)/1000)
		directText += fmt.Sprintf(" %.2f", float64(directUS)/1000)
	}
	fmt.Printf("%s   (%s ms)  %d/%d\n", line, directText, direct.failed, entry.failed)
}
