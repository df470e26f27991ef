package node

import "time"

const (
	// callerDrainDelay is the time for which callers may continue to arrive after the node stopped being ready: two
	// readiness checks one second apart, and a request in flight.
	callerDrainDelay = 3 * time.Second
	// targetGracePeriod is the time for which a stopping node continues to send new requests to a target that stays.
	// Refusing them at once took each target out of service for 3 s during a rolling restart. It is half of
	// callerDrainDelay, for which a node waits anyway, and leaves 3.5 s of the platforms' shortest drain timeout, 6 s,
	// for requests in flight.
	targetGracePeriod = 1500 * time.Millisecond
	// exitMargin is the part of the drain timeout that is reserved for the exit of the process.
	exitMargin = 700 * time.Millisecond
	// answerMargin is the additional time, before exitMargin, in which calls that are abandoned because the node stops
	// can be answered. It covers a query to a target's node.
	answerMargin = 250 * time.Millisecond
)

// stopSchedule holds the times of a stop, counted from its start.
type stopSchedule struct {
	drainTarget    time.Duration // new requests to the target are refused
	closeListeners time.Duration // new requests of callers are not taken any more
	endCalls       time.Duration // calls that still run are abandoned and answered
	exit           time.Duration // the process exits, whether or not requests are in flight
}

// newStopSchedule divides the drain timeout. Callers are taken for half of it at most, so that the requests that came last
// have the time from closeListeners to endCalls; the platform counts a request that its node took and abandoned before the
// last sixth of the drain timeout as lost. With short timeouts all parts shrink in proportion.
func newStopSchedule(drainTimeout time.Duration) stopSchedule {
	margin := min(exitMargin+answerMargin, drainTimeout/6)
	endCalls := drainTimeout - margin
	return stopSchedule{
		drainTarget:    min(targetGracePeriod, drainTimeout/4),
		closeListeners: min(callerDrainDelay, drainTimeout/2),
		endCalls:       endCalls,
		exit:           endCalls + margin*answerMargin/(exitMargin+answerMargin),
	}
}
