package node

import (
	"fmt"
	"slices"
	"time"
)

// CheckIn is a periodic announcement by the local target of its identity, capacity and state.
type CheckIn struct {
	TargetID string
	Service  string
	Addr     string // host:port at which the target serves
	Slots    int    // requests that the target serves concurrently
	Draining bool
	// RemainingWarmUp is how much longer the target is slow after its start.
	RemainingWarmUp time.Duration
	Sequence        uint64 // increases with each check-in of one boot
	StartedAt       int64  // start of the target, Unix milliseconds of its own clock
}

func (c *CheckIn) boot() bootID { return bootID{c.TargetID, c.StartedAt} }

// Registrar receives the check-ins and the departure of the local target.
type Registrar interface {
	// CheckIn applies a check-in. It returns a *CheckInError if the check-in does not come from the local target. The
	// check-in takes effect before the call returns: once a draining check-in is acknowledged, the node starts no new
	// request at the target.
	CheckIn(checkIn CheckIn) error
	// Deregister records that the target has left. startedAt is 0 if the target did not report its start time.
	Deregister(targetID string, startedAt int64)
}

// CheckInError reports a check-in whose Field does not match this node's target.
type CheckInError struct{ Field, Value, Want string }

// Error implements error.
func (e *CheckInError) Error() string {
	return fmt.Sprintf("the check-in's %s is %q, this node's target has %q", e.Field, e.Value, e.Want)
}

const (
	// bootSilenceTimeout is the time without a check-in after which the current boot may be replaced by one with an
	// earlier start time. Targets check in every 1.5 s, and a late check-in can arrive seconds after its boot has
	// ended.
	bootSilenceTimeout = 5 * time.Second
	// replacementMinSpan is the time over which a boot with an earlier start time must check in before it is accepted
	// as new. Check-ins that were delayed by a network partition arrive together.
	replacementMinSpan = time.Second
	// confirmationMinSpan is the time over which a boot of an earlier process must check in before it is served without the
	// confirmation of its health path: three check-ins. A target that has left sends none; the late ones end.
	confirmationMinSpan = 2500 * time.Millisecond
	// maxRetiredBoots bounds the number of earlier boots that are remembered.
	maxRetiredBoots = 8
	// maxDepartures bounds the number of remembered departures of boots that were not the current one.
	maxDepartures = 16
)

// targetState tracks the current and earlier boots of the local target. It takes no locks and does no I/O.
type targetState struct {
	targetID  string
	startedAt int64
	sequence  uint64
	slots     int
	draining  bool
	departed  bool
	// leaving is set while the target states on its responses that it leaves, which it may withdraw. leavingHeardAt is when
	// it last did.
	leaving        bool
	leavingHeardAt time.Time

	// inherited is set while the boot is known from the row of an earlier process. That process may have acknowledged a
	// drain or departure that it could not store before it ended.
	inherited    bool
	firstCheckIn time.Time // first check-in of the current boot at this process; zero before
	lastHeard    time.Time // time of the last check-in or departure of the current boot
	candidate    candidateBoot
	retired      []bootID // earlier boots, oldest first
	// departures are acknowledged departures of boots that were not the current one when they arrived, oldest first. A
	// departure can overtake the check-ins of its boot, and it can arrive before the row of an earlier process is read.
	departures []departure
}

// bootID identifies one start of a target.
type bootID struct {
	targetID  string
	startedAt int64
}

// departure is an acknowledged departure of the boots of a target that started between two times, both included. A
// departure that names the start time covers that boot only, another one each boot that started before it arrived.
type departure struct {
	targetID                 string
	earliestStart, lastStart int64 // Unix milliseconds
}

func newDeparture(targetID string, startedAt int64, now time.Time) departure {
	if startedAt == 0 {
		return departure{targetID, 0, now.UnixMilli()}
	}
	return departure{targetID, startedAt, startedAt}
}

func (d departure) covers(id bootID) bool {
	return d.targetID == id.targetID && d.earliestStart <= id.startedAt && id.startedAt <= d.lastStart
}

// candidateBoot is an unknown boot with an earlier start time than the current one. Its check-ins are either late, or
// it is a new boot on a machine whose clock was set back.
type candidateBoot struct {
	bootID
	firstCheckIn time.Time // arrival of its first check-in
	sequence     uint64
}

// stateChange is the effect of a check-in on the target's state.
type stateChange int

const (
	changeNone     stateChange = iota // a repeated or late check-in
	changeNewBoot                     // a new boot of the target, ready or draining
	changeDraining                    // the current boot began to drain
)

// applyCheckIn updates the state with a check-in that arrived at time now and returns what changed. Late check-ins of
// earlier boots are ignored, as are those that a newer check-in of the same boot has overtaken. The drain or departure
// of a boot is never undone.
func (s *targetState) applyCheckIn(checkIn *CheckIn, now time.Time) stateChange {
	known := s.targetID != ""
	id := checkIn.boot()
	sameBoot := known && id == bootID{s.targetID, s.startedAt}
	switch {
	case !sameBoot && (slices.Contains(s.retired, id) || s.hasDeparted(id)):
		return changeNone
	case known && checkIn.StartedAt < s.startedAt && !s.confirmReplacement(checkIn, now):
		return changeNone
	case known && !sameBoot && checkIn.StartedAt == s.startedAt && checkIn.TargetID < s.targetID:
		return changeNone // equal start times: the id breaks the tie, so that the order of arrival does not matter
	case !sameBoot:
		s.startBoot(checkIn, now)
		return changeNewBoot
	case s.departed || checkIn.Sequence <= s.sequence:
		return changeNone
	}
	s.sequence, s.lastHeard = checkIn.Sequence, now
	if s.firstCheckIn.IsZero() {
		s.firstCheckIn = now
	}
	if checkIn.Draining && !s.draining {
		s.draining = true
		return changeDraining
	}
	return changeNone
}

// isDraining reports whether the target gets no new requests.
func (s *targetState) isDraining() bool { return s.draining || s.leaving }

// applyLeaving records that the target stated on a response that it leaves, and reports whether that is new.
func (s *targetState) applyLeaving(now time.Time) bool {
	isNew := !s.isDraining()
	s.leaving, s.leavingHeardAt = true, now
	return isNew
}

// leavingWithdrawalDelay is the time without a statement that the target leaves after which its health path is asked whether
// it still does. Targets that leave have a few seconds left.
const leavingWithdrawalDelay = 10 * time.Second

// mayHaveWithdrawn reports whether a target that stated that it leaves may serve again, because it goes on checking in as
// ready.
func (s *targetState) mayHaveWithdrawn(now time.Time) bool {
	return s.leaving && !s.draining && !s.departed && now.Sub(s.leavingHeardAt) >= leavingWithdrawalDelay
}

// startBoot makes a new boot the current one and retires the one before.
func (s *targetState) startBoot(checkIn *CheckIn, now time.Time) {
	retired := s.retired
	if s.targetID != "" {
		retired = append(retired, bootID{s.targetID, s.startedAt})
	}
	*s = targetState{
		targetID: checkIn.TargetID, startedAt: checkIn.StartedAt, sequence: checkIn.Sequence, slots: checkIn.Slots,
		draining: checkIn.Draining, firstCheckIn: now, lastHeard: now,
		retired:    retired[max(0, len(retired)-maxRetiredBoots):],
		departures: s.departures,
	}
}

// boot returns the current boot.
func (s *targetState) boot() bootID { return bootID{s.targetID, s.startedAt} }

// needsConfirmation reports whether the boot may have left without the knowledge of this process, so that a check-in alone,
// which may be a late one, does not show that it can be served.
func (s *targetState) needsConfirmation() bool {
	return s.inherited && !s.isDraining() && s.lastHeard.Sub(s.firstCheckIn) < confirmationMinSpan
}

// hasDeparted reports whether a departure that was received for another than the current boot covers the boot.
func (s *targetState) hasDeparted(id bootID) bool {
	return slices.ContainsFunc(s.departures, func(d departure) bool { return d.covers(id) })
}

// restore makes stored, the state that an earlier process wrote, the basis of what this process has received so far. Check-ins
// and departures that were acknowledged before the stored state was read have the same effect as if they had arrived after it.
func (s *targetState) restore(stored targetState, now time.Time) {
	received := *s
	switch {
	case stored.targetID == "" || slices.Contains(received.retired, stored.boot()):
		return // nothing is stored, or a newer boot has replaced it
	case received.boot() == stored.boot():
		s.sequence = max(s.sequence, stored.sequence)
		s.draining = s.draining || stored.draining
		s.departed = s.departed || stored.departed
		s.leaving, s.leavingHeardAt = stored.leaving, stored.leavingHeardAt
		s.inherited = true
		return
	}
	*s = stored
	s.inherited = true
	s.retired, s.departures = received.retired, received.departures
	for _, left := range s.departures {
		if left.covers(stored.boot()) {
			s.applyDeparture(stored.targetID, stored.startedAt, now)
		} else if left.targetID == stored.targetID && left.earliestStart > s.startedAt {
			s.applyDeparture(left.targetID, left.earliestStart, now)
		}
	}
	if received.targetID == "" {
		return
	}
	s.applyCheckIn(&CheckIn{
		TargetID: received.targetID, StartedAt: received.startedAt, Sequence: received.sequence, Slots: received.slots,
		Draining: received.draining,
	}, received.lastHeard)
	if received.departed {
		s.applyDeparture(received.targetID, received.startedAt, received.lastHeard)
	}
}

// confirmReplacement records a check-in of a boot with an earlier start time than the current one and reports whether
// that boot has replaced the current one: the current boot is silent while the other continues to check in.
func (s *targetState) confirmReplacement(checkIn *CheckIn, now time.Time) bool {
	id := checkIn.boot()
	if s.candidate.bootID != id {
		s.candidate = candidateBoot{id, now, checkIn.Sequence}
		return false
	}
	stillCheckingIn := checkIn.Sequence > s.candidate.sequence && now.Sub(s.candidate.firstCheckIn) >= replacementMinSpan
	s.candidate.sequence = max(s.candidate.sequence, checkIn.Sequence)
	return stillCheckingIn && now.Sub(s.lastHeard) >= bootSilenceTimeout
}

// applyDeparture marks the current boot as departed and draining. It reports false if that was applied before, or if the
// departure is of another boot, which is then not served if its check-ins arrive later. startedAt 0 matches any start time.
// The departure of a later start of the same target also ends the current boot, whose id that start shares.
func (s *targetState) applyDeparture(targetID string, startedAt int64, now time.Time) bool {
	if s.targetID != "" && s.targetID == targetID && startedAt > s.startedAt {
		s.startBoot(&CheckIn{TargetID: targetID, StartedAt: startedAt, Slots: s.slots}, now)
	}
	if s.targetID == "" || s.targetID != targetID || startedAt != 0 && startedAt != s.startedAt {
		s.recordDeparture(newDeparture(targetID, startedAt, now))
		return false
	}
	if s.departed {
		return false
	}
	s.departed = true
	s.draining = true
	s.lastHeard = now
	return true
}

// recordDeparture remembers the departure of a boot that is not the current one.
func (s *targetState) recordDeparture(left departure) {
	if slices.Contains(s.departures, left) {
		return
	}
	s.departures = append(slices.Clone(s.departures), left)
	s.departures = s.departures[max(0, len(s.departures)-maxDepartures):]
}
