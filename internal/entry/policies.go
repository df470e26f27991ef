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
	// Probe requests a load sample from a node; see balance.Config.
	Probe balance.ProbeFunc
	// CheckReachable tries to connect to a node; see balance.Config.
	CheckReachable func(ctx context.Context, member cluster.Member) bool
	// ByteBudget is the node's byte budget for load measurement and control traffic.
	ByteBudget *budget.ByteBudget
	// Transport holds the connections to other nodes. Update closes those to nodes that are no longer members.
	Transport *forward.Transport
	Metrics   *telemetry.Registry
	// StayInRegion and ZoneCost are passed to balance.Config.
	StayInRegion bool
	ZoneCost     time.Duration
}

// Policies holds the policies of the services that the node sends calls to. It is safe for concurrent use.
type Policies struct {
	config  PoliciesConfig
	applied atomic.Pointer[cluster.Snapshot] // snapshot of the last Update
	mu      sync.RWMutex
	byName  map[string]*Policy // by service name
}

// Policy is the balancer, the retry budget and the hedge budget of one service.
type Policy struct {
	balancer *balance.Pool
	retry    *budget.RetryBudget
	hedge    *budget.RetryBudget
}

// NewPolicies returns Policies without any service.
func NewPolicies(config PoliciesConfig) *Policies {
	policies := &Policies{config: config, byName: map[string]*Policy{}}
	policies.applied.Store(&cluster.Snapshot{})
	return policies
}

// Update applies the members and budgets of a snapshot, and drops the policies of services that it no longer has. It does
// nothing for the snapshot of the last Update.
func (p *Policies) Update(snapshot *cluster.Snapshot) {
	if p.applied.Load() == snapshot {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.applied.Swap(snapshot) == snapshot || snapshot.List == nil {
		return
	}
	p.config.ByteBudget.SetLimits(budget.Limits(snapshot.List.Measuring))
	for name, policy := range p.byName {
		service := snapshot.Service(name)
		if service == nil {
			policy.balancer.Close()
			delete(p.byName, name)
			continue
		}
		policy.retry.SetPercent(service.Retry.BudgetPercent)
		policy.retry.SetBurst(retryBurst(service, snapshot))
		policy.hedge.SetPercent(service.Retry.HedgePercent)
		policy.balancer.Update(snapshot.Candidates(name))
	}
	p.config.Transport.RetainOnly(peerAddrs(snapshot))
}

// retryBurst returns this node's share of the retries that all nodes together may send at once; 0: the default.
func retryBurst(service *servicelist.Service, snapshot *cluster.Snapshot) float64 {
	nodes := 0
	for _, members := range snapshot.Members {
		nodes += len(members)
	}
	return float64(service.Retry.SharedBurst) / float64(max(1, nodes))
}

// peerAddrs returns the set of the peer addresses of all members.
func peerAddrs(snapshot *cluster.Snapshot) map[string]bool {
	addrs := map[string]bool{}
	for _, members := range snapshot.Members {
		for _, member := range members {
			addrs[member.PeerAddr] = true
		}
	}
	return addrs
}

// For returns the policy of a service, which it creates on first use.
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
		Service:        service.Name,
		Self:           p.config.Self,
		Slots:          service.Limits.Slots,
		Probe:          p.config.Probe,
		CheckReachable: p.config.CheckReachable,
		ProbeBudget:    p.config.ByteBudget,
		Metrics:        p.config.Metrics,
		StayInRegion:   p.config.StayInRegion,
		ZoneCost:       p.config.ZoneCost,
	})
	pool.Update(p.applied.Load().Candidates(service.Name))
	retry := budget.NewRetryBudget(service.Retry.BudgetPercent, nil)
	retry.SetBurst(retryBurst(service, p.applied.Load()))
	return &Policy{
		balancer: pool,
		retry:    retry,
		hedge:    budget.NewRetryBudget(service.Retry.HedgePercent, nil),
	}
}

// Close stops the probes of all balancers and drops the policies.
func (p *Policies) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, policy := range p.byName {
		policy.balancer.Close()
		delete(p.byName, name)
	}
}
