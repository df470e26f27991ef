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
	// claimPause is the pause between tries of a claim, jittered.
	claimPause = 50 * time.Millisecond
	// rosterSources is how many members are asked for a roster before the table.
	rosterSources = 3
)

// ClientConfig sets up a Client.
type ClientConfig struct {
	// Self is the entry node.
	Self cluster.Member
	// View gives the members that control knows.
	View *cluster.View
	// Table is read when no member answers; nil: never.
	Table platform.Table
	// Keys returns the client of the node with that peer address.
	Keys func(addr string) rpc.Keys
	// ClaimWait bounds the tries of one claim; default 2 s.
	ClaimWait time.Duration
	// CallTimeout bounds each call to a member or the table; default 1 s.
	CallTimeout time.Duration
	// GrantLife is the time after a claim in which its attempt may be sent; default 2 min. Equal in all nodes.
	GrantLife time.Duration
	// Clock is the time source; default the system's.
	Clock Clock
	// Seed makes jitter reproducible; 0: random.
	Seed uint64
}

// Client claims keys for an entry node. Safe for concurrent use.
type Client struct {
	cfg     ClientConfig
	flight  singleflight.Group
	mu      sync.Mutex
	rng     *rand.Rand
	rosters map[string]*Roster
}

// NewClient returns a client with an empty cache.
func NewClient(cfg ClientConfig) *Client {
	cfg.ClaimWait = orDefault(cfg.ClaimWait, 2*time.Second)
	cfg.CallTimeout = orDefault(cfg.CallTimeout, DefaultCallTimeout)
	cfg.GrantLife = orDefault(cfg.GrantLife, DefaultGrantLife)
	cfg.Clock = orDefault[Clock](cfg.Clock, systemClock{})
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	return &Client{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), rosters: map[string]*Roster{}}
}

// ClaimArgs is a claim of a key for one attempt.
type ClaimArgs struct {
	Service     string
	Key         string
	Fingerprint []byte         // digest of method and path
	Attempt     wire.AttemptID // new for each attempt; a claim may be repeated with the same one
	Runner      string         // member id; one of Roster.Runners
	Replaces    wire.AttemptID // attempt proven not to have run; zero: none
}

// Grant is the answer to a claim.
type Grant struct {
	// Granted allows the attempt to be sent to its runner, before SendBefore, with Owner and RosterVersion.
	Granted       bool
	Owner         string
	RosterVersion uint64
	SendBefore    time.Time
	// Taken describes the attempt that holds the key when Granted is false.
	Taken Taken
}

// Taken is an attempt that may have run.
type Taken struct {
	Attempt wire.AttemptID
	Runner  string
	// RunnerAddr is the runner's peer address; empty: the runner is gone and can't be asked.
	RunnerAddr string
	// State and Answer are what a runner handed over that has left; State is ATTEMPT_UNKNOWN when it did not.
	State  rpc.AttemptState
	Answer *rpc.Answer
}

// Claim asks the owner of the key for the right to run the attempt. It refreshes the roster and tries again within
// ClaimWait. Errors are *failure.Error; their outcome not-run speaks of this attempt only, an earlier one of the key may
// have run.
func (c *Client) Claim(ctx context.Context, args ClaimArgs) (Grant, error) {
	start := c.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.ClaimWait)
	defer cancel()
	var stale *Roster
	for {
		roster, err := c.roster(ctx, args.Service, stale)
		if err != nil {
			return Grant{}, err
		}
		grant, again, failed := c.try(ctx, roster, args)
		if failed == nil {
			grant.SendBefore = start.Add(c.cfg.GrantLife / 2)
			return grant, nil
		}
		if !again || !c.pause(ctx) {
			return Grant{}, failed
		}
		stale = nil
		if failed.Reason == failure.KeyRosterMismatch || failed.Reason == failure.KeyOwnerGone {
			stale = roster
		}
	}
}

// try sends the claim once; again tells whether another try may succeed.
func (c *Client) try(ctx context.Context, roster *Roster, args ClaimArgs) (grant Grant, again bool, failed *failure.Error) {
	owner := roster.Owner(args.Key)
	if owner == nil {
		return grant, true, failure.New(failure.KeyOwnerGone, failure.NotRun, "service %s has no active key member", args.Service)
	}
	if !slices.ContainsFunc(roster.Runners(args.Key), func(m Member) bool { return m.ID == args.Runner }) {
		return grant, true, failure.New(failure.KeyRosterMismatch, failure.NotRun, "%s can't run the key at roster version %d", args.Runner, roster.Version)
	}
	timed, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	response, err := c.cfg.Keys(owner.PeerAddr).Claim(timed, claimRequest(roster, args))
	if err != nil {
		return grant, true, failure.Wrap(err, failure.KeyOwnerGone, failure.NotRun, "claim at %s", owner.ID)
	}
	if response.Reason != "" {
		reason := failure.Reason(response.Reason)
		return grant, worthRetry(reason), failure.New(reason, failure.Outcome(response.Outcome), "claim refused by %s at roster version %d", owner.ID, response.RosterVersion)
	}
	return c.granted(roster, owner, response), false, nil
}

func claimRequest(roster *Roster, args ClaimArgs) *rpc.ClaimRequest {
	request := &rpc.ClaimRequest{Service: args.Service, Key: args.Key, Fingerprint: args.Fingerprint, Attempt: args.Attempt[:],
		Runner: args.Runner, RosterVersion: roster.Version}
	if args.Replaces != (wire.AttemptID{}) {
		request.Replaces = args.Replaces[:]
	}
	return request
}

func worthRetry(reason failure.Reason) bool {
	return reason == failure.KeyRosterMismatch || reason == failure.KeyOwnerNotReady || reason == failure.KeyAuthorityLapsed
}

func (c *Client) granted(roster *Roster, owner *Member, response *rpc.ClaimResponse) Grant {
	grant := Grant{Granted: response.Granted, Owner: owner.ID, RosterVersion: response.RosterVersion}
	if response.Granted {
		return grant
	}
	copy(grant.Taken.Attempt[:], response.TakenAttempt)
	grant.Taken.Runner = response.TakenRunner
	grant.Taken.State = response.TakenState
	grant.Taken.Answer = response.Answer
	grant.Taken.RunnerAddr = c.address(roster, response.TakenRunner)
	return grant
}

// address finds a runner in the roster, or among the nodes that control knows when it left the roster but still runs.
func (c *Client) address(roster *Roster, id string) string {
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

// pause waits before the next try; false: ctx ended.
func (c *Client) pause(ctx context.Context) bool {
	c.mu.Lock()
	wait := claimPause/2 + time.Duration(c.rng.Int64N(int64(claimPause)))
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

// Roster returns the service's roster, from the cache when it is there. It fails with *failure.Error.
func (c *Client) Roster(ctx context.Context, service string) (*Roster, error) {
	return c.roster(ctx, service, nil)
}

// Refresh returns a roster that is newer than stale, if one can be found, else the newest known.
func (c *Client) Refresh(ctx context.Context, service string, stale *Roster) (*Roster, error) {
	return c.roster(ctx, service, stale)
}

func (c *Client) roster(ctx context.Context, service string, stale *Roster) (*Roster, error) {
	if cached := c.cached(service); cached != nil && (stale == nil || cached.Commit > stale.Commit) {
		return cached, nil
	}
	_, err, _ := c.flight.Do(service, func() (any, error) { return nil, c.fetch(ctx, service, stale) })
	if cached := c.cached(service); cached != nil {
		return cached, nil
	}
	return nil, failure.Wrap(err, failure.KeyOwnerGone, failure.NotRun, "no roster of service %s", service)
}

func (c *Client) cached(service string) *Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rosters[service]
}

// fetch asks a few members and then the table until a newer roster than stale is found.
func (c *Client) fetch(ctx context.Context, service string, stale *Roster) error {
	var failed error
	for _, addr := range c.sources(service) {
		roster, err := c.askMember(ctx, addr, service)
		if err != nil {
			failed = err
			continue
		}
		if c.keepNewest(service, roster, stale) {
			return nil
		}
	}
	if c.cfg.Table == nil {
		return failed
	}
	roster, err := c.askTable(ctx, service)
	if err != nil {
		return errors.Join(failed, err)
	}
	c.keepNewest(service, roster, stale)
	return nil
}

// sources returns a few random addresses of members.
func (c *Client) sources(service string) []string {
	var addrs []string
	if cached := c.cached(service); cached != nil {
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
	return addrs[:min(len(addrs), rosterSources)]
}

func (c *Client) askMember(ctx context.Context, addr, service string) (*Roster, error) {
	timed, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	response, err := c.cfg.Keys(addr).Roster(timed, &rpc.RosterRequest{Service: service})
	if err != nil {
		return nil, err
	}
	return parseRoster(response.Roster)
}

func (c *Client) askTable(ctx context.Context, service string) (*Roster, error) {
	timed, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	row, err := c.cfg.Table.Get(timed, cluster.RosterKey(service))
	if err != nil {
		return nil, err
	}
	return parseRoster(row.Value)
}

// keepNewest caches the roster unless a newer one is known, and reports whether it is newer than stale.
func (c *Client) keepNewest(service string, roster, stale *Roster) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.rosters[service]; known == nil || roster.Commit > known.Commit {
		c.rosters[service] = roster
	}
	return stale == nil || roster.Commit > stale.Commit
}
