package testcluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/acacialock/acacialock/internal/testbuild"
	"github.com/acacialock/acacialock/internal/testnet"
)

// terminateLimit covers a drain with its handover.
const terminateLimit = 45 * time.Second

// Config describes a cluster.
type Config struct {
	// Dir receives binaries, settings and run logs.
	Dir string
	// Race builds the programs with the race detector.
	Race bool
	// Show receives the output of all processes; nil shows none.
	Show io.Writer
	// FirstEntryAddr is the first node's entry address; empty takes a free port.
	FirstEntryAddr string
}

// Place is where a target runs.
type Place struct {
	Service, Region, Zone string
	ServiceTime           time.Duration
	EntryServices         []string
}

// Cluster is a set of processes.
type Cluster struct {
	config   Config
	Platform *Process
	// PlatformAddr is the stand-in's IP:port.
	PlatformAddr string
	Nodes        []*Node
}

// Node is a target and the node beside it.
type Node struct {
	Place
	Name                                       string
	EntryAddr, PeerAddr, AdminAddr, TargetAddr string
	Target, Daemon                             *Process
	RunLog                                     string
	cluster                                    *Cluster
	settingsFile                               string
}

var programs = map[string]string{
	"acacialockd":                 "./cmd/acacialockd",
	"acacialock":                  "./cmd/acacialock",
	"acacialock-platform-standin": "./cmd/acacialock-platform-standin",
	"target":                      "./demo/target",
}

// Start builds the programs and starts the platform's stand-in.
func Start(config Config) (*Cluster, error) {
	c := &Cluster{config: config}
	if err := c.build(); err != nil {
		return nil, err
	}
	addr, err := testnet.FreeAddr()
	if err != nil {
		return nil, err
	}
	c.PlatformAddr = addr
	if c.Platform, err = c.start("platform", "acacialock-platform-standin", "--listen", addr); err != nil {
		return nil, err
	}
	return c, WaitFor(10*time.Second, "the platform", func() bool { return accepts(addr) })
}

func (c *Cluster) build() error {
	var flags []string
	if c.config.Race {
		flags = append(flags, "-race")
	}
	for name, pkg := range programs {
		if _, err := testbuild.Program(c.config.Dir, name, pkg, flags...); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) path(name string) string { return filepath.Join(c.config.Dir, name) }

func (c *Cluster) start(name, program string, args ...string) (*Process, error) {
	return start(name, c.config.Show, c.path(program), args...)
}

// Add starts a target and its node.
func (c *Cluster) Add(place Place) (*Node, error) {
	n := &Node{Place: place, cluster: c, Name: fmt.Sprintf("%s-%d", place.Service, len(c.Nodes)+1)}
	if err := n.chooseAddrs(); err != nil {
		return nil, err
	}
	n.RunLog = c.path(n.Name + ".runs")
	n.settingsFile = c.path(n.Name + ".toml")
	if err := os.WriteFile(n.settingsFile, []byte(n.settings()), 0o600); err != nil {
		return nil, err
	}
	if err := n.StartTarget(); err != nil {
		return nil, err
	}
	c.Nodes = append(c.Nodes, n)
	return n, n.StartDaemon()
}

func (n *Node) chooseAddrs() error {
	if n.cluster.config.FirstEntryAddr != "" && len(n.cluster.Nodes) == 0 {
		n.EntryAddr = n.cluster.config.FirstEntryAddr
	}
	for _, addr := range []*string{&n.EntryAddr, &n.PeerAddr, &n.AdminAddr, &n.TargetAddr} {
		if *addr != "" {
			continue
		}
		free, err := testnet.FreeAddr()
		if err != nil {
			return err
		}
		*addr = free
	}
	return nil
}

func (n *Node) settings() string {
	text := fmt.Sprintf("name = %q\nservice = %q\nregion = %q\nzone = %q\n", n.Name, n.Service, n.Region, n.Zone)
	text += fmt.Sprintf("entry_addr = %q\npeer_addr = %q\nadmin_addr = %q\ntarget_addr = %q\n", n.EntryAddr, n.PeerAddr, n.AdminAddr, n.TargetAddr)
	text += fmt.Sprintf("platform_addr = %q\n", n.cluster.PlatformAddr)
	text += list("seeds", n.cluster.peerAddrs())
	return text + list("entry_services", n.EntryServices)
}

func list(key string, values []string) string {
	if len(values) == 0 {
		return ""
	}
	text := key + " = ["
	for _, value := range values {
		text += fmt.Sprintf("%q, ", value)
	}
	return text + "]\n"
}

func (c *Cluster) peerAddrs() []string {
	var addrs []string
	for _, n := range c.Nodes {
		addrs = append(addrs, n.PeerAddr)
	}
	return addrs
}

// StartTarget starts the target (again).
func (n *Node) StartTarget() error {
	process, err := n.cluster.start(n.Name+"-target", "target", "--listen", n.TargetAddr, "--name", n.Name,
		"--service-time", n.ServiceTime.String(), "--run-log", n.RunLog)
	n.Target = process
	return err
}

// StartDaemon starts the node (again).
func (n *Node) StartDaemon() error {
	process, err := n.cluster.start(n.Name, "acacialockd", "--config", n.settingsFile)
	n.Daemon = process
	return err
}

// Apply has the operators' command apply a service list and returns its output and exit code.
func (c *Cluster) Apply(text string, args ...string) (string, int) {
	file, err := os.CreateTemp(c.config.Dir, "services-*.toml")
	if err != nil {
		return err.Error(), -1
	}
	_, writeErr := file.WriteString(text)
	if err := file.Close(); err != nil || writeErr != nil {
		return "the service list can't be written", -1
	}
	return c.Command(append([]string{"apply", file.Name()}, args...)...)
}

// Command runs the operators' command and returns its output and exit code.
func (c *Cluster) Command(args ...string) (string, int) {
	command := exec.Command(c.path("acacialock"), append(args, "--platform", c.PlatformAddr)...)
	out, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		return err.Error(), -1
	}
	return string(out), command.ProcessState.ExitCode()
}

// WaitReady waits until every running node is ready and knows all members of its service.
func (c *Cluster) WaitReady(limit time.Duration) error {
	return WaitFor(limit, "all nodes to be ready", func() bool {
		for _, n := range c.Nodes {
			if !n.Daemon.Ended() && (!n.Ready() || n.Status().OwnMembers < c.running(n.Service)) {
				return false
			}
		}
		return true
	})
}

// running counts the nodes of a service that run.
func (c *Cluster) running(service string) int {
	count := 0
	for _, n := range c.Nodes {
		if n.Service == service && !n.Daemon.Ended() {
			count++
		}
	}
	return count
}

// Status is the part of a node's /status that tests use.
type Status struct {
	Control    struct{ ListVersion uint64 }
	OwnMembers int // known members of the node's own service
}

// Status asks the node's admin address; a node that doesn't answer gives the zero status.
func (n *Node) Status() Status { return StatusAt(n.AdminAddr) }

// StatusAt asks the node with that admin address.
func StatusAt(adminAddr string) Status {
	var status Status
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + adminAddr + "/status")
	if err != nil {
		return status
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&status) // the zero status tells it
	return status
}

// Ready asks the node's admin address.
func (n *Node) Ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.AdminAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop ends all processes that Start and Add started: nodes first, with a drain when drain is set.
func (c *Cluster) Stop(drain bool) {
	ended := make(chan struct{})
	for _, n := range c.Nodes {
		go func() {
			if drain {
				_ = n.Daemon.Terminate(terminateLimit) // its output tells what went wrong
			}
			n.Daemon.Kill()
			n.Target.Kill()
			ended <- struct{}{}
		}()
	}
	for range c.Nodes {
		<-ended
	}
	c.Platform.Kill()
}

// WaitFor polls until the condition holds.
func WaitFor(limit time.Duration, what string, holds func() bool) error {
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			return fmt.Errorf("waited %v for %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func accepts(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
