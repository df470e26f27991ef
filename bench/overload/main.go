// Command overload measures goodput, the calls answered in time per second, at several loads relative to the capacity of
// the targets, with nodes and targets as separate processes. Retries and queues must not reduce goodput when the load
// exceeds the capacity.
package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/acacialock/acacialock/internal/testcluster"
	"github.com/acacialock/acacialock/internal/testload"
	"github.com/acacialock/acacialock/internal/wire"
)

type arguments struct {
	Targets     int           `arg:"--targets" default:"3"`
	ServiceTime time.Duration `arg:"--service-time" default:"25ms"`
	Duration    time.Duration `arg:"--duration" default:"8s" help:"of each share"`
	Timeout     time.Duration `arg:"--timeout" default:"300ms" help:"in which an answer is of use"`
	Shares      []int         `arg:"--share,separate" help:"percent of the capacity (default 70, 90, 100, 150, 200)"`
}

const (
	slots       = 9
	serviceList = "[services.storefront]\nhome_region = \"sanjose\"\n"
)

func main() {
	var args arguments
	arg.MustParse(&args)
	if len(args.Shares) == 0 {
		args.Shares = []int{70, 90, 100, 150, 200}
	}
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
	cluster, err := testcluster.Start(testcluster.Config{Dir: dir})
	if cluster != nil {
		defer cluster.Stop(false)
	}
	if err != nil {
		return err
	}
	for range args.Targets {
		if _, err := cluster.Add(testcluster.NodeConfig{Service: "storefront", Region: "sanjose", Zone: "sj-a", ServiceTime: args.ServiceTime}); err != nil {
			return err
		}
	}
	if out, code := cluster.Apply(serviceList); code != 0 {
		return fmt.Errorf("apply ended with exit code %d: %s", code, out)
	}
	if err := cluster.WaitReady(time.Minute); err != nil {
		return err
	}
	capacity := float64(args.Targets*slots) / args.ServiceTime.Seconds()
	fmt.Printf("%d targets of %d slots, service time %v: capacity %.0f calls/s; answers within %v count\n",
		args.Targets, slots, args.ServiceTime, capacity, args.Timeout)
	fmt.Println("share  asked/s  goodput/s  of the peak  refused or failed, by reason")
	peak := 0.0
	for _, share := range args.Shares {
		rate := int(capacity * float64(share) / 100)
		good, otherOutcomes := measure(cluster, args, rate)
		goodput := float64(good) / args.Duration.Seconds()
		peak = max(peak, goodput)
		fmt.Printf("%4d%%  %7d  %9.0f  %10.0f%%  %v\n", share, rate, goodput, goodput/peak*100, otherOutcomes)
	}
	return nil
}

// measure sends calls through the entry nodes in turn. It returns the number of calls answered in time, and the number of
// all others by outcome.
func measure(cluster *testcluster.Cluster, args arguments, rate int) (good int, otherOutcomes map[string]int) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	defer client.CloseIdleConnections()
	otherOutcomes = map[string]int{}
	var mu sync.Mutex
	testload.OpenLoop(rate, args.Duration, func(n int, planned time.Time) {
		outcome := sendCall(client, cluster.Nodes[n%len(cluster.Nodes)].EntryAddr, args.Timeout)
		if outcome == answered && time.Since(planned) > args.Timeout {
			outcome = "late"
		}
		mu.Lock()
		defer mu.Unlock()
		if outcome == answered {
			good++
		} else {
			otherOutcomes[outcome]++
		}
	})
	return good, otherOutcomes
}

const answered = "answered"

// sendCall sends one call and returns its outcome: answered, the reason of a refusal, the HTTP status of another error
// response, "no-answer" if there was no response, or "cut" if its body ended early.
func sendCall(client *http.Client, entry string, timeout time.Duration) string {
	request, err := http.NewRequest(http.MethodGet, "http://"+entry+"/bales", nil)
	if err != nil {
		panic(err) // the address comes from a listener
	}
	request.Host = "storefront"
	request.Header.Set(wire.TimeoutMS, strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return "no-answer"
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return "cut"
	}
	if reason := response.Header.Get(wire.Reason); reason != "" {
		return reason
	}
	if response.StatusCode != http.StatusOK {
		return response.Status
	}
	return answered
}
