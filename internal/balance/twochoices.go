package balance

// TwoChoices draws two members and chooses the one with fewer attempts of this node in flight. It is a baseline for
// measurements.
type TwoChoices struct{ countedSet }

// NewTwoChoices returns a balancer without members.
func NewTwoChoices(service string, seed uint64) *TwoChoices {
	return &TwoChoices{newCountedSet(service, seed)}
}

// Pick implements Balancer.
func (c *TwoChoices) Pick(request Request) (Pick, error) {
	allowed, err := c.allowed(request)
	if err != nil {
		return Pick{}, err
	}
	first := c.intn(len(allowed))
	if len(allowed) == 1 {
		return allowed[first].take(), nil
	}
	second := (first + 1 + c.intn(len(allowed)-1)) % len(allowed)
	if allowed[second].inFlight.Load() < allowed[first].inFlight.Load() {
		first = second
	}
	return allowed[first].take(), nil
}
