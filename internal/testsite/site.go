// Package testsite runs acacialockd processes on loopback with the row store of the users' platform: a stand-in of the
// store, a worker beside each node, and proxies around each node that inject connection faults.
package testsite

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/acacialock/acacialock/internal/testbuild"
	"github.com/acacialock/acacialock/platform/standin"
)

// NodeConfig is the name, service and availability zone of a node.
type NodeConfig struct {
	Name, Service, Zone string
	// Settings holds further lines of the node's settings file.
	Settings string
	// Respond, unless nil, writes the worker's responses to requests that ran, as standin.Worker.Respond does.
	Respond func(w http.ResponseWriter, r *http.Request) bool
}

// Site is a store stand-in with its nodes.
type Site struct {
	Store     *standin.Store
	StoreAddr string
	Nodes     []*Node
	Runs      *RunLog

	server *http.Server
	client *http.Client
}

// New starts the store stand-in; the site has no nodes yet.
func New() (*Site, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Site{
		Store: standin.NewStore(), StoreAddr: listener.Addr().String(), Runs: &RunLog{DrainedAt: map[string]time.Time{}},
		client: &http.Client{Transport: &http.Transport{}},
	}
	s.server = &http.Server{Handler: s.Store}
	go func() { _ = s.server.Serve(listener) }() // returns after Close
	return s, nil
}

// Add starts a worker and the node beside it. onExit is called when the process exits unexpectedly; it is then restarted.
func (s *Site) Add(dir, program string, config NodeConfig, onExit func(problem string)) (*Node, error) {
	n, err := newNode(dir, program, config, s.StoreAddr, s.Runs, s.client)
	if err != nil {
		return nil, err
	}
	n.OnExit = onExit
	if err := n.Backend.StartWorker(); err != nil {
		return nil, err
	}
	if err := n.Start(); err != nil {
		return nil, err
	}
	s.Nodes = append(s.Nodes, n)
	return n, nil
}

// AwaitReady waits until all nodes report ready on /readyz.
func (s *Site) AwaitReady(limit time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, n := range s.Nodes {
		for !ready(client, n.Admin) {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready after %v: see %s", n.Name, limit, n.LogFile)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func ready(client *http.Client, admin string) bool {
	response, err := client.Get("http://" + admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close() // only the status is needed
	return response.StatusCode == http.StatusOK
}

// Close stops all processes and servers of the site.
func (s *Site) Close() {
	for _, n := range s.Nodes {
		n.Close()
	}
	s.client.CloseIdleConnections()
	_ = s.server.Close()
}

// Build compiles acacialockd from the module that contains the current directory and returns the path of the program.
func Build(dir string) (program string, err error) {
	return testbuild.Program(dir, "acacialockd", "./cmd/acacialockd")
}
