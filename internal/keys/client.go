package keys

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// claimRetryInterval is the mean delay between two attempts of a claim; jitter is ±50%.
	claimRetryInterval = 50 * time.Millisecond
	// maxRosterSources is the number of members that are queried for a roster before the table is read.
	maxRosterSources = 3
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Self is the entry node that sends the claims.
	Self cluster.Member
	// View holds the members known to the control plane.
	View *cluster.View
	// Table holds the roster rows; it is read when no queried member returns a newer roster. nil: it is never read.
	Table platform.Table
	// Keys returns the RPC client for the node with the given peer address.
	Keys func(addr string) rpc.Keys
	// ClaimTimeout is the deadline of one claim, retries included; default 2 s.
	ClaimTimeout time.Duration
	// CallTimeout is the timeout of each call to a member or to the table; default 1 s.
	CallTimeout time.Duration
	// GrantLife is the time after a claim within which its attempt may be sent; the client uses half of it. Default
	// 2 min; all nodes must have the same value.
	GrantLife time.Duration
	// Clock is the time source; default: the system clock.
	Clock Clock
	// Seed seeds the random source for jitter and the order of members; 0: a random seed.
	Seed uint64
}

// Client claims keys at their owners on behalf of an entry node and caches the rosters. It is safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	fetches singleflight.Group
	mu      sync.Mutex
	rng     *rand.Rand
	rosters map[string]*Roster
}

// NewClient returns a client with an empty roster cache, after filling in the defaults of cfg.
func NewClient(cfg ClientConfig) *Client {
	cfg.ClaimTimeout = orDefault(cfg.ClaimTimeout, 2*time.Second)
	cfg.CallTimeout = orDefault(cfg.CallTimeout, DefaultCallTimeout)
	cfg.GrantLife = orDefault(cfg.GrantLife, DefaultGrantLife)
	cfg.Clock = orDefault[Clock](cfg.Clock, systemClock{})
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	return &Client{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), rosters: map[string]*Roster{}}
}

// ClaimArgs are the arguments of a claim: one attempt that requests the right to run the request with a key.
type ClaimArgs struct {
	Service     string
	Key         string
	Fingerprint []byte         // digest of the method and path
	Attempt     wire.AttemptID // unique per attempt; a claim may be retried with the same ID
	Runner      string         // member ID of the runner; one of Roster.Runners
	Replaces    wire.AttemptID // earlier attempt proven not to have run; zero: none
}

// ClaimResult is the result of a claim: either the right to run the attempt or the attempt that already holds the key.
type ClaimResult struct {
	// Granted reports whether the attempt may be sent to its runner. It must be sent before SendBefore and carry Owner
	// and RosterVersion.
	Granted       bool
	Owner         string // member ID of the owner of the key
	RosterVersion uint64
	SendBefore    time.Time // on the clock of the entry node
	// Conflict describes the attempt that holds the key when Granted is false.
	Conflict ConflictingAttempt
}

// ConflictingAttempt describes the attempt that holds a key. It may have run.
type ConflictingAttempt struct {
	Attempt wire.AttemptID
	Runner  string
	// RunnerAddr is the runner's peer address; empty: the runner is gone and can't be queried.
	RunnerAddr string
	// State and Answer were handed over by a runner that has left the roster. State is ATTEMPT_UNKNOWN when the runner
	// handed nothing over or is still a member.
	State  rpc.AttemptState
	Answer *rpc.Answer
}

// Claim requests the right to run the attempt from the owner of the key. It retries for up to ClaimTimeout and
// refreshes the roster when the roster was the cause. Errors are *failure.Error; the outcome not-run refers to this
// attempt only: an earlier attempt with the same key may have run.
func (c *Client) Claim(ctx context.Context, args ClaimArgs) (ClaimResult, error) {
	start := c.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ClaimTimeout)
	defer cancel()
	var stale *Roster
	for {
		roster, err := c.roster(ctx, args.Service, stale)
		if err != nil {
			return ClaimResult{}, err
		}
		claimResult, retryable, claimErr := c.tryClaim(ctx, roster, args)
		if claimErr == nil {
			claimResult.SendBefore = start.Add(c.cfg.GrantLife / 2)
			return claimResult, nil
		}
		if !retryable || !c.waitBeforeRetry(ctx) {
			return ClaimResult{}, claimErr
		}
		stale = nil
		if claimErr.Reason == failure.KeyRosterMismatch || claimErr.Reason == failure.KeyOwnerUnreachable {
			stale = roster
		}
	}
}

// tryClaim sends the claim once. retryable reports whether a retry may succeed.
func (c *Client) tryClaim(ctx context.Context, roster *Roster, args ClaimArgs) (claimResult ClaimResult, retryable bool, claimErr *failure.Error) {
	owner := roster.Owner(args.Key)
	if owner == nil {
		return claimResult, true, failure.New(failure.KeyOwnerUnreachable, failure.NotRun, "service %s has no active key member", args.Service)
	}
	if !slices.ContainsFunc(roster.Runners(args.Key), func(m Member) bool { return m.ID == args.Runner }) {
		return claimResult, true, failure.New(failure.KeyRosterMismatch, failure.NotRun, "%s can't run the key at roster version %d", args.Runner, roster.Version)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	response, err := c.cfg.Keys(owner.PeerAddr).Claim(callCtx, claimRequest(roster, args))
	if err != nil {
		return claimResult, true, failure.Wrap(err, failure.KeyOwnerUnreachable, failure.NotRun, "claim at %s", owner.ID)
	}
	if response.Reason != "" {
		reason := failure.Reason(response.Reason)
		return claimResult, isRetryable(reason), failure.New(reason, failure.Outcome(response.Outcome), "claim refused by %s at roster version %d", owner.ID, response.RosterVersion)
	}
	return c.claimResultFromResponse(roster, owner, response), false, nil
}

func claimRequest(roster *Roster, args ClaimArgs) *rpc.ClaimRequest {
	request := &rpc.ClaimRequest{Service: args.Service, Key: args.Key, Fingerprint: args.Fingerprint, Attempt: args.Attempt[:],
		Runner: args.Runner, RosterVersion: roster.Version}
	if args.Replaces != (wire.AttemptID{}) {
		request.Replaces = args.Replaces[:]
	}
	return request
}

// isRetryable reports whether a claim refused for the reason may succeed with a newer roster or a little later.
func isRetryable(reason failure.Reason) bool {
	return reason == failure.KeyRosterMismatch || reason == failure.KeyOwnerNotReady || reason == failure.KeyAuthorityLapsed
}

// claimResultFromResponse converts the response to a claim that was not refused.
func (c *Client) claimResultFromResponse(roster *Roster, owner *Member, response *rpc.ClaimResponse) ClaimResult {
	claimResult := ClaimResult{Granted: response.Granted, Owner: owner.ID, RosterVersion: response.RosterVersion}
	if response.Granted {
		return claimResult
	}
	copy(claimResult.Conflict.Attempt[:], response.TakenAttempt)
	claimResult.Conflict.Runner = response.TakenRunner
	claimResult.Conflict.State = response.TakenState
	claimResult.Conflict.Answer = response.Answer
	claimResult.Conflict.RunnerAddr = c.runnerAddr(roster, response.TakenRunner)
	return claimResult
}

// runnerAddr returns the runner's peer address from the roster or, when the runner has left the roster but its node
// still runs, from the members known to the control plane. It returns an empty string when neither lists the runner.
func (c *Client) runnerAddr(roster *Roster, id string) string {
	if runner := roster.member(id); runner != nil {
		return runner.PeerAddr
	}
	for _, node := range c.cfg.View.Load().Members[roster.Service] {
		if node.ID == id {
			return node.PeerAddr
		}
	}
	return ""
}

// waitBeforeRetry waits for a jittered claimRetryInterval. It returns false when ctx ended first.
func (c *Client) waitBeforeRetry(ctx context.Context) bool {
	c.mu.Lock()
	wait := claimRetryInterval/2 + time.Duration(c.rng.Int64N(int64(claimRetryInterval)))
	c.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Roster returns the service's roster, from the cache if present. Errors are *failure.Error.
func (c *Client) Roster(ctx context.Context, service string) (*Roster, error) {
	return c.roster(ctx, service, nil)
}

// Refresh returns a roster newer than stale if one can be found, otherwise the newest known one. Errors are
// *failure.Error and occur only when no roster is known.
func (c *Client) Refresh(ctx context.Context, service string, stale *Roster) (*Roster, error) {
	return c.roster(ctx, service, stale)
}

func (c *Client) roster(ctx context.Context, service string, stale *Roster) (*Roster, error) {
	if cached := c.cachedRoster(service); cached != nil && (stale == nil || cached.Commit > stale.Commit) {
		return cached, nil
	}
	_, err, _ := c.fetches.Do(service, func() (any, error) { return nil, c.fetch(ctx, service, stale) })
	if cached := c.cachedRoster(service); cached != nil {
		return cached, nil
	}
	return nil, failure.Wrap(err, failure.KeyOwnerUnreachable, failure.NotRun, "no roster of service %s", service)
}

func (c *Client) cachedRoster(service string) *Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rosters[service]
}

// fetch queries a few members and then the table until it finds a roster newer than stale, and caches what it finds.
func (c *Client) fetch(ctx context.Context, service string, stale *Roster) error {
	var memberErr error
	for _, addr := range c.sampleMemberAddrs(service) {
		roster, err := c.fetchFromMember(ctx, addr, service)
		if err != nil {
			memberErr = err
			continue
		}
		if c.cacheIfNewer(service, roster, stale) {
			return nil
		}
	}
	if c.cfg.Table == nil {
		return memberErr
	}
	roster, err := c.fetchFromTable(ctx, service)
	if err != nil {
		return errors.Join(memberErr, err)
	}
	c.cacheIfNewer(service, roster, stale)
	return nil
}

// sampleMemberAddrs returns the peer addresses of up to maxRosterSources members, chosen at random from the cached
// roster and the view.
func (c *Client) sampleMemberAddrs(service string) []string {
	var addrs []string
	if cached := c.cachedRoster(service); cached != nil {
		for _, m := range cached.Members {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	for _, m := range c.cfg.View.Load().Members[service] {
		if !slices.Contains(addrs, m.PeerAddr) {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	c.mu.Lock()
	c.rng.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	c.mu.Unlock()
	return addrs[:min(len(addrs), maxRosterSources)]
}

func (c *Client) fetchFromMember(ctx context.Context, addr, service string) (*Roster, error) {
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	response, err := c.cfg.Keys(addr).Roster(callCtx, &rpc.RosterRequest{Service: service})
	if err != nil {
		return nil, err
	}
	return parseRoster(response.Roster)
}

func (c *Client) fetchFromTable(ctx context.Context, service string) (*Roster, error) {
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	row, err := c.cfg.Table.Get(callCtx, cluster.RosterKey(service))
	if err != nil {
		return nil, err
	}
	return parseRoster(row.Value)
}

// cacheIfNewer caches the roster unless a newer one is cached, and reports whether it is newer than stale.
func (c *Client) cacheIfNewer(service string, roster, stale *Roster) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.rosters[service]; known == nil || roster.Commit > known.Commit {
		c.rosters[service] = roster
	}
	return stale == nil || roster.Commit > stale.Commit
}
