package main

import (
	"math/rand/v2"
	"time"

	"github.com/acacialock/acacialock/internal/testsite"
	"github.com/acacialock/acacialock/platform/standin"
)

const (
	// contact is the time after which the nodes must keep to a limit that a worker has first named.
	contact = 4 * time.Second
	// toldDelay is the time after which a node that passed on a statement of a worker is bound by it.
	toldDelay = 500 * time.Millisecond
	// statementTime is how long a worker names a limit: contact, two windows of the rule and a part.
	statementTime = 13 * time.Second
)

// makeStatements makes workers name limits, from below one request per second to above their capacity, or state that they
// leave, until s.ctx is done.
func (s *soak) makeStatements(random *rand.Rand) {
	for s.ctx.Err() == nil {
		n := s.site.Nodes[random.IntN(len(s.site.Nodes))]
		workers := n.Backend.Workers()
		worker := workers[len(workers)-1]
		if random.IntN(4) == 0 && s.claim(n) {
			s.logf("%s states that it leaves", worker.ID)
			worker.SetLeaving()
			s.sleep(contact)
			n.Backend.CrashWorker()
			s.reportError(n.Backend.StartWorker())
			s.release(n)
			continue
		}
		limit := []float64{0.3, 1, 3, 10, 100}[random.IntN(5)]
		s.logf("%s names a limit of %v/s", worker.ID, limit)
		worker.SetLimit(limit)
		s.sleep(statementTime/2 + time.Duration(random.Int64N(int64(statementTime))))
		worker.SetLimit(0)
	}
}

// recordDisturbance records the start or end of a fault at a node, which excuses it from what it was told before.
func (s *soak) recordDisturbance(n *testsite.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturbed[n.Name] = append(s.disturbed[n.Name], time.Now())
}

// checkStatements checks that no worker received requests beyond its limit, or after it stated that it leaves, from nodes
// that had passed on a response with the statement and were not disturbed since.
func (s *soak) checkStatements() {
	type pair struct{ node, worker string }
	worker := map[string]string{} // of each request that ran
	for _, run := range s.site.Runs.Runs {
		worker[run.Request] = run.Worker
	}
	node := map[string]string{} // at which each request began
	told := map[pair][]time.Time{}
	for _, r := range s.callers.requests.completed {
		node[r.id] = r.node
		if r.status != 0 && worker[r.id] != "" {
			told[pair{r.node, worker[r.id]}] = append(told[pair{r.node, worker[r.id]}], r.endedAt)
		}
	}
	for _, n := range s.site.Nodes {
		for _, w := range n.Backend.Workers() {
			bound := func(arrival standin.Arrival, statedAt time.Time) bool {
				from := latestBefore(s.disturbed[node[arrival.Request]], arrival.At)
				if statedAt.After(from) {
					from = statedAt
				}
				for _, at := range told[pair{node[arrival.Request], w.ID}] {
					if at.After(from) && at.Before(arrival.At.Add(-toldDelay)) {
						return true
					}
				}
				return false
			}
			for _, violation := range w.Arrivals.Violations(contact, testsite.DrainBound, bound) {
				s.recordViolation("worker %s: %s", w.ID, violation)
			}
		}
	}
}

// latestBefore returns the latest of the times before end, or the zero time.
func latestBefore(times []time.Time, end time.Time) time.Time {
	var latest time.Time
	for _, at := range times {
		if at.Before(end) && at.After(latest) {
			latest = at
		}
	}
	return latest
}
