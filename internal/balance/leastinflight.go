package balance

// LeastInFlight chooses the member with the fewest attempts of this node in flight, at random among equals. It is a
// baseline for measurements: it does not know what other nodes send.
type LeastInFlight struct{ countedSet }

// NewLeastInFlight returns a balancer without members.
func NewLeastInFlight(service string, seed uint64) *LeastInFlight {
	return &LeastInFlight{newCountedSet(service, seed)}
}

// Pick implements Balancer.
func (l *LeastInFlight) Pick(request Request) (Pick, error) {
	allowed, err := l.allowed(request)
	if err != nil {
		return Pick{}, err
	}
	offset := l.intn(len(allowed))
	best := allowed[offset]
	for i := range allowed {
		other := allowed[(offset+i)%len(allowed)]
		if other.inFlight.Load() < best.inFlight.Load() {
			best = other
		}
	}
	return best.take(), nil
}
