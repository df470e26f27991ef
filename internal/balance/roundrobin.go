package balance

import "sync/atomic"

// RoundRobin chooses the members in turn. It is a baseline for measurements.
type RoundRobin struct {
	countedSet
	next atomic.Uint64
}

// NewRoundRobin returns a balancer without members; the seed sets the first member.
func NewRoundRobin(service string, seed uint64) *RoundRobin {
	robin := &RoundRobin{countedSet: newCountedSet(service, seed)}
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
	return allowed[turn].take(), nil
}
