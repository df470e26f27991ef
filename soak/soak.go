package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/testsite"
	"github.com/acacialock/acacialock/internal/timing"
	"github.com/acacialock/acacialock/platform/standin"
)

// config holds the parameters of one soak run.
type config struct {
	seed    uint64
	faults  time.Duration // time during which faults are injected
	nodes   int
	callers int
	gap     time.Duration // mean time between two faults
	// recovery is the time limit for the service to recover after the last fault.
	recovery time.Duration
	dir      string // directory for settings and logs
	program  string // path of acacialockd
	out      io.Writer
}

const (
	// discoveryTime lets the nodes discover each other before the first fault.
	discoveryTime = 2 * time.Second
	// readyTimeout bounds the start of all nodes on a busy machine.
	readyTimeout = 30 * time.Second
	// requiredRecovery is the recovery time that the users allow.
	requiredRecovery = 15 * time.Second
	// requiredSuccessRate is the share of requests that must succeed once the service has recovered.
	requiredSuccessRate = 0.95
	// watchInterval is the time between two route probes of a node.
	watchInterval = 100 * time.Millisecond
)

// soak is one run: the stand-in of the platform, node processes, callers and injected faults.
type soak struct {
	config    config
	ctx       context.Context // cancelled when fault injection ends
	startedAt time.Time
	site      *testsite.Site
	lists     *listPublisher
	callers   *callers
	frozenFor durations

	mu         sync.Mutex
	disturbed  map[string][]time.Time  // start and end of the faults that excuse a node from what it was told, by name
	claimed    map[*testsite.Node]bool // nodes with an active exclusive fault
	violations []string
}

// recordViolation logs a violation of a guarantee and adds it to the result.
func (s *soak) recordViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.logf("VIOLATION: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, text)
}

func newSoak(config config, site *testsite.Site) *soak {
	return &soak{
		config: config, startedAt: time.Now(), site: site, lists: &listPublisher{store: site.Store}, callers: &callers{},
		frozenFor: durations{byName: map[string]time.Duration{}}, claimed: map[*testsite.Node]bool{}, disturbed: map[string][]time.Time{},
	}
}

// runSoak runs the soak for one seed and returns the violations found.
func runSoak(config config) ([]string, error) {
	site, err := testsite.New()
	if err != nil {
		return nil, err
	}
	defer site.Close()
	s := newSoak(config, site)
	ctx, stopFaults := context.WithCancel(context.Background())
	defer stopFaults()
	s.ctx = ctx
	s.lists.publishNext()
	if err := s.startNodes(); err != nil {
		return nil, err
	}
	s.callers = startCallers(site.Nodes, config.callers, config.seed)
	watchCtx, stopWatching := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	for _, n := range site.Nodes {
		watchers.Go(func() { s.watch(watchCtx, n) })
	}
	time.Sleep(discoveryTime)
	timer := time.AfterFunc(config.faults, stopFaults)
	var statements sync.WaitGroup
	// A stream of its own keeps the faults of a seed the same.
	statements.Go(func() { s.makeStatements(rand.New(rand.NewPCG(config.seed, 2))) })
	statements.Go(func() { s.restoreStore(rand.New(rand.NewPCG(config.seed, 3))) })
	statements.Go(func() { s.sendCrowds(rand.New(rand.NewPCG(config.seed, 4))) })
	s.injectFaults(rand.New(rand.NewPCG(config.seed, 0)))
	statements.Wait()
	timer.Stop()
	s.heal()
	s.awaitRecovery()
	s.callers.stop()
	stopWatching()
	watchers.Wait()
	time.Sleep(testsite.DrainBound) // a refused request must not run during this time either
	s.check()
	s.report()
	return s.violations, nil
}

func (s *soak) startNodes() error {
	for i := range s.config.nodes {
		nodeConfig := testsite.NodeConfig{Name: fmt.Sprintf("n%d", i), Service: "shop", Zone: []string{"a", "b"}[i%2]}
		if _, err := s.site.Add(s.config.dir, s.config.program, nodeConfig, func(problem string) { s.recordViolation("%s", problem) }); err != nil {
			return err
		}
	}
	return s.site.AwaitReady(readyTimeout)
}

// watch probes the service list of a node until ctx is done.
func (s *soak) watch(ctx context.Context, n *testsite.Node) {
	w := &listWatcher{node: n, lists: s.lists, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for ctx.Err() == nil {
		if problem := w.probe(); problem != "" {
			s.recordViolation("service list version decreased: %s", problem)
		}
		_ = timing.Sleep(ctx, watchInterval) // the loop condition checks ctx
	}
}

// heal removes the faults of the store, proxies and workers. Faults in progress have ended already.
func (s *soak) heal() {
	s.site.Store.SetFault(func(*http.Request) standin.Fault { return standin.NoFault })
	for _, n := range s.site.Nodes {
		for _, proxy := range n.Proxies() {
			proxy.Heal()
		}
		n.Backend.FaultMode.Store(int64(testsite.Healthy))
		n.Backend.LatencyPercent.Store(100)
	}
	s.logf("all faults have ended")
}

// awaitRecovery waits until the success rate reaches requiredSuccessRate and records a violation at the limit.
func (s *soak) awaitRecovery() {
	healedAt := time.Now()
	for time.Since(healedAt) < s.config.recovery {
		time.Sleep(500 * time.Millisecond)
		if share, count := s.callers.successRate(time.Now().Add(-time.Second)); count >= s.config.callers && share >= requiredSuccessRate {
			s.logf("service recovered after %v", time.Since(healedAt).Round(100*time.Millisecond))
			return
		}
	}
	share, count := s.callers.successRate(time.Now().Add(-2 * time.Second))
	s.recordViolation("service has not recovered %v after the last fault: %.2f of %d requests succeeded", s.config.recovery, share, count)
}

// check compares the responses that callers received with the runs that workers recorded.
func (s *soak) check() {
	runCount := map[string]int{}
	runs := s.site.Runs
	runs.Lock()
	defer runs.Unlock()
	nodeOf := map[string]string{}
	for _, n := range s.site.Nodes {
		for boot := 1; boot <= n.Backend.Boots(); boot++ {
			nodeOf[n.Backend.WorkerID(boot)] = n.Name
		}
	}
	for _, run := range runs.Runs {
		runCount[run.Request]++
		drainedAt, ok := runs.DrainedAt[run.Worker]
		if bound := testsite.DrainBound + s.frozenFor.total(nodeOf[run.Worker]); ok && run.At.After(drainedAt.Add(bound)) {
			s.recordViolation("request %s began at %s %v after its drain was acknowledged", run.Request, run.Worker, run.At.Sub(drainedAt))
		}
	}
	s.checkStatements()
	for _, r := range s.callers.requests.completed {
		switch {
		case r.problem != "":
			s.recordViolation("request %s through %s: %s", r.id, r.node, r.problem)
		case r.idempotent:
		case runCount[r.id] > 1:
			s.recordViolation("request %s ran %d times", r.id, runCount[r.id])
		case r.guaranteesNotRun() && runCount[r.id] > 0:
			s.recordViolation("request %s was answered with %d and ran", r.id, r.status)
		case r.status == http.StatusOK && runCount[r.id] == 0:
			s.recordViolation("request %s was answered with success and never ran", r.id)
		}
	}
}

// report logs the number of requests by status.
func (s *soak) report() {
	byStatus := map[int]int{}
	for _, r := range s.callers.requests.completed {
		byStatus[r.status]++
	}
	s.logf("seed %d: %d requests, by status %v (0: no answer), %d violations", s.config.seed, len(s.callers.requests.completed), byStatus, len(s.violations))
}
