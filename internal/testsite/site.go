// Package testsite runs acacialockd processes on loopback on the users' platform's form: the stand-in of its store, a worker
// beside each node, and proxies around it that tests use to harm connections.
package testsite

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/acacialock/acacialock/internal/testbuild"
	"github.com/acacialock/acacialock/platform/standin"
)

// Place is where a node runs.
type Place struct{ Name, Service, Zone string }

// Site is a platform with its nodes.
type Site struct {
	Store     *standin.Store
	StoreAddr string
	Nodes     []*Node
	Runs      *RunLog

	server *http.Server
	client *http.Client
}

// New starts the stand-in of the store.
func New() (*Site, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Site{
		Store: standin.NewStore(), StoreAddr: listener.Addr().String(), Runs: &RunLog{Left: map[string]time.Time{}},
		client: &http.Client{Transport: &http.Transport{}},
	}
	s.server = &http.Server{Handler: s.Store}
	go func() { _ = s.server.Serve(listener) }() // ends with Close
	return s, nil
}

// Add starts a worker and the node beside it. onEnd is called when the process ends by itself; it is started again.
func (s *Site) Add(dir, program string, place Place, onEnd func(problem string)) (*Node, error) {
	n, err := newNode(dir, program, place.Name, place.Service, place.Zone, s.StoreAddr, s.Runs, s.client)
	if err != nil {
		return nil, err
	}
	n.OnEnd = onEnd
	if err := n.Backend.Boot(); err != nil {
		return nil, err
	}
	if err := n.Start(); err != nil {
		return nil, err
	}
	s.Nodes = append(s.Nodes, n)
	return n, nil
}

// AwaitReady waits until all nodes may be sent callers.
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
	answer, err := client.Get("http://" + admin + "/readyz")
	if err != nil {
		return false
	}
	_ = answer.Body.Close() // the status says it all
	return answer.StatusCode == http.StatusOK
}

// Close ends what the site started.
func (s *Site) Close() {
	for _, n := range s.Nodes {
		n.Close()
	}
	s.client.CloseIdleConnections()
	_ = s.server.Close()
}

// Build compiles acacialockd of the module that holds the current directory.
func Build(dir string) (program string, err error) {
	return testbuild.Program(dir, "acacialockd", "./cmd/acacialockd")
}
