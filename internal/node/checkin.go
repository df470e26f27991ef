package node

import (
	"fmt"
	"time"
)

// CheckIn is what the local target says of itself.
type CheckIn struct {
	TargetID string
	Service  string
	Addr     string // host:port at which the target serves
	Slots    int    // requests that it serves at once
	Draining bool
	Cold     time.Duration // how much longer it is slow after its start
	Sequence uint64        // rises with each check-in of one boot
	Born     int64         // start of the target, Unix milliseconds of its clock
}

// Registrar takes the announcements of the local target.
type Registrar interface {
	// CheckIn takes a check-in. It fails with *CheckInError when the check-in does not come from the local target. The
	// node acts on it before the call returns: after a draining one it starts no new request.
	CheckIn(announced CheckIn) error
	// Leave takes the target's departure; born is 0 when the target did not say it.
	Leave(targetID string, born int64)
}

// CheckInError reports a check-in that names no target of this node.
type CheckInError struct{ Field, Value, Want string }

// Error implements error.
func (e *CheckInError) Error() string {
	return fmt.Sprintf("the check-in's %s is %q, this node's target has %q", e.Field, e.Value, e.Want)
}

// targetState is what the node knows of the boots of its target. It holds no locks and does no I/O.
type targetState struct {
	id       string
	born     int64
	sequence uint64
	draining bool
	gone     bool
}

// change is what a check-in changes.
type change int

const (
	changeNone  change = iota // a repeated or late check-in
	changeBoot                // a new boot of the target, ready or draining
	changeDrain               // the known boot began to drain
)

// apply takes over a check-in. A late one of an earlier boot changes nothing, nor does one that was overtaken by a later
// one of its boot. A drain or departure of a boot is never undone.
func (s *targetState) apply(announced *CheckIn) change {
	known := s.id != ""
	sameBoot := known && announced.TargetID == s.id && announced.Born == s.born
	switch {
	case known && announced.Born < s.born:
		return changeNone
	case known && !sameBoot && announced.Born == s.born && announced.TargetID < s.id:
		return changeNone // two ids with one birth: one order for all arrivals
	case !sameBoot:
		*s = targetState{id: announced.TargetID, born: announced.Born, sequence: announced.Sequence, draining: announced.Draining}
		return changeBoot
	case s.gone || announced.Sequence <= s.sequence:
		return changeNone
	}
	s.sequence = announced.Sequence
	if announced.Draining && !s.draining {
		s.draining = true
		return changeDrain
	}
	return changeNone
}

// leave takes over a departure and reports whether it concerns the known boot.
func (s *targetState) leave(id string, born int64) bool {
	if s.id != id || born != 0 && born != s.born || s.gone {
		return false
	}
	s.gone = true
	s.draining = true
	return true
}
