package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/testnet"
	"github.com/acacialock/acacialock/internal/wire"
)

// nodeLimits are the defaults of the service list.
var nodeLimits = budget.Limits{RegionBytesPerSecond: 14000, LinkBytesPerSecond: 1000}

// places of workers and entry nodes, in the order in which they are filled.
var places = []testnet.Place{{Zone: "a1", Region: "a"}, {Zone: "b1", Region: "b"}, {Zone: "a2", Region: "a"}, {Zone: "b2", Region: "b"}}

// oneRegion is used with one region.
var oneRegion = []testnet.Place{{Zone: "a1", Region: "a"}, {Zone: "a2", Region: "a"}}

func placeOf(i, regions int) testnet.Place {
	if regions == 1 {
		return oneRegion[i%len(oneRegion)]
	}
	return places[i%len(places)]
}

// service is the targets of one service in one slice.
type service struct {
	network *testnet.Network
	name    string
	size    int
	began   time.Time

	mu      sync.Mutex
	targets map[string]*target
	members []cluster.Member
	bound   sync.Mutex // shared by the entry nodes' bounds
}

func (s *service) target(id string) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[id]
}

func (s *service) current() []cluster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]cluster.Member(nil), s.members...)
}

// start adds a target in the i-th place.
func (s *service) start(i int, name string, acts *behaviour, options *options) error {
	at := placeOf(i, options.Regions)
	member := cluster.Member{ID: name, Service: s.name, Zone: at.Zone, Region: at.Region}
	started, err := startTarget(member, acts, s.began, options)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.network.Put(started.member.PeerAddr, at)
	s.targets[name] = started
	s.members = append(s.members, started.member)
	return nil
}

// replace starts a cold target beside the i-th one.
func (s *service) replace(i int, acts *behaviour, options *options) error {
	acts.cold = true
	acts.started = time.Since(s.began)
	return s.start(i, fmt.Sprintf("%s-%d@2", s.name, i), acts, options)
}

// drain marks the i-th target.
func (s *service) drain(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := append([]cluster.Member(nil), s.members...)
	next[i].Draining = true
	s.members = next
}

func (s *service) close() {
	for _, t := range s.targets {
		_ = t.server.Close() // the slice is over
	}
}

// entry is one entry node: its own balancers, budgets and connections.
type entry struct {
	place     testnet.Place
	balancers map[string]balance.Balancer
	retries   map[string]*budget.RetryBudget
	hedges    map[string]*hedger
	bytes     *budget.ByteBudget
	client    *http.Client
	transport *http.Transport
}

func newEntry(at testnet.Place, services []*service, network *testnet.Network, options *options) *entry {
	e := &entry{
		place:     at,
		balancers: map[string]balance.Balancer{},
		retries:   map[string]*budget.RetryBudget{},
		hedges:    map[string]*hedger{},
		bytes:     budget.NewBytes(nodeLimits, nil),
	}
	e.transport = &http.Transport{MaxIdleConnsPerHost: 260, DisableCompression: true}
	e.transport.DialContext = network.Dialer(at)
	e.client = &http.Client{Transport: e.transport, Timeout: callTimeout}
	for _, s := range services {
		e.retries[s.name] = budget.NewRatio(10, nil)
		e.hedges[s.name] = &hedger{budget: budget.NewRatio(options.Hedge, nil), after: 2 * options.Service}
	}
	return e
}

// probe implements balance.ProbeFunc.
func (e *entry) probe(ctx context.Context, member cluster.Member) (wire.LoadSample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member.PeerAddr+"/probe", nil)
	if err != nil {
		return wire.LoadSample{}, err
	}
	answer, err := e.client.Do(request)
	if err != nil {
		return wire.LoadSample{}, err
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return wire.LoadSample{}, err
	}
	return wire.ParseLoadSample(answer.Header.Get(wire.Load))
}

func (e *entry) close() {
	for _, balancer := range e.balancers {
		if closer, ok := balancer.(interface{ Close() }); ok {
			closer.Close()
		}
	}
	e.transport.CloseIdleConnections()
}

// local keeps a baseline in the entry node's region, as the pool does without need of the other region.
type local struct {
	balance.Balancer
	region string
}

// Pick implements balance.Balancer.
func (l local) Pick(request balance.Request) (balance.Pick, error) {
	request.Region = l.region
	pick, err := l.Balancer.Pick(request)
	if err == nil {
		return pick, nil
	}
	request.Region = ""
	return l.Balancer.Pick(request)
}

func newBalancer(policy string, e *entry, s *service, options *options, seed uint64) (balance.Balancer, error) {
	switch policy {
	case "random":
		return local{balance.NewRandom(s.name, seed), e.place.Region}, nil
	case "round-robin":
		return local{balance.NewRoundRobin(s.name, seed), e.place.Region}, nil
	case "least-in-flight":
		return local{balance.NewLeastInFlight(s.name, seed), e.place.Region}, nil
	case "two-choices":
		return local{balance.NewTwoChoices(s.name, seed), e.place.Region}, nil
	case "pool":
		return balance.NewPool(balance.Config{
			Service: s.name,
			Self:    cluster.Member{Zone: e.place.Zone, Region: e.place.Region},
			Slots:   targetSlots, Queue: options.Queue, Probe: e.probe, ProbeBudget: e.bytes, Seed: seed,
			ZoneDelay: testnet.ZoneDelay, RegionDelay: testnet.RegionDelay,
		}), nil
	case "queues", "perfect":
		return &perfect{queuesOnly: policy == "queues", lock: &s.bound, from: e.place, targets: s.target}, nil
	}
	return nil, &unknownPolicyError{policy}
}

// unknownPolicyError reports a name that is not in allPolicies.
type unknownPolicyError struct{ name string }

// Error implements error.
func (e *unknownPolicyError) Error() string {
	return fmt.Sprintf("policy %q is not one of %v", e.name, allPolicies)
}
