package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is one process of the system with the worker beside it.
type node struct {
	name, zone, service                   string
	outbound, inbound, ready, checkInAddr string
	worker                                *worker
	file, log                             string
	process                               *exec.Cmd
}

// site is a small deployment on loopback addresses.
type site struct {
	dir, program, template string
	store                  *store
	nodes                  []*node
	record                 *record
	fds                    int    // limit of descriptors of each process
	revoke                 string // the bound Revoke; empty: the deployment has no StrictRevoke
}

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// tenant is a tenant of a desired state with its API keys.
type tenant struct {
	name string
	keys []string
}

// route is a route of a desired state.
type route struct {
	name, prefix, kind, service string
	timeout, target             time.Duration
	priority                    int
}

const host = "ficu95.example"

// desiredState returns the value of op/config.
func desiredState(version int, services []string, routes []route, tenants ...tenant) []byte {
	type object = map[string]any
	resources := []object{}
	for _, r := range routes {
		spec := object{
			"Host": host, "Prefix": r.prefix, "Kind": r.kind, "Timeout": fmt.Sprintf("%dms", r.timeout.Milliseconds()),
			"TargetLatency": fmt.Sprintf("%dms", r.target.Milliseconds()), "Priority": r.priority, "MaxAttempts": 2, "Service": r.service,
		}
		resources = append(resources, object{"ResourceType": "Routes", "Metadata": object{"Name": r.name}, "Spec": spec})
	}
	for _, name := range services {
		resources = append(resources, object{"ResourceType": "Services", "Metadata": object{"Name": name},
			"Spec": object{"HealthPath": healthPath, "MaxConnections": 260, "Protocol": "h1", "Tls": false}})
	}
	for _, t := range tenants {
		resources = append(resources, object{"ResourceType": "Tenants", "Metadata": object{"Name": t.name}, "Spec": object{"ApiKeys": t.keys}})
	}
	resources = append(resources, object{"ResourceType": "Limits", "Metadata": object{}, "Spec": object{
		"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"}})
	text, err := json.Marshal(object{"Version": fmt.Sprintf("%08x", version), "Resources": resources})
	if err != nil {
		panic(err)
	}
	return text
}

// Ports of listeners are taken one after another from a part of the range below that of outgoing connections. Which part depends
// on the process, so that cases that run at the same time take others.
const (
	firstPort    = 15000
	portsPerCase = 100
	parts        = 150
)

var nextPort = firstPort + portsPerCase*(os.Getpid()%parts)

// freeAddr returns a loopback address with a free port that it has not returned before.
func freeAddr() string {
	for {
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if listener, err := net.Listen("tcp", addr); err == nil {
			_ = listener.Close()
			return addr
		}
	}
}

// newSite starts the store; root is the root of the repository, dir a temporary folder.
func newSite(root, dir string, rec *record) (*site, error) {
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(root, "deploy", "node.toml.template"))
	if err != nil {
		return nil, err
	}
	program := filepath.Join(root, "target", "acacialockd") // "run" of deploy/system.toml
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	return &site{dir: dir, program: program, template: string(template), store: s, record: rec}, nil
}

// add starts a worker and the node beside it.
func (s *site) add(name, zone, service string, serviceTime time.Duration, prepare []func(*worker)) (*node, error) {
	w, err := newWorker("i-"+name, service, zone, serviceTime)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: name, zone: zone, service: service, outbound: freeAddr(), inbound: freeAddr(), ready: freeAddr(),
		checkInAddr: freeAddr(), worker: w, file: filepath.Join(s.dir, name+".toml"), log: filepath.Join(s.dir, name+".log"),
	}
	w.checkIn = n.checkInAddr
	for _, change := range prepare {
		change(w)
	}
	if err := os.WriteFile(n.file, []byte(s.settings(n)), 0o600); err != nil {
		return nil, err
	}
	if err := s.start(n); err != nil {
		return nil, err
	}
	w.serve()
	s.nodes = append(s.nodes, n)
	return n, nil
}

// settings fills the deploy file's template as the platform does, with the figures of sites/kilotica-mesh.
func (s *site) settings(n *node) string {
	text := s.template
	for from, to := range map[string]string{
		"{{NodeName}}": n.name, "{{Service}}": n.service, "{{Zone}}": n.zone, "{{Region}}": "sanjose",
		"{{Listen.Outbound}}": n.outbound, "{{Listen.Inbound}}": n.inbound, "{{Listen.Ready}}": n.ready,
		"{{Listen.Control}}": n.checkInAddr, "{{AppAddr}}": n.worker.addr, "{{Platform.Address}}": s.store.addr,
		"{{Bounds.RetryBudgetRatio}}": "0.2", "{{Bounds.RetryBudgetSlack}}": "64", "{{Limits.LinkMbps}}": "1000.0",
		`{{#Zones}}"{{.}}"{{,}}{{/Zones}}`: `"sanjose","guanacaste"`, "{{Bounds.Grace}}": "6s",
		"{{#Bounds.StrictRevoke}}{{Bounds.Revoke}}{{/Bounds.StrictRevoke}}": s.revoke,
	} {
		text = strings.ReplaceAll(text, from, to)
	}
	if strings.Contains(text, "{{") {
		panic("the template has a field that is not filled in:\n" + text)
	}
	return text
}

func (s *site) start(n *node) error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.process = exec.Command(s.program)
	n.process.Dir = filepath.Dir(filepath.Dir(s.program))
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "ACACIALOCK_NODE_FILE=" + n.file}
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return n.process.Start()
}

// isReady asks a node as the platform does.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready and the workers have been announced for some seconds.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range s.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", n.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second) // check-ins, rows, and Contact of 4 s
	for _, n := range s.nodes {
		s.record.printf("node %s (%s) is ready, beside worker %s", n.name, n.service, n.worker.id)
	}
	return nil
}

// close ends the processes that the site started.
func (s *site) close() {
	for _, n := range s.nodes {
		if n.process.Process != nil {
			_ = n.process.Process.Kill()
			_ = n.process.Wait()
		}
	}
}

// runs returns the runs of all workers by request id.
func (s *site) runs() map[string][]run {
	byID := map[string][]run{}
	for _, n := range s.nodes {
		for _, r := range n.worker.allRuns() {
			byID[r.id] = append(byID[r.id], r)
		}
	}
	return byID
}
