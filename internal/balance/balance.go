// Package balance chooses the target of each attempt. There is one balancer per service and entry node.
package balance

import (
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Balancer chooses among the members of one service. Safe for concurrent use.
type Balancer interface {
	// Update replaces the member set. The slice is copied. State of members that stay is kept.
	Update(members []cluster.Member)
	// Pick chooses a member. The error is a *failure.Error with reason NoTarget and outcome NotRun. The caller
	// must call Done on the pick exactly once, also when the attempt was never sent.
	Pick(request Request) (Pick, error)
}

// Request describes one attempt. The zero value has no restriction.
type Request struct {
	// Exclude holds the ids of members that were already tried for the call.
	Exclude []string
	// Avoid is the id of a member that may not be chosen, for example the owner of the call's key.
	Avoid string
	// Region limits the choice to members of that region; empty means no limit. Keyed calls set the home region.
	Region string
	// Overflow asks for a member of another region for a call that the own region refused. Such calls are only taken while
	// the other regions have room.
	Overflow bool
	// Now is the time of the pick; the zero value means the balancer's clock.
	Now time.Time
}

// allows reports whether the request permits the member, which now has that id, at all.
func (r Request) allows(member *cluster.Member, id string) bool {
	if member.Draining || (r.Avoid != "" && id == r.Avoid) {
		return false
	}
	if r.Region != "" && member.Region != r.Region {
		return false
	}
	for _, excluded := range r.Exclude {
		if excluded == id {
			return false
		}
	}
	return true
}

// Pick is one chosen member.
type Pick struct {
	Member cluster.Member
	done   func(Result)
	doubt  func()
}

// NewPick returns a pick that reports its result to done, which must ignore all calls but the first.
func NewPick(member cluster.Member, done func(Result)) Pick {
	return Pick{Member: member, done: done}
}

// Done reports the end of the attempt: the answer's last byte, a refusal, a failure or a cancellation. Calls after
// the first are ignored.
func (p Pick) Done(result Result) {
	if p.done != nil {
		p.done(result)
	}
}

// Doubt reports that the member's node doesn't answer questions about the attempt, which goes on. The balancer then checks
// whether the member can be reached, so that other calls need not find out by a deadline of their own.
func (p Pick) Doubt() {
	if p.doubt != nil {
		p.doubt()
	}
}

// Class is what became of an attempt, as far as the choice of target is concerned.
type Class int

// Classes. The zero value is OK.
const (
	OK        Class = iota // the target answered
	Refused                // the target's node refused; Result.Reason says why
	Failed                 // no connection, a broken or silent connection, or a failed target
	Cancelled              // the caller went away or another attempt won; not held against the target's health
)

// Result reports one attempt.
type Result struct {
	Class  Class
	Reason failure.Reason // of a refusal or failure
	// Current is the id that the member's node has since it restarted, when the refusal tells it. Later picks use it until
	// Update brings the new member.
	Current string
	// Sample is the load sample in the answer's header, or nil.
	Sample *wire.LoadSample
	// SampleAt is when the header arrived; the zero value means now.
	SampleAt time.Time
	// Latency is the time from the send to the first byte of the answer; 0 when there was none.
	Latency time.Duration
}

func noTarget(service string, members int) error {
	return failure.New(failure.NoTarget, failure.NotRun,
		"service %q has %d members and none may be chosen for this attempt", service, members)
}
