// Package balance selects the target member for each attempt. There is one balancer per service and entry node.
package balance

import (
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Balancer selects among the members of one service. It is safe for concurrent use.
type Balancer interface {
	// Update replaces the member set. The slice is copied. The state of members that remain in the set is preserved.
	Update(members []cluster.Member)
	// Pick selects a member. The error is a *failure.Error with reason NoTarget and outcome NotRun. The caller must
	// call Done on the pick exactly once, even if the attempt was never sent.
	Pick(request Request) (Pick, error)
}

// Request describes one attempt. The zero value imposes no restriction.
type Request struct {
	// Exclude holds the ids of members that were already tried for the call.
	Exclude []string
	// Avoid is the id of a member that must not be selected, for example the owner of the call's key.
	Avoid string
	// Region restricts the selection to members of that region; empty means no restriction. Keyed calls set the home
	// region.
	Region string
	// Regions restricts the selection to members of these regions; empty means no restriction. If this node's own region is
	// not among them, the call is sent to another one like any other call.
	Regions []string
	// Overflow requests a member of another region for a call that the node's own region refused. Such calls are
	// admitted only while the other regions have capacity.
	Overflow bool
	// Now is the time of the pick; the zero value means the balancer's clock.
	Now time.Time
}

// allows reports whether the request may be sent to member. id is the member's current id, which differs from
// member.ID after the member's node has restarted.
func (r *Request) allows(member *cluster.Member, id string) bool {
	if member.Draining || (r.Avoid != "" && id == r.Avoid) {
		return false
	}
	if r.Region != "" && member.Region != r.Region {
		return false
	}
	if !r.allowsRegion(member.Region) {
		return false
	}
	for _, excluded := range r.Exclude {
		if excluded == id {
			return false
		}
	}
	return true
}

// allowsRegion reports whether the request may be sent to members of a region by Regions.
func (r *Request) allowsRegion(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Pick is the member selected for one attempt.
type Pick struct {
	Member cluster.Member
	// Limited is true if every member that may be selected accepts no request at the moment, by the limits that the targets
	// name. Member is then the one that accepts the next.
	Limited            bool
	done               func(Result)
	reportUnresponsive func()
}

// NewPick returns a pick that passes its result to done, which must ignore all calls except the first.
func NewPick(member cluster.Member, done func(Result)) Pick {
	return Pick{Member: member, done: done}
}

// Done reports the end of the attempt: the last byte of the response, a refusal, a failure or a cancellation. Calls
// after the first are ignored.
func (p Pick) Done(result Result) {
	if p.done != nil {
		p.done(result)
	}
}

// ReportUnresponsive reports that the member's node does not answer queries about the attempt, which is still in
// progress. The balancer then checks whether the member is reachable, so that other calls do not each run into their
// own deadline.
func (p Pick) ReportUnresponsive() {
	if p.reportUnresponsive != nil {
		p.reportUnresponsive()
	}
}

// Class is the outcome of an attempt as far as target selection is concerned.
type Class int

// Classes of results. The zero value is OK.
const (
	OK        Class = iota // the target responded
	Refused                // the target's node refused the attempt; Result.Reason holds the cause
	Failed                 // no connection, a broken or silent connection, or a target that failed
	Cancelled              // the caller disconnected or another attempt won; does not affect the member's health
)

// Result reports the end of one attempt.
type Result struct {
	Class  Class
	Reason failure.Reason // cause of a refusal or failure
	// LimitNamed is true if the member's target names a limit for the requests per second that it accepts.
	LimitNamed bool
	// ColdFor is the time for which the member's target still warms up; 0: it is warm, or that is not known.
	ColdFor time.Duration
	// RetryAfter is the time after which the member's node expects to admit a request; 0: not known.
	RetryAfter time.Duration
	// CurrentID is the id of the member's node since its restart, if the refusal carries it. Later picks use it until
	// Update supplies the new member.
	CurrentID string
	// Sample is the load sample from the response header, or nil.
	Sample *wire.LoadSample
	// SampleReceivedAt is the arrival time of the header; the zero value means now.
	SampleReceivedAt time.Time
	// Latency is the time from sending the attempt to the first byte of the response; 0 if there was no response.
	Latency time.Duration
}

func noTarget(service string, members int) error {
	return failure.New(failure.NoTarget, failure.NotRun,
		"service %q has %d members and none may be chosen for this attempt", service, members)
}
