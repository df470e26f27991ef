package node

import (
	"fmt"
	"slices"
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

const (
	// silentBoot is the time without a check-in after which the known boot may have been replaced by one whose clock says an
	// earlier start. Targets check in each 1.5 s, and a late check-in arrives seconds after its boot has ended.
	silentBoot = 5 * time.Second
	// earlierSpan is the time over which a boot with an earlier start must check in to be taken for a new one. The check-ins
	// that a partition held back arrive together.
	earlierSpan = time.Second
	// maxRetired bounds the earlier boots that are remembered.
	maxRetired = 8
)

// targetState is what the node knows of the boots of its target. It holds no locks and does no I/O.
type targetState struct {
	id       string
	born     int64
	sequence uint64
	slots    int
	draining bool
	gone     bool

	heard   time.Time // of the last check-in or departure of the boot
	earlier earlierBoot
	retired []bootName // earlier boots, oldest first
}

type bootName struct {
	id   string
	born int64
}

// earlierBoot is an unknown boot that says it started before the known one: a late check-in, or a new boot on a machine
// whose time of day was set back.
type earlierBoot struct {
	bootName
	first    time.Time // of its check-ins
	sequence uint64
}

// change is what a check-in changes.
type change int

const (
	changeNone  change = iota // a repeated or late check-in
	changeBoot                // a new boot of the target, ready or draining
	changeDrain               // the known boot began to drain
)

// apply takes over a check-in that arrived now. A late one of an earlier boot changes nothing, nor does one that was
// overtaken by a later one of its boot. A drain or departure of a boot is never undone.
func (s *targetState) apply(announced *CheckIn, now time.Time) change {
	known := s.id != ""
	name := bootName{announced.TargetID, announced.Born}
	sameBoot := known && name == bootName{s.id, s.born}
	switch {
	case known && !sameBoot && slices.Contains(s.retired, name):
		return changeNone
	case known && announced.Born < s.born && !s.replacedBy(announced, now):
		return changeNone
	case known && !sameBoot && announced.Born == s.born && announced.TargetID < s.id:
		return changeNone // two ids with one birth: one order for all arrivals
	case !sameBoot:
		s.begin(announced, now)
		return changeBoot
	case s.gone || announced.Sequence <= s.sequence:
		return changeNone
	}
	s.sequence, s.heard = announced.Sequence, now
	if announced.Draining && !s.draining {
		s.draining = true
		return changeDrain
	}
	return changeNone
}

// begin takes over a new boot.
func (s *targetState) begin(announced *CheckIn, now time.Time) {
	retired := s.retired
	if s.id != "" {
		retired = append(retired, bootName{s.id, s.born})
	}
	*s = targetState{
		id: announced.TargetID, born: announced.Born, sequence: announced.Sequence, slots: announced.Slots,
		draining: announced.Draining, heard: now,
		retired: retired[max(0, len(retired)-maxRetired):],
	}
}

// replacedBy reports whether a boot that says it started before the known one is the one that runs now: the known one is
// silent, and the other goes on to check in.
func (s *targetState) replacedBy(announced *CheckIn, now time.Time) bool {
	name := bootName{announced.TargetID, announced.Born}
	if s.earlier.bootName != name {
		s.earlier = earlierBoot{name, now, announced.Sequence}
		return false
	}
	goesOn := announced.Sequence > s.earlier.sequence && now.Sub(s.earlier.first) >= earlierSpan
	s.earlier.sequence = max(s.earlier.sequence, announced.Sequence)
	return goesOn && now.Sub(s.heard) >= silentBoot
}

// leave takes over a departure and reports whether it concerns the known boot.
func (s *targetState) leave(id string, born int64, now time.Time) bool {
	if s.id != id || born != 0 && born != s.born || s.gone {
		return false
	}
	s.gone = true
	s.draining = true
	s.heard = now
	return true
}
