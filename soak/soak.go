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

// config is one run of the soak.
type config struct {
	seed    uint64
	faults  time.Duration // time in which faults are played
	nodes   int
	callers int
	gap     time.Duration // mean time between two faults
	// recovery is the time after the last fault within which the service must be back.
	recovery time.Duration
	dir      string // of settings and logs
	program  string // acacialockd
	out      io.Writer
}

const (
	// calmBefore lets the nodes find each other before the first fault.
	calmBefore = 2 * time.Second
	// readyWithin bounds the start of all nodes on a busy machine.
	readyWithin = 30 * time.Second
	// statedRecovery is the time that the users allow.
	statedRecovery = 15 * time.Second
	// servedAgain is the share of the requests that must be served then.
	servedAgain = 0.95
	// watchEvery is the time between two questions to a node about its list.
	watchEvery = 100 * time.Millisecond
)

// soak is one run: the stand-in of the platform, nodes as processes, callers and faults.
type soak struct {
	config  config
	ctx     context.Context // ends with the faults
	began   time.Time
	site    *testsite.Site
	lists   *lists
	callers *callers
	frozen  times

	mu         sync.Mutex
	busy       map[*testsite.Node]bool // a fault of the process or its worker is under way
	violations []string
}

// violate records a broken promise.
func (s *soak) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.logf("VIOLATION: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, text)
}

func newSoak(config config, site *testsite.Site) *soak {
	return &soak{
		config: config, began: time.Now(), site: site, lists: &lists{store: site.Store}, callers: &callers{},
		frozen: times{byName: map[string]time.Duration{}}, busy: map[*testsite.Node]bool{},
	}
}

// runSoak plays one seed and returns the broken promises.
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
	s.lists.next()
	if err := s.startNodes(); err != nil {
		return nil, err
	}
	s.callers = startCallers(site.Nodes, config.callers, config.seed)
	watching, stopWatching := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	for _, n := range site.Nodes {
		watchers.Go(func() { s.watch(watching, n) })
	}
	time.Sleep(calmBefore)
	timer := time.AfterFunc(config.faults, stopFaults)
	s.play(rand.New(rand.NewPCG(config.seed, 0)))
	timer.Stop()
	s.heal()
	s.awaitService()
	s.callers.stop()
	stopWatching()
	watchers.Wait()
	time.Sleep(testsite.DrainBound) // a request that was refused must not run now either
	s.check()
	s.report()
	return s.violations, nil
}

func (s *soak) startNodes() error {
	for i := range s.config.nodes {
		place := testsite.Place{Name: fmt.Sprintf("n%d", i), Service: "shop", Zone: []string{"a", "b"}[i%2]}
		if _, err := s.site.Add(s.config.dir, s.config.program, place, func(problem string) { s.violate("%s", problem) }); err != nil {
			return err
		}
	}
	return s.site.AwaitReady(readyWithin)
}

// watch asks a node for its list until ctx ends.
func (s *soak) watch(ctx context.Context, n *testsite.Node) {
	w := &watcher{node: n, lists: s.lists, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for ctx.Err() == nil {
		if problem := w.ask(); problem != "" {
			s.violate("desired state went back: %s", problem)
		}
		_ = timing.Sleep(ctx, watchEvery) // the loop sees the end of ctx
	}
}

// heal ends all harm. The faults that are under way have ended by themselves.
func (s *soak) heal() {
	s.site.Store.SetFault(func(*http.Request) standin.Fault { return standin.None })
	for _, n := range s.site.Nodes {
		for _, one := range n.Proxies() {
			one.Heal()
		}
		n.Backend.Mode.Store(int64(testsite.Sound))
		n.Backend.Pace.Store(100)
	}
	s.logf("all faults have ended")
}

// awaitService waits until nearly all requests are served again.
func (s *soak) awaitService() {
	healed := time.Now()
	for time.Since(healed) < s.config.recovery {
		time.Sleep(500 * time.Millisecond)
		if share, count := s.callers.served(time.Now().Add(-time.Second)); count >= s.config.callers && share >= servedAgain {
			s.logf("served again after %v", time.Since(healed).Round(100*time.Millisecond))
			return
		}
	}
	share, count := s.callers.served(time.Now().Add(-2 * time.Second))
	s.violate("service is not back %v after the last fault: %.2f of %d requests served", s.config.recovery, share, count)
}

// check compares what callers were told with what ran.
func (s *soak) check() {
	ran := map[string]int{}
	runs := s.site.Runs
	runs.Lock()
	defer runs.Unlock()
	owner := map[string]string{}
	for _, n := range s.site.Nodes {
		for boot := 1; boot <= n.Backend.Boots(); boot++ {
			owner[n.Backend.WorkerID(boot)] = n.Name
		}
	}
	for _, one := range runs.Runs {
		ran[one.Request]++
		left, ok := runs.Left[one.Worker]
		if bound := testsite.DrainBound + s.frozen.of(owner[one.Worker]); ok && one.At.After(left.Add(bound)) {
			s.violate("request %s began at %s %v after its drain was acknowledged", one.Request, one.Worker, one.At.Sub(left))
		}
	}
	for _, r := range s.callers.requests.all {
		switch {
		case r.problem != "":
			s.violate("request %s through %s: %s", r.id, r.node, r.problem)
		case r.idempotent:
		case ran[r.id] > 1:
			s.violate("request %s ran %d times", r.id, ran[r.id])
		case r.promisesNotRun() && ran[r.id] > 0:
			s.violate("request %s was answered with %d and ran", r.id, r.status)
		case r.status == http.StatusOK && ran[r.id] == 0:
			s.violate("request %s was answered with success and never ran", r.id)
		}
	}
}

// report writes how the requests ended.
func (s *soak) report() {
	byStatus := map[int]int{}
	for _, r := range s.callers.requests.all {
		byStatus[r.status]++
	}
	s.logf("seed %d: %d requests, by status %v (0: no answer), %d violations", s.config.seed, len(s.callers.requests.all), byStatus, len(s.violations))
}
