package testsite

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/acacialock/acacialock/internal/testnet"
)

// Node is one acacialockd process with its worker and the proxies through which it is connected.
type Node struct {
	Name, Service, Zone string
	Entry, Admin        string // host:port of the listeners
	LogFile             string
	// Proxies for the connections to the store, from callers to the entry listener, from peers to the peer listener, and
	// to the worker.
	Store, Callers, Peers, Targets *Proxy
	Backend                        *Backend
	DrainTimeout                   time.Duration // written by WriteSettings
	Settings                       string        // further lines of the settings file

	peer, checkIn, file, program string

	OnExit func(problem string) // called when the process exits unexpectedly or cannot be restarted

	mu       sync.Mutex
	stopping bool // the process was signalled to exit
	cmd      *exec.Cmd
	exited   chan struct{} // closed once the process has exited and a restart, if due, was attempted
	exitErr  error         // exit error of the last process, nil after exit code 0
	boots    int
}

func newNode(dir, program string, config NodeConfig, storeAddr string, log *RunLog, client *http.Client) (*Node, error) {
	name, service, zone := config.Name, config.Service, config.Zone
	n := &Node{Name: name, Service: service, Zone: zone, Settings: config.Settings, program: program, DrainTimeout: 4 * time.Second,
		file: filepath.Join(dir, name+".toml"), LogFile: filepath.Join(dir, name+".log")}
	var target string
	for _, addr := range []*string{&n.Entry, &n.peer, &n.Admin, &n.checkIn, &target} {
		free, err := testnet.FreeAddr()
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	for _, spec := range []struct {
		field  **Proxy
		target string
	}{{&n.Store, storeAddr}, {&n.Callers, n.Entry}, {&n.Peers, n.peer}, {&n.Targets, target}} {
		proxy, err := NewProxy(spec.target)
		if err != nil {
			return nil, err
		}
		*spec.field = proxy
	}
	n.Backend = &Backend{
		name: name, service: service, zone: zone, addr: target, announcedAddr: n.Targets.Addr(), checkInAddr: n.checkIn,
		log: log, client: client, respondAs: config.Respond,
	}
	return n, n.WriteSettings()
}

// WriteSettings writes the settings file that the process reads.
func (n *Node) WriteSettings() error {
	text := fmt.Sprintf(`platform = "rows"
name = %q
service = %q
zone = %q
region = "r"
entry_addr = %q
peer_addr = %q
peer_advertise_addr = %q
admin_addr = %q
check_in_addr = %q
target_addr = %q
platform_addr = %q
retry_ratio = 0.2
retry_slack = 64
drain_timeout = %q
`, n.Name, n.Service, n.Zone, n.Entry, n.peer, n.Peers.Addr(), n.Admin, n.checkIn, n.Targets.Addr(), n.Store.Addr(), n.DrainTimeout) + n.Settings
	return os.WriteFile(n.file, []byte(text), 0o600)
}

// Start starts the process; it is restarted when it exits without SignalStop.
func (n *Node) Start() error {
	log, err := os.OpenFile(n.LogFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.boots++
	n.cmd = exec.Command(n.program, "--config", n.file)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // keeps terminal signals from the process
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.exited, n.stopping = make(chan struct{}), false
	go n.supervise(n.cmd, n.exited, time.Now())
	return nil
}

const (
	// restartDelay is the delay after which the platform restarts a process that exited unexpectedly.
	restartDelay = 300 * time.Millisecond
	// startGrace is the time after a start during which a signal may arrive before the process has installed its handlers,
	// so an exit is not reported.
	startGrace = time.Second
)

// supervise restarts a process that exited without SignalStop, as the platform does.
func (n *Node) supervise(cmd *exec.Cmd, exited chan struct{}, started time.Time) {
	err := cmd.Wait()
	n.mu.Lock()
	stopping := n.stopping
	n.exitErr = err
	n.mu.Unlock()
	if stopping {
		close(exited)
		return
	}
	if time.Since(started) > startGrace {
		n.OnExit(fmt.Sprintf("process of %s exited unexpectedly: %v", n.Name, err))
	}
	time.Sleep(restartDelay)
	n.mu.Lock()
	stopping = n.stopping
	n.mu.Unlock()
	if stopping {
		close(exited)
		return
	}
	if err := n.Start(); err != nil {
		n.OnExit(err.Error())
	}
	close(exited)
}

// SignalStop sends a signal that is to stop the process and disables its restart.
func (n *Node) SignalStop(signal syscall.Signal) {
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.Signal(signal)
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(signal) // the process may have exited
}

// WaitExit waits until the process has exited and returns false when the limit has passed first.
func (n *Node) WaitExit(limit time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// ExitError returns the exit error of the last process that exited: nil after exit code 0, else an *exec.ExitError.
func (n *Node) ExitError() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.exitErr
}

// Boots returns the number of processes started so far.
func (n *Node) Boots() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boots
}

// PID returns the process id of the last process that was started.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

// Proxies returns Store, Callers, Peers and Targets in this order.
func (n *Node) Proxies() []*Proxy { return []*Proxy{n.Store, n.Callers, n.Peers, n.Targets} }

// Close stops the process, the worker and the proxies.
func (n *Node) Close() {
	n.Signal(syscall.SIGCONT)
	n.SignalStop(syscall.SIGKILL)
	n.WaitExit(10 * time.Second)
	n.Backend.CrashWorker()
	for _, proxy := range n.Proxies() {
		proxy.Close()
	}
}
