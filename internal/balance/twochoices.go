package balance

// TwoChoices draws two members at random and selects the one with fewer attempts of this node in flight. It is a
// baseline for benchmarks.
type TwoChoices struct{ memberSet }

// NewTwoChoices returns a balancer without members. The seed determines the random selection.
func NewTwoChoices(service string, seed uint64) *TwoChoices {
	return &TwoChoices{newMemberSet(service, seed)}
}

// Pick implements Balancer.
func (c *TwoChoices) Pick(request Request) (Pick, error) {
	allowed, err := c.allowed(request)
	if err != nil {
		return Pick{}, err
	}
	first := c.intn(len(allowed))
	if len(allowed) == 1 {
		return allowed[first].startAttempt(), nil
	}
	second := (first + 1 + c.intn(len(allowed)-1)) % len(allowed)
	if allowed[second].inFlight.Load() < allowed[first].inFlight.Load() {
		first = second
	}
	return allowed[first].startAttempt(), nil
}
