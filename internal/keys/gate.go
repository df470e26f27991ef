package keys

import (
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
)

// gate is the part of the state machine's state that claims and checks read, and admits or refuses them. A claim holds
// the read lock from its checks until it is recorded, so that no claim at an older roster version can be recorded after
// a newer roster was installed.
type gate struct {
	mu        sync.RWMutex
	self      string
	service   string
	roster    *Roster // the installed roster; nil: none yet
	activated bool
	// previousRosters holds, while the installed roster is not activated, the last activated one and those installed
	// after it, without the current one.
	previousRosters []*Roster
	expiry          time.Time // end of this member's authority
}

// install replaces the roster by one of another version. The caller must hold the write lock.
func (g *gate) install(roster *Roster) {
	if g.activated {
		g.previousRosters = nil
	}
	if g.activated || len(g.previousRosters) > 0 {
		g.previousRosters = append(g.previousRosters, g.roster)
	}
	g.roster = roster
	g.activated = false
	g.expiry = time.Time{}
}

// ownsContinuously reports whether this member has owned the key in the last roster that it activated and in every one
// installed since. If so, it has all records of the key before it has collected any: another member could have granted
// the key only after collecting from this member at a version that this member had installed.
func (g *gate) ownsContinuously(key string) bool {
	for _, roster := range g.previousRosters {
		if owner := roster.Owner(key); owner == nil || owner.ID != g.self {
			return false
		}
	}
	return len(g.previousRosters) > 0
}

// admit checks that this member may act for the service at the roster version. The caller must hold the read lock.
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
	if g.roster.member(g.self) == nil || !now.Before(g.expiry) {
		return failure.New(failure.KeyAuthorityLapsed, failure.NotRun, "node %s has no authority at roster version %d", g.self, version)
	}
	return nil
}

// checkDispatch is the runner's check immediately before dispatch; see Service.Check.
func (g *gate) checkDispatch(now time.Time, service, key, owner string, version uint64) (time.Time, *failure.Error) {
	g.mu.RLock()
	defer g.mu.RUnlock()
	if err := g.admit(now, service, version); err != nil {
		return time.Time{}, err
	}
	if keyOwner := g.roster.Owner(key); keyOwner == nil || keyOwner.ID != owner {
		return time.Time{}, failure.New(failure.KeyRosterMismatch, failure.NotRun, "node %s does not own the key at version %d", owner, version)
	}
	return now.Add(g.expiry.Sub(now)), nil
}

// claim checks a claim at the owner and, if it is granted, records it for the retention time.
func (g *gate) claim(now time.Time, req *rpc.ClaimRequest, records *store, retention time.Duration) *rpc.ClaimResponse {
	g.mu.RLock()
	defer g.mu.RUnlock()
	version := uint64(0)
	if g.roster != nil {
		version = g.roster.Version
	}
	if err := g.admitClaim(now, req); err != nil {
		return refusal(err, version)
	}
	holder, err := records.claim(now, g.newClaim(req, retention))
	if err != nil {
		return refusal(err, version)
	}
	if holder != nil {
		return g.conflictResponse(holder, version)
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
	if !g.activated && !g.ownsContinuously(req.Key) {
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

func (g *gate) newClaim(req *rpc.ClaimRequest, retention time.Duration) claim {
	c := claim{key: req.Key, fingerprint: string(req.Fingerprint), attempt: parseAttemptID(req.Attempt), owner: g.self,
		runner: g.roster.member(req.Runner).ID, version: g.roster.Version, retention: retention}
	if len(req.Replaces) != 0 {
		c.replaces = parseAttemptID(req.Replaces)
	}
	c.historyLost = len(g.roster.Lost) != 0 && g.roster.historyLost(req.Key)
	c.isMember = func(id string) bool { return g.roster.member(id) != nil }
	return c
}

// conflictResponse returns the response that names the attempt which holds the key. It includes the state and answer
// that the runner handed over only if the runner has left the roster; otherwise the runner itself must be queried.
func (g *gate) conflictResponse(holder *candidate, version uint64) *rpc.ClaimResponse {
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
