package balance

// Random selects each member with equal probability. It is a baseline for benchmarks.
type Random struct{ memberSet }

// NewRandom returns a balancer without members. The seed determines the random selection.
func NewRandom(service string, seed uint64) *Random {
	return &Random{newMemberSet(service, seed)}
}

// Pick implements Balancer.
func (r *Random) Pick(request Request) (Pick, error) {
	allowed, err := r.allowed(request)
	if err != nil {
		return Pick{}, err
	}
	return allowed[r.intn(len(allowed))].startAttempt(), nil
}
