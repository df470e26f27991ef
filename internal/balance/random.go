package balance

// Random chooses each member with equal probability. It is a baseline for measurements.
type Random struct{ countedSet }

// NewRandom returns a balancer without members.
func NewRandom(service string, seed uint64) *Random {
	return &Random{newCountedSet(service, seed)}
}

// Pick implements Balancer.
func (r *Random) Pick(request Request) (Pick, error) {
	allowed, err := r.allowed(request)
	if err != nil {
		return Pick{}, err
	}
	return allowed[r.intn(len(allowed))].take(), nil
}
