package deployment

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the command of the role in deploy/system.toml, and template the file that it names.
const (
	program  = "target/acacialockd"
	template = "deploy/node.toml.template"
)

// Machine is one machine of the deployment: a worker and the acacialockd process beside it.
type Machine struct {
	Name, Service, Zone, Region string
	Outbound, Inbound           string // host:port for consumers, and for other nodes
	Ready, Control              string // host:port for readiness checks, and for check-ins
	Worker                      *Worker

	deployment *Deployment
	settings   string // path of the settings file
	mu         sync.Mutex
	process    *exec.Cmd
	exited     chan struct{}
}

// Add creates a machine, its worker and its settings file. Start starts its node.
func (d *Deployment) Add(name, service, zone, region string) (*Machine, error) {
	m := &Machine{Name: name, Service: service, Zone: zone, Region: region, deployment: d}
	var workerAddr string
	for _, addr := range []*string{&m.Outbound, &m.Inbound, &m.Ready, &m.Control, &workerAddr} {
		free, err := d.freeAddr()
		if err != nil {
			return nil, err
		}
		*addr = free
	}
	worker, err := newWorker(d.Record, m, workerAddr)
	if err != nil {
		return nil, err
	}
	m.Worker = worker
	m.settings = filepath.Join(d.folder, name+".toml")
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(m.settings, []byte(m.fill(string(text))), 0o600); err != nil {
		return nil, err
	}
	d.Machines = append(d.Machines, m)
	return m, nil
}

// fill replaces the placeholders of the template, as the platform does. The bounds are those of kilotica-mesh.
func (m *Machine) fill(text string) string {
	fields := map[string]string{
		"NodeName": m.Name, "Service": m.Service, "Zone": m.Zone, "Region": m.Region, "AppAddr": m.Worker.addr,
		"Listen.Outbound": m.Outbound, "Listen.Inbound": m.Inbound, "Listen.Ready": m.Ready, "Listen.Control": m.Control,
		"Platform.Address": m.deployment.storeAddr, "Bounds.RetryBudgetRatio": "0.2", "Bounds.RetryBudgetSlack": "64",
		"Bounds.Grace": "6s", "Limits.LinkMbps": "1000.0",
	}
	return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(text, func(placeholder string) string {
		return fields[strings.Trim(placeholder, "{}")]
	})
}

// Start starts the node's process. It ends with the process of the case.
func (m *Machine) Start() error {
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	process := exec.Command(program)
	process.Env = append(os.Environ(), "ACACIALOCK_NODE_FILE="+m.settings)
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.process, m.exited = process, exited
	m.mu.Unlock()
	m.deployment.Record.Logf("node %s started", m.Name)
	return nil
}

// Signal sends a signal to the node's process.
func (m *Machine) Signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		m.deployment.Record.Logf("node %s gets %v", m.Name, signal)
		_ = m.process.Process.Signal(signal) // it may have exited
	}
}

// Kill kills the node's process and waits for its end.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	m.AwaitExit(10 * time.Second)
}

// AwaitExit waits until the node's process has exited and reports whether it did within the limit.
func (m *Machine) AwaitExit(limit time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// IsReady reports whether the node answers its readiness check with 200.
func (m *Machine) IsReady() bool {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Get("http://" + m.Ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until the node is ready.
func (m *Machine) AwaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); !m.IsReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("node %s is not ready after %v", m.Name, limit)
		}
	}
	return nil
}
