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

// scenario is one or two faults. The fault may return a note on what else was seen.
type scenario struct {
	name  string
	fault func(*testcluster.Cluster, arguments) (string, error)
}

var scenarios = []scenario{
	{"none", func(*testcluster.Cluster, arguments) (string, error) { return "", nil }},
	{"straggler", straggler},
	{"target killed", targetKilled},
	{"node killed", nodeKilled},
	{"zone killed", zoneKilled},
	{"node frozen 5 s", frozen},
	{"drain", drain},
	{"crashing request", crashingRequest},
	{"store down", storeDown},
	{"store slow", storeSlow},
	{"store answers lost", answersLost},
	{"store down, node killed", both(storeDown, nodeKilled)},
	{"straggler, drain", both(straggler, drain)},
	{"frozen, target killed", both(frozen, targetKilled)},
}

// both starts two faults at once.
func both(first, second func(*testcluster.Cluster, arguments) (string, error)) func(*testcluster.Cluster, arguments) (string, error) {
	return func(cluster *testcluster.Cluster, args arguments) (string, error) {
		type ended struct {
			note string
			err  error
		}
		done := make(chan ended, 1)
		go func() {
			note, err := first(cluster, args)
			done <- ended{note, err}
		}()
		note, err := second(cluster, args)
		other := <-done
		if err == nil {
			err = other.err
		}
		return strings.Trim(other.note+"; "+note, "; "), err
	}
}

func straggler(cluster *testcluster.Cluster, _ arguments) (string, error) {
	response, err := http.Get("http://" + cluster.Nodes[3].TargetAddr + "/control/delay?d=500ms")
	if err != nil {
		return "", err
	}
	return "", response.Body.Close()
}

func targetKilled(cluster *testcluster.Cluster, _ arguments) (string, error) {
	cluster.Nodes[2].Target.Kill()
	return "", nil
}

func nodeKilled(cluster *testcluster.Cluster, _ arguments) (string, error) {
	cluster.Nodes[4].Daemon.Kill()
	return "", nil
}

// zoneKilled ends zone sj-b but for the node through which half of the orders enter.
func zoneKilled(cluster *testcluster.Cluster, _ arguments) (string, error) {
	cluster.Nodes[3].Daemon.Kill()
	cluster.Nodes[3].Target.Kill()
	cluster.Nodes[1].Target.Kill()
	return "", nil
}

func frozen(cluster *testcluster.Cluster, _ arguments) (string, error) {
	if err := cluster.Nodes[3].Daemon.Signal(syscall.SIGSTOP); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	return "", cluster.Nodes[3].Daemon.Signal(syscall.SIGCONT)
}

// drain returns a node for the night and counts the work that it got later than two seconds after.
func drain(cluster *testcluster.Cluster, _ arguments) (string, error) {
	node := cluster.Nodes[4]
	early := make(chan int, 1)
	time.AfterFunc(2*time.Second, func() { early <- lines(node.RunLog) })
	started := time.Now()
	if err := node.Daemon.Terminate(drainLimit); err != nil {
		return "", err
	}
	took := time.Since(started)
	at2s := <-early
	time.Sleep(2 * time.Second)
	return fmt.Sprintf("drained in %v, new work after 2 s: %d", took.Round(10*time.Millisecond), lines(node.RunLog)-at2s), nil
}

func lines(file string) int {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	return bytes.Count(text, []byte("\n"))
}

// crashingRequest sends a request that ends every target that runs it, again and again through both entries.
func crashingRequest(cluster *testcluster.Cluster, _ arguments) (string, error) {
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
	down := 0
	for _, node := range cluster.Nodes {
		if node.Target.Ended() {
			down++
		}
	}
	return fmt.Sprintf("targets taken down: %d", down), nil
}

// storeFaults sets the stand-in's faults for the length of an outage.
func storeFaults(cluster *testcluster.Cluster, args arguments, faults string) (string, error) {
	if err := setFaults(cluster, faults); err != nil {
		return "", err
	}
	time.Sleep(args.Outage)
	return "", setFaults(cluster, `{"writes_per_second": 400, "reads_per_second": 2000}`)
}

func storeDown(cluster *testcluster.Cluster, args arguments) (string, error) {
	return storeFaults(cluster, args, `{"down": true}`)
}

func storeSlow(cluster *testcluster.Cluster, args arguments) (string, error) {
	return storeFaults(cluster, args, `{"delay_ms": 3000, "writes_per_second": 400, "reads_per_second": 2000}`)
}

func answersLost(cluster *testcluster.Cluster, args arguments) (string, error) {
	return storeFaults(cluster, args, `{"lose_every": 2, "writes_per_second": 400, "reads_per_second": 2000}`)
}

func setFaults(cluster *testcluster.Cluster, faults string) error {
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
