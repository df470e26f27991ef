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

// terminateTimeout covers a drain including its handover.
const terminateTimeout = 45 * time.Second

// Config holds the settings of a cluster.
type Config struct {
	// Dir is the directory for programs, settings files and run logs.
	Dir string
	// Race selects whether the programs are built with the race detector.
	Race bool
	// Output receives the output of all processes as they write it; nil discards it.
	Output io.Writer
	// FirstEntryAddr is the first node's entry address; if empty, a free port is chosen.
	FirstEntryAddr string
}

// NodeConfig describes a target and the location of its node.
type NodeConfig struct {
	Service, Region, Zone string
	ServiceTime           time.Duration
	EntryServices         []string
	Settings              string // further lines of the node's settings file
}

// Cluster is a platform stand-in, targets and nodes, each a separate process.
type Cluster struct {
	config   Config
	Platform *Process
	// PlatformAddr is the platform stand-in's IP:port.
	PlatformAddr string
	Nodes        []*Node
}

// Node is a target process and the acacialockd process beside it.
type Node struct {
	NodeConfig
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

// Start builds the programs, starts the platform stand-in and waits until it accepts connections.
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
	return c, WaitFor(10*time.Second, "the platform", func() bool { return acceptsConnections(addr) })
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
	return start(name, c.config.Output, c.path(program), args...)
}

// Add starts a target and then its node. It does not wait until the node is ready.
func (c *Cluster) Add(config NodeConfig) (*Node, error) {
	n := &Node{NodeConfig: config, cluster: c, Name: fmt.Sprintf("%s-%d", config.Service, len(c.Nodes)+1)}
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
	text += formatList("seeds", n.cluster.peerAddrs())
	return text + formatList("entry_services", n.EntryServices) + n.Settings
}

func formatList(key string, values []string) string {
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

// StartTarget starts the target; it may be called again after the target has exited.
func (n *Node) StartTarget() error {
	process, err := n.cluster.start(n.Name+"-target", "target", "--listen", n.TargetAddr, "--name", n.Name,
		"--service-time", n.ServiceTime.String(), "--run-log", n.RunLog)
	n.Target = process
	return err
}

// StartDaemon starts the node; it may be called again after the node has exited.
func (n *Node) StartDaemon() error {
	process, err := n.cluster.start(n.Name, "acacialockd", "--config", n.settingsFile)
	n.Daemon = process
	return err
}

// Apply applies a service list with the operators' command and returns the command's output and exit code, or the error
// text and -1 if the command could not be run.
func (c *Cluster) Apply(text string, args ...string) (string, int) {
	file, err := os.CreateTemp(c.config.Dir, "services-*.toml")
	if err != nil {
		return err.Error(), -1
	}
	_, writeErr := file.WriteString(text)
	if err := file.Close(); err != nil || writeErr != nil {
		return "cannot write the service list file", -1
	}
	return c.RunCommand(append([]string{"apply", file.Name()}, args...)...)
}

// RunCommand runs the operators' command and returns its output and exit code, or the error text and -1 if it could not be
// started.
func (c *Cluster) RunCommand(args ...string) (string, int) {
	command := exec.Command(c.path("acacialock"), append(args, "--platform", c.PlatformAddr)...)
	out, err := command.CombinedOutput()
	if err != nil && command.ProcessState == nil {
		return err.Error(), -1
	}
	return string(out), command.ProcessState.ExitCode()
}

// WaitReady waits until every running node is ready and knows all running members of its service.
func (c *Cluster) WaitReady(limit time.Duration) error {
	return WaitFor(limit, "all nodes to be ready", func() bool {
		for _, n := range c.Nodes {
			if !n.Daemon.Exited() && (!n.Ready() || n.Status().OwnMembers < c.countRunning(n.Service)) {
				return false
			}
		}
		return true
	})
}

// countRunning returns the number of running nodes of a service.
func (c *Cluster) countRunning(service string) int {
	count := 0
	for _, n := range c.Nodes {
		if n.Service == service && !n.Daemon.Exited() {
			count++
		}
	}
	return count
}

// Status is the part of a node's /status response that tests use.
type Status struct {
	Control    struct{ ListVersion uint64 }
	OwnMembers int // number of known members of the node's own service
}

// Status requests the node's status from its admin address; it returns the zero Status if the node does not respond.
func (n *Node) Status() Status { return StatusAt(n.AdminAddr) }

// StatusAt requests the status from an admin address; it returns the zero Status if the node does not respond.
func StatusAt(adminAddr string) Status {
	var status Status
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + adminAddr + "/status")
	if err != nil {
		return status
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&status) // an invalid body gives the zero Status
	return status
}

// Ready reports whether /readyz at the node's admin address responds with 200.
func (n *Node) Ready() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.AdminAddr + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Stop stops all processes that Start and Add started, nodes before the platform stand-in. With drain, each node is drained
// before its target is killed.
func (c *Cluster) Stop(drain bool) {
	ended := make(chan struct{})
	for _, n := range c.Nodes {
		go func() {
			if drain {
				_ = n.Daemon.Terminate(terminateTimeout) // the node's output shows the cause
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

// WaitFor polls condition every 20 ms and returns an error if it does not hold within the limit. The error contains
// description, which names the condition.
func WaitFor(limit time.Duration, description string, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %v waiting for %s", limit, description)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

func acceptsConnections(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
