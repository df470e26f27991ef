package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/acacialock/acacialock/internal/testcluster"
	"github.com/acacialock/acacialock/internal/testload"
)

// scenario is a named injection of one or two faults. The fault function returns an additional observation to print, or
// an empty string.
type scenario struct {
	name  string
	fault func(*testcluster.Cluster, arguments) (string, error)
}

var scenarios = []scenario{
	{"none", func(*testcluster.Cluster, arguments) (string, error) { return "", nil }},
	{"straggler", slowTarget},
	{"target killed", killTarget},
	{"node killed", killNode},
	{"zone killed", killZone},
	{"node frozen 5 s", freezeNode},
	{"drain", drainNode},
	{"crashing request", sendCrashingRequests},
	{"store down", takeStoreDown},
	{"store slow", slowStore},
	{"store answers lost", loseStoreAnswers},
	{"store down, node killed", concurrently(takeStoreDown, killNode)},
	{"straggler, drain", concurrently(slowTarget, drainNode)},
	{"frozen, target killed", concurrently(freezeNode, killTarget)},
}

// concurrently injects two faults at the same time and joins their observations.
func concurrently(first, second func(*testcluster.Cluster, arguments) (string, error)) func(*testcluster.Cluster, arguments) (string, error) {
	return func(cluster *testcluster.Cluster, args arguments) (string, error) {
		type faultResult struct {
			observation string
			err         error
		}
		done := make(chan faultResult, 1)
		go func() {
			observation, err := first(cluster, args)
			done <- faultResult{observation, err}
		}()
		observation, err := second(cluster, args)
		other := <-done
		if err == nil {
			err = other.err
		}
		return strings.Trim(other.observation+"; "+observation, "; "), err
	}
}

// slowTarget makes one target take 500 ms for each request.
func slowTarget(cluster *testcluster.Cluster, _ arguments) (string, error) {
	response, err := http.Get("http://" + cluster.Nodes[3].TargetAddr + "/control/delay?d=500ms")
	if err != nil {
		return "", err
	}
	return "", response.Body.Close()
}

func killTarget(cluster *testcluster.Cluster, _ arguments) (string, error) {
	cluster.Nodes[2].Target.Kill()
	return "", nil
}

func killNode(cluster *testcluster.Cluster, _ arguments) (string, error) {
	cluster.Nodes[4].Daemon.Kill()
	return "", nil
}

// killZone kills all processes of zone sj-b except the daemon through which half of the orders enter.
func killZone(cluster *testcluster.Cluster, _ arguments) (string, error) {
	cluster.Nodes[3].Daemon.Kill()
	cluster.Nodes[3].Target.Kill()
	cluster.Nodes[1].Target.Kill()
	return "", nil
}

// freezeNode suspends the daemon of one node for 5 s with SIGSTOP and SIGCONT.
func freezeNode(cluster *testcluster.Cluster, _ arguments) (string, error) {
	if err := cluster.Nodes[3].Daemon.Signal(syscall.SIGSTOP); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	return "", cluster.Nodes[3].Daemon.Signal(syscall.SIGCONT)
}

// drainNode terminates a node as a nightly scale-in does, and counts the requests that its target still receives more
// than 2 s after the start of the drain.
func drainNode(cluster *testcluster.Cluster, _ arguments) (string, error) {
	node := cluster.Nodes[4]
	countAt2s := make(chan int, 1)
	time.AfterFunc(2*time.Second, func() { countAt2s <- countLines(node.RunLog) })
	started := time.Now()
	if err := node.Daemon.Terminate(drainTimeout); err != nil {
		return "", err
	}
	took := time.Since(started)
	runsAt2s := <-countAt2s
	time.Sleep(2 * time.Second)
	return fmt.Sprintf("drained in %v, new work after 2 s: %d", took.Round(10*time.Millisecond), countLines(node.RunLog)-runsAt2s), nil
}

// countLines returns the number of lines of the file, or 0 if it can't be read.
func countLines(file string) int {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	return bytes.Count(text, []byte("\n"))
}

// sendCrashingRequests sends a request that crashes every target that runs it 20 times, alternately through both entry
// nodes, and counts the crashed targets.
func sendCrashingRequests(cluster *testcluster.Cluster, _ arguments) (string, error) {
	client := &http.Client{Timeout: testload.CallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range 20 {
		request, err := http.NewRequest(http.MethodGet, "http://"+cluster.Nodes[n%2].EntryAddr+"/crash", nil)
		if err != nil {
			return "", err
		}
		request.Host = "storefront"
		request.Header.Set("X-Crash", "1")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
		time.Sleep(50 * time.Millisecond)
	}
	crashed := 0
	for _, node := range cluster.Nodes {
		if node.Target.Exited() {
			crashed++
		}
	}
	return fmt.Sprintf("targets taken down: %d", crashed), nil
}

// injectStoreFaults sets faults at the platform stand-in, waits for the length of an outage and resets them.
func injectStoreFaults(cluster *testcluster.Cluster, args arguments, faults string) (string, error) {
	if err := setStoreFaults(cluster, faults); err != nil {
		return "", err
	}
	time.Sleep(args.Outage)
	return "", setStoreFaults(cluster, `{"writes_per_second": 400, "reads_per_second": 2000}`)
}

func takeStoreDown(cluster *testcluster.Cluster, args arguments) (string, error) {
	return injectStoreFaults(cluster, args, `{"down": true}`)
}

func slowStore(cluster *testcluster.Cluster, args arguments) (string, error) {
	return injectStoreFaults(cluster, args, `{"delay_ms": 3000, "writes_per_second": 400, "reads_per_second": 2000}`)
}

func loseStoreAnswers(cluster *testcluster.Cluster, args arguments) (string, error) {
	return injectStoreFaults(cluster, args, `{"lose_every": 2, "writes_per_second": 400, "reads_per_second": 2000}`)
}

func setStoreFaults(cluster *testcluster.Cluster, faults string) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+cluster.PlatformAddr+"/admin/faults", strings.NewReader(faults))
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
