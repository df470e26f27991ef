package keys

import (
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
)

// gate is the part of the state machine that claims and checks read. A claim holds the read lock from its checks to its
// record, so that after an install no claim of the older version can still be recorded.
type gate struct {
	mu        sync.RWMutex
	self      string
	service   string
	roster    *Roster // installed; nil before the first
	activated bool
	// earlier holds, while the roster is not activated, the last activated one and those installed since.
	earlier []*Roster
	until   time.Time // end of the member's authority
}

// install takes a roster of another version. The caller holds the write lock.
func (g *gate) install(roster *Roster) {
	if g.activated {
		g.earlier = nil
	}
	if g.activated || len(g.earlier) > 0 {
		g.earlier = append(g.earlier, g.roster)
	}
	g.roster = roster
	g.activated = false
	g.until = time.Time{}
}

// retains reports whether this member has owned the key in the last roster that it activated and ever since. Then it
// has all records of the key without collecting: another member could have granted the key only after collecting from
// this one at a version that this one had installed.
func (g *gate) retains(key string) bool {
	for _, roster := range g.earlier {
		if owner := roster.Owner(key); owner == nil || owner.ID != g.self {
			return false
		}
	}
	return len(g.earlier) > 0
}

// admit checks that this member may act at the version. The caller holds the read lock.
func (g *gate) admit(now time.Time, service string, version uint64) *failure.Error {
	if service != g.service {
		return failure.New(failure.WrongService, failure.NotRun, "node %s serves %s", g.self, g.service)
	}
	if g.roster == nil {
		return failure.New(failure.KeyOwnerNotReady, failure.NotRun, "node %s has no roster yet", g.self)
	}
	if version != g.roster.Version {
		return failure.New(failure.KeyRosterMismatch, failure.NotRun, "node %s is at roster version %d, not %d", g.self, g.roster.Version, version)
	}
	if g.roster.member(g.self) == nil || !now.Before(g.until) {
		return failure.New(failure.KeyAuthorityLapsed, failure.NotRun, "node %s has no authority at roster version %d", g.self, version)
	}
	return nil
}

// check is the runner's last gate; see Service.Check.
func (g *gate) check(now time.Time, service, key, owner string, version uint64) (time.Time, *failure.Error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if err := g.admit(now, service, version); err != nil {
		return time.Time{}, err
	}
	if holder := g.roster.Owner(key); holder == nil || holder.ID != owner {
		return time.Time{}, failure.New(failure.KeyRosterMismatch, failure.NotRun, "node %s does not own the key at version %d", owner, version)
	}
	return now.Add(g.until.Sub(now)), nil
}

// claim checks and records a claim at the owner.
func (g *gate) claim(now time.Time, req *rpc.ClaimRequest, records *store, keep time.Duration) *rpc.ClaimResponse {
	g.mu.RLock()
	defer g.mu.RUnlock()
	version := uint64(0)
	if g.roster != nil {
		version = g.roster.Version
	}
	if err := g.admitClaim(now, req); err != nil {
		return refusal(err, version)
	}
	holder, err := records.claim(now, g.storeClaim(req, keep))
	if err != nil {
		return refusal(err, version)
	}
	if holder != nil {
		return g.taken(holder, version)
	}
	return &rpc.ClaimResponse{Granted: true, RosterVersion: version}
}

func (g *gate) admitClaim(now time.Time, req *rpc.ClaimRequest) *failure.Error {
	if err := g.admit(now, req.Service, req.RosterVersion); err != nil {
		return err
	}
	if owner := g.roster.Owner(req.Key); owner == nil || owner.ID != g.self {
		return failure.New(failure.KeyRosterMismatch, failure.NotRun, "node %s does not own the key", g.self)
	}
	if !g.activated && !g.retains(req.Key) {
		return failure.New(failure.KeyOwnerNotReady, failure.NotRun, "node %s is still collecting records of version %d", g.self, g.roster.Version)
	}
	runner := g.roster.member(req.Runner)
	if runner == nil || runner.State != StateActive {
		return failure.New(failure.KeyRosterMismatch, failure.NotRun, "runner %s is not active at version %d", req.Runner, g.roster.Version)
	}
	if req.Runner == g.self && g.roster.activeCount() > 1 {
		return failure.New(failure.KeyRosterMismatch, failure.NotRun, "the owner %s must not run the request", g.self)
	}
	return nil
}

func (g *gate) storeClaim(req *rpc.ClaimRequest, keep time.Duration) claim {
	c := claim{key: req.Key, fingerprint: string(req.Fingerprint), attempt: attemptFrom(req.Attempt), owner: g.self,
		runner: g.roster.member(req.Runner).ID, version: g.roster.Version, keep: keep}
	if len(req.Replaces) != 0 {
		c.replaces = attemptFrom(req.Replaces)
	}
	c.historyLost = len(g.roster.Lost) != 0 && g.roster.historyLost(req.Key)
	c.present = func(id string) bool { return g.roster.member(id) != nil }
	return c
}

// taken answers with the attempt that holds the key; what a runner handed over counts only once the runner has left.
func (g *gate) taken(holder *candidate, version uint64) *rpc.ClaimResponse {
	response := &rpc.ClaimResponse{TakenAttempt: holder.attempt[:], TakenRunner: holder.runner, RosterVersion: version}
	if g.roster.member(holder.runner) == nil {
		response.Answer = holder.answer
		response.TakenState = holder.state
	}
	return response
}

func refusal(err *failure.Error, version uint64) *rpc.ClaimResponse {
	return &rpc.ClaimResponse{Reason: string(err.Reason), Outcome: string(err.Outcome), RosterVersion: version}
}
