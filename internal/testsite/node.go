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

// Node is one acacialockd process with its worker and the proxies around it.
type Node struct {
	Name, Service, Zone string
	Entry, Admin        string // host:port of the listeners
	LogFile             string
	// Proxies before the store, the entry, the peer listener and the target.
	Store, Callers, Peers, Targets *Proxy
	Backend                        *Backend
	Drain                          time.Duration // drain timeout that WriteSettings writes

	peer, checkIn, file, program string

	OnEnd func(problem string) // called when the process ends by itself

	mu    sync.Mutex
	asked bool // the process was asked to end
	cmd   *exec.Cmd
	ended chan struct{}
	end   error // how the last process ended, nil without a fault
	boots int
}

func newNode(dir, program, name, service, zone, storeAddr string, log *RunLog, client *http.Client) (*Node, error) {
	n := &Node{Name: name, Service: service, Zone: zone, program: program, Drain: 4 * time.Second,
		file: filepath.Join(dir, name+".toml"), LogFile: filepath.Join(dir, name+".log")}
	var target string
	for _, addr := range []*string{&n.Entry, &n.peer, &n.Admin, &n.checkIn, &target} {
		free, err := testnet.FreeAddr()
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	for _, one := range []struct {
		proxy **Proxy
		to    string
	}{{&n.Store, storeAddr}, {&n.Callers, n.Entry}, {&n.Peers, n.peer}, {&n.Targets, target}} {
		opened, err := NewProxy(one.to)
		if err != nil {
			return nil, err
		}
		*one.proxy = opened
	}
	n.Backend = &Backend{
		name: name, service: service, zone: zone, addr: target, announced: n.Targets.Addr(), checkInAddr: n.checkIn,
		log: log, client: client,
	}
	return n, n.WriteSettings()
}

// WriteSettings writes the settings file.
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
`, n.Name, n.Service, n.Zone, n.Entry, n.peer, n.Peers.Addr(), n.Admin, n.checkIn, n.Targets.Addr(), n.Store.Addr(), n.Drain)
	return os.WriteFile(n.file, []byte(text), 0o600)
}

// Start runs the process.
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
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // no signal of the terminal
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.ended, n.asked = make(chan struct{}), false
	go n.supervise(n.cmd, n.ended, time.Now())
	return nil
}

const (
	// restartPause is the time after which the platform starts a process again that ended by itself.
	restartPause = 300 * time.Millisecond
	// startSpan is the time after a start in which a signal may meet a process that does not handle signals yet.
	startSpan = time.Second
)

// supervise starts a process again that ended without being asked, as the platform does.
func (n *Node) supervise(cmd *exec.Cmd, ended chan struct{}, started time.Time) {
	err := cmd.Wait()
	n.mu.Lock()
	asked := n.asked
	n.end = err
	n.mu.Unlock()
	if asked {
		close(ended)
		return
	}
	if time.Since(started) > startSpan {
		n.OnEnd(fmt.Sprintf("process of %s ended by itself: %v", n.Name, err))
	}
	time.Sleep(restartPause)
	n.mu.Lock()
	asked = n.asked
	n.mu.Unlock()
	if asked {
		close(ended)
		return
	}
	if err := n.Start(); err != nil {
		n.OnEnd(err.Error())
	}
	close(ended)
}

// End asks the process to end by a signal.
func (n *Node) End(signal syscall.Signal) {
	n.mu.Lock()
	n.asked = true
	n.mu.Unlock()
	n.Signal(signal)
}

// Signal sends a signal to the process.
func (n *Node) Signal(signal syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(signal) // it may have ended
}

// WaitEnd waits for the end of the process and reports false at the limit.
func (n *Node) WaitEnd(limit time.Duration) bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// EndError is how the last process that ended did so: nil without a fault, else an *exec.ExitError.
func (n *Node) EndError() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.end
}

// Boots is the number of processes started so far.
func (n *Node) Boots() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boots
}

// Proxies returns the proxies around the node.
func (n *Node) Proxies() []*Proxy { return []*Proxy{n.Store, n.Callers, n.Peers, n.Targets} }

// Close ends what was started for the node.
func (n *Node) Close() {
	n.Signal(syscall.SIGCONT)
	n.End(syscall.SIGKILL)
	n.WaitEnd(10 * time.Second)
	n.Backend.Crash()
	for _, one := range n.Proxies() {
		one.Close()
	}
}
