package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/forward"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// PoliciesConfig configures Policies.
type PoliciesConfig struct {
	Self cluster.Member
	// Probe asks a node for its load; see balance.Config.
	Probe balance.ProbeFunc
	// Reach tries to connect to a node; see balance.Config.
	Reach func(ctx context.Context, member cluster.Member) bool
	// Bytes is the node's budget of measuring and control bytes.
	Bytes *budget.Bytes
	// Transport drops its connections to nodes that left.
	Transport *forward.Transport
	Metrics   *telemetry.Registry
	// StayInRegion and ZoneCost are those of balance.Config.
	StayInRegion bool
	ZoneCost     time.Duration
}

// Policies holds a balancer, a retry budget and a hedge budget for each service that the node reaches. Safe for
// concurrent use.
type Policies struct {
	config PoliciesConfig
	seen   atomic.Pointer[cluster.Snapshot]
	mu     sync.RWMutex
	byName map[string]*Policy
}

// Policy is what an entry node decides a service's sends by.
type Policy struct {
	balancer *balance.Pool
	retry    *budget.Ratio
	hedge    *budget.Ratio
}

// NewPolicies returns an empty set.
func NewPolicies(config PoliciesConfig) *Policies {
	policies := &Policies{config: config, byName: map[string]*Policy{}}
	policies.seen.Store(&cluster.Snapshot{})
	return policies
}

// Update takes over a snapshot that differs from the last one seen: members, budgets, and services that went away.
func (p *Policies) Update(snapshot *cluster.Snapshot) {
	if p.seen.Load() == snapshot {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen.Swap(snapshot) == snapshot || snapshot.List == nil {
		return
	}
	p.config.Bytes.SetLimits(budget.Limits(snapshot.List.Measuring))
	for name, policy := range p.byName {
		service := snapshot.Service(name)
		if service == nil {
			policy.balancer.Close()
			delete(p.byName, name)
			continue
		}
		policy.retry.SetPercent(service.Retry.BudgetPercent)
		policy.retry.SetBurst(burstOf(service, snapshot))
		policy.hedge.SetPercent(service.Retry.HedgePercent)
		policy.balancer.Update(snapshot.Members[name])
	}
	p.config.Transport.Forget(peerAddrs(snapshot))
}

// burstOf is this node's part of the retries that all nodes together may send at once; 0: the default.
func burstOf(service *servicelist.Service, snapshot *cluster.Snapshot) float64 {
	nodes := 0
	for _, members := range snapshot.Members {
		nodes += len(members)
	}
	return float64(service.Retry.SharedBurst) / float64(max(1, nodes))
}

func peerAddrs(snapshot *cluster.Snapshot) map[string]bool {
	addrs := map[string]bool{}
	for _, members := range snapshot.Members {
		for _, member := range members {
			addrs[member.PeerAddr] = true
		}
	}
	return addrs
}

// For returns the policy of a service, made on first use.
func (p *Policies) For(service *servicelist.Service) *Policy {
	p.mu.RLock()
	policy, ok := p.byName[service.Name]
	p.mu.RUnlock()
	if ok {
		return policy
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if policy, ok = p.byName[service.Name]; ok {
		return policy
	}
	policy = p.newPolicy(service)
	p.byName[service.Name] = policy
	return policy
}

func (p *Policies) newPolicy(service *servicelist.Service) *Policy {
	pool := balance.NewPool(balance.Config{
		Service:      service.Name,
		Self:         p.config.Self,
		Slots:        service.Limits.Slots,
		Probe:        p.config.Probe,
		Reach:        p.config.Reach,
		Bytes:        p.config.Bytes,
		Metrics:      p.config.Metrics,
		StayInRegion: p.config.StayInRegion,
		ZoneCost:     p.config.ZoneCost,
	})
	pool.Update(p.seen.Load().Members[service.Name])
	retry := budget.NewRatio(service.Retry.BudgetPercent, nil)
	retry.SetBurst(burstOf(service, p.seen.Load()))
	return &Policy{
		balancer: pool,
		retry:    retry,
		hedge:    budget.NewRatio(service.Retry.HedgePercent, nil),
	}
}

// Close ends the balancers' probes.
func (p *Policies) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, policy := range p.byName {
		policy.balancer.Close()
		delete(p.byName, name)
	}
}
