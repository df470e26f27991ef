package balance

import "sync/atomic"

// RoundRobin selects the members in turn. It is a baseline for benchmarks.
type RoundRobin struct {
	memberSet
	next atomic.Uint64
}

// NewRoundRobin returns a balancer without members; the seed determines the first member.
func NewRoundRobin(service string, seed uint64) *RoundRobin {
	robin := &RoundRobin{memberSet: newMemberSet(service, seed)}
	robin.next.Store(seed % 1024)
	return robin
}

// Pick implements Balancer.
func (r *RoundRobin) Pick(request Request) (Pick, error) {
	allowed, err := r.allowed(request)
	if err != nil {
		return Pick{}, err
	}
	turn := r.next.Add(1) % uint64(len(allowed))
	return allowed[turn].startAttempt(), nil
}
