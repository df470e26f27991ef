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

// nodeLimits are the default byte budgets of the service list.
var nodeLimits = budget.Limits{RegionBytesPerSecond: 14000, LinkBytesPerSecond: 1000}

// twoRegionPlaces are the places of targets and entry nodes, assigned in this order.
var twoRegionPlaces = []testnet.Place{{Zone: "a1", Region: "a"}, {Zone: "b1", Region: "b"}, {Zone: "a2", Region: "a"}, {Zone: "b2", Region: "b"}}

// singleRegionPlaces replaces twoRegionPlaces if there is only one region.
var singleRegionPlaces = []testnet.Place{{Zone: "a1", Region: "a"}, {Zone: "a2", Region: "a"}}

// placeAt returns the place of the i-th target or entry node.
func placeAt(i, regions int) testnet.Place {
	if regions == 1 {
		return singleRegionPlaces[i%len(singleRegionPlaces)]
	}
	return twoRegionPlaces[i%len(twoRegionPlaces)]
}

// service holds the targets of one service in one slice.
type service struct {
	network    *testnet.Network
	name       string
	size       int
	sliceStart time.Time

	mu       sync.Mutex
	targets  map[string]*target
	members  []cluster.Member
	oracleMu sync.Mutex // shared by the oracles of all entry nodes
}

func (s *service) target(id string) *target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[id]
}

func (s *service) currentMembers() []cluster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]cluster.Member(nil), s.members...)
}

// addTarget starts a target in the i-th place and adds it to the members.
func (s *service) addTarget(i int, name string, schedule *targetSchedule, options *options) error {
	place := placeAt(i, options.Regions)
	member := cluster.Member{ID: name, Service: s.name, Zone: place.Zone, Region: place.Region}
	started, err := startTarget(member, schedule, s.sliceStart, options)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.network.SetPlace(started.member.PeerAddr, place)
	s.targets[name] = started
	s.members = append(s.members, started.member)
	return nil
}

// startReplacement starts a cold target that is to replace the i-th one, in the same place.
func (s *service) startReplacement(i int, schedule *targetSchedule, options *options) error {
	schedule.cold = true
	schedule.startedAt = time.Since(s.sliceStart)
	return s.addTarget(i, fmt.Sprintf("%s-%d@2", s.name, i), schedule, options)
}

// drainTarget marks the i-th target as draining.
func (s *service) drainTarget(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := append([]cluster.Member(nil), s.members...)
	next[i].Draining = true
	s.members = next
}

func (s *service) close() {
	for _, t := range s.targets {
		_ = t.server.Close() // the slice has ended, an error has no effect
	}
}

// entryNode simulates one entry node with its own balancers, budgets and connections.
type entryNode struct {
	place      testnet.Place
	balancers  map[string]balance.Balancer
	retries    map[string]*budget.RetryBudget
	hedges     map[string]*hedger
	byteBudget *budget.ByteBudget
	client     *http.Client
	transport  *http.Transport
}

func newEntryNode(place testnet.Place, services []*service, network *testnet.Network, options *options) *entryNode {
	e := &entryNode{
		place:      place,
		balancers:  map[string]balance.Balancer{},
		retries:    map[string]*budget.RetryBudget{},
		hedges:     map[string]*hedger{},
		byteBudget: budget.NewByteBudget(nodeLimits, nil),
	}
	e.transport = &http.Transport{MaxIdleConnsPerHost: 260, DisableCompression: true}
	e.transport.DialContext = network.Dialer(place)
	e.client = &http.Client{Transport: e.transport, Timeout: callTimeout}
	for _, s := range services {
		e.retries[s.name] = budget.NewRetryBudget(10, nil)
		e.hedges[s.name] = &hedger{budget: budget.NewRetryBudget(options.Hedge, nil), threshold: 2 * options.Service}
	}
	return e
}

// probe requests the load sample of a target. It implements balance.ProbeFunc.
func (e *entryNode) probe(ctx context.Context, member cluster.Member) (wire.LoadSample, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+member.PeerAddr+"/probe", nil)
	if err != nil {
		return wire.LoadSample{}, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return wire.LoadSample{}, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return wire.LoadSample{}, err
	}
	return wire.ParseLoadSample(response.Header.Get(wire.Load))
}

func (e *entryNode) close() {
	for _, balancer := range e.balancers {
		if closer, ok := balancer.(interface{ Close() }); ok {
			closer.Close()
		}
	}
	e.transport.CloseIdleConnections()
}

// regionFirst wraps a baseline policy so that it picks targets of the entry node's region, and those of the other region
// only if there is none left, as the pool does while the region is not overloaded.
type regionFirst struct {
	balance.Balancer
	region string
}

// Pick implements balance.Balancer.
func (r regionFirst) Pick(request balance.Request) (balance.Pick, error) {
	request.Region = r.region
	pick, err := r.Balancer.Pick(request)
	if err == nil {
		return pick, nil
	}
	request.Region = ""
	return r.Balancer.Pick(request)
}

func newBalancer(policy string, e *entryNode, s *service, options *options, seed uint64) (balance.Balancer, error) {
	switch policy {
	case "random":
		return regionFirst{balance.NewRandom(s.name, seed), e.place.Region}, nil
	case "round-robin":
		return regionFirst{balance.NewRoundRobin(s.name, seed), e.place.Region}, nil
	case "least-in-flight":
		return regionFirst{balance.NewLeastInFlight(s.name, seed), e.place.Region}, nil
	case "two-choices":
		return regionFirst{balance.NewTwoChoices(s.name, seed), e.place.Region}, nil
	case "pool":
		return balance.NewPool(balance.Config{
			Service: s.name,
			Self:    cluster.Member{Zone: e.place.Zone, Region: e.place.Region},
			Slots:   targetSlots, Queue: options.Queue, Probe: e.probe, ProbeBudget: e.byteBudget, Seed: seed,
			ZoneDelay: testnet.ZoneDelay, RegionDelay: testnet.RegionDelay,
		}), nil
	case "queues", "perfect":
		return &oracle{queuesOnly: policy == "queues", mu: &s.oracleMu, place: e.place, findTarget: s.target}, nil
	}
	return nil, &unknownPolicyError{policy}
}

// unknownPolicyError reports a policy name that is not in allPolicies.
type unknownPolicyError struct{ name string }

// Error implements error.
func (e *unknownPolicyError) Error() string {
	return fmt.Sprintf("policy %q is not one of %v", e.name, allPolicies)
}
