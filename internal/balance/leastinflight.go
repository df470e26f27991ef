package balance

// LeastInFlight selects the member with the fewest attempts of this node in flight, at random among equals. It is a
// baseline for benchmarks: it does not know what other nodes send.
type LeastInFlight struct{ memberSet }

// NewLeastInFlight returns a balancer without members. The seed determines the random selection.
func NewLeastInFlight(service string, seed uint64) *LeastInFlight {
	return &LeastInFlight{newMemberSet(service, seed)}
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
	return best.startAttempt(), nil
}
