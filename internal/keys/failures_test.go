package keys

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

// activatedSim returns a simulation whose members have activated one roster, its first member, and a key that this
// member owns.
func activatedSim(t *testing.T, members int) (*sim, *proc, string) {
	s := newSim(1, members, 0, 0)
	s.advance(40 * time.Second)
	p := s.nodes[0].proc
	assert.Assert(t, p.machine.activated && len(p.machine.installed.Quorums) == 1)
	for i := 0; ; i++ {
		if key := fmt.Sprint("owned-", i); p.gate.roster.Owner(key).ID == p.id {
			return s, p, key
		}
	}
}

// claimFor returns a claim of the key at p, with an attempt ID made of the given byte.
func claimFor(p *proc, key string, attempt byte) *rpc.ClaimRequest {
	return &rpc.ClaimRequest{Service: "orders", Key: key, Fingerprint: []byte("f"), Attempt: slices.Repeat([]byte{attempt}, 16),
		Runner: p.gate.roster.Runners(key)[0].ID, RosterVersion: p.gate.roster.Version}
}

// TestClaimRefusals guards against an owner that decides on a claim that it lacks the authority or the records to
// decide, and against refusals with a wrong outcome.
func TestClaimRefusals(t *testing.T) {
	cases := []struct {
		reason  failure.Reason
		outcome failure.Outcome
		prepare func(s *sim, p *proc, c *rpc.ClaimRequest)
	}{
		{"", "", func(*sim, *proc, *rpc.ClaimRequest) {}},
		{failure.WrongService, failure.NotRun, func(_ *sim, _ *proc, c *rpc.ClaimRequest) { c.Service = "other" }},
		{failure.KeyRosterMismatch, failure.NotRun, func(_ *sim, _ *proc, c *rpc.ClaimRequest) { c.RosterVersion-- }},
		{failure.KeyRosterMismatch, failure.NotRun, func(_ *sim, p *proc, c *rpc.ClaimRequest) { c.Runner = p.id }},
		{failure.KeyRosterMismatch, failure.NotRun, func(_ *sim, _ *proc, c *rpc.ClaimRequest) { c.Runner = "gone@1" }},
		{failure.KeyRosterMismatch, failure.NotRun, func(_ *sim, p *proc, c *rpc.ClaimRequest) {
			for i := 0; p.gate.roster.Owner(c.Key).ID == p.id; i++ {
				c.Key = fmt.Sprint("other-", i)
			}
		}},
		{failure.KeyOwnerNotReady, failure.NotRun, func(_ *sim, p *proc, _ *rpc.ClaimRequest) { p.gate.activated = false }},
		{failure.KeyOwnerNotReady, failure.NotRun, func(_ *sim, p *proc, _ *rpc.ClaimRequest) { p.gate.roster = nil }},
		{failure.KeyAuthorityLapsed, failure.NotRun, func(s *sim, _ *proc, _ *rpc.ClaimRequest) { s.now += 2 * simG }},
		{failure.KeyReused, failure.NotRun, func(_ *sim, p *proc, c *rpc.ClaimRequest) {
			_, _ = p.Claim(context.Background(), claimFor(p, c.Key, 9)) // only the record matters
			c.Fingerprint = []byte("g")
		}},
		{failure.KeyStoreFull, failure.NotRun, func(_ *sim, p *proc, _ *rpc.ClaimRequest) { p.records.maxRecords = 0 }},
		{failure.KeyStoreFull, failure.NotRun, func(_ *sim, p *proc, _ *rpc.ClaimRequest) { p.records.maxBytes = 10 }},
		{failure.Fenced, failure.NotRun, func(_ *sim, p *proc, c *rpc.ClaimRequest) {
			p.records.merge(p.node.Now(), &rpc.KeyRecord{Key: c.Key, Fingerprint: c.Fingerprint, Replaced: [][]byte{c.Attempt}})
		}},
		{failure.KeyHistoryLost, failure.Unknown, func(_ *sim, p *proc, _ *rpc.ClaimRequest) { markHistoryLost(p) }},
		// A record made before the loss does not prove that no later attempt ran.
		{failure.KeyHistoryLost, failure.Unknown, func(_ *sim, p *proc, c *rpc.ClaimRequest) {
			earlier := claimFor(p, c.Key, 9)
			_, _ = p.Claim(context.Background(), earlier) // only the record matters
			c.Replaces = earlier.Attempt
			markHistoryLost(p)
		}},
	}
	for i, test := range cases {
		t.Run(fmt.Sprint(i, test.reason), func(t *testing.T) {
			s, p, key := activatedSim(t, 3)
			request := claimFor(p, key, 1)
			test.prepare(s, p, request)
			response, err := p.Claim(context.Background(), request)
			assert.NilError(t, err)
			assert.Equal(t, response.Reason, string(test.reason))
			assert.Equal(t, response.Outcome, string(test.outcome))
			assert.Equal(t, response.Granted, test.reason == "")
		})
	}
}

// markHistoryLost makes the roster of p list a lost member that was the only one with records.
func markHistoryLost(p *proc) {
	p.gate.roster = p.gate.roster.clone()
	p.gate.roster.Lost = []LostMember{{ID: "alone@1", Joined: 1, Lost: 2, Alone: true}}
}

// TestCheckRefusals guards against a runner that runs an attempt granted at another roster version or by a member that
// does not own the key, or that runs one without authority.
func TestCheckRefusals(t *testing.T) {
	s, p, key := activatedSim(t, 3)
	runner := s.byName(p.gate.roster.Runners(key)[0].PeerAddr).proc
	version := p.gate.roster.Version
	check := func(service, key, owner string, version uint64) failure.Reason {
		notAfter, err := runner.Check(service, key, owner, version)
		if err == nil {
			assert.Assert(t, notAfter.After(runner.node.Now()) && !notAfter.After(runner.node.Now().Add(simG)))
			return ""
		}
		assert.Equal(t, err.Outcome, failure.NotRun)
		return err.Reason
	}
	assert.Equal(t, check("orders", key, p.id, version), failure.Reason(""))
	assert.Equal(t, check("other", key, p.id, version), failure.WrongService)
	assert.Equal(t, check("orders", key, p.id, version+1), failure.KeyRosterMismatch)
	assert.Equal(t, check("orders", key, runner.id, version), failure.KeyRosterMismatch)
	s.now += 2 * simG
	assert.Equal(t, check("orders", key, p.id, version), failure.KeyAuthorityLapsed)
}

// TestPromiseEndsWithOwnConfirmation guards against a member that still gives promises more than Gmax after its own
// last confirmation. It may have been removed by then, and with its promise a member that a majority removed earlier
// could still act.
func TestPromiseEndsWithOwnConfirmation(t *testing.T) {
	s, p, _ := activatedSim(t, 3)
	request := &rpc.PromiseRequest{Service: "orders", Requester: s.nodes[1].proc.id, RosterVersion: p.gate.roster.Version}
	promised := func() bool {
		response, err := p.Promise(context.Background(), request)
		assert.NilError(t, err)
		return response.Promised
	}
	assert.Assert(t, promised())
	s.now += 2 * simGmax
	assert.Assert(t, !promised())
}

// TestGmaxWaitOutlastsPromises guards against removing members as early as Gmax after their marks, when a promise that
// they gave at the end of that time may still be in force.
func TestGmaxWaitOutlastsPromises(t *testing.T) {
	s, p, _ := activatedSim(t, 3)
	m := p.machine
	m.latest = m.latest.withSuspects([]string{s.nodes[1].proc.id, s.nodes[2].proc.id})
	now := p.node.Now()
	m.recordSuspects(now)
	assert.Assert(t, m.buildLost(now.Add(withDriftMargin(simGmax+simG))) == nil)
	assert.Assert(t, m.buildLost(now.Add(withDriftMargin(simGmax+simG)+time.Millisecond)) != nil)
}

// TestMergeIsUnion guards against a merge that loses an attempt of a key: whatever the order and number of merges, each
// attempt that is not proven not to have run must prevent a new one from being granted.
func TestMergeIsUnion(t *testing.T) {
	setRapidDefaults(t, "20260303", "300", "30")
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.SliceOfN(rapid.ByteRange(1, 6), 1, 1)
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *rpc.KeyRecord {
			return &rpc.KeyRecord{Key: "k", Fingerprint: []byte("f"), Attempt: id.Draw(t, "attempt"), Runner: "r", RosterVersion: rapid.Uint64Range(1, 3).Draw(t, "version"),
				State: rpc.AttemptState(rapid.IntRange(0, 3).Draw(t, "state")), Replaced: rapid.SliceOfN(id, 0, 2).Draw(t, "replaced")}
		}), 1, 6).Draw(t, "records")
		s := newStore(simBase, 10, 1<<20)
		for _, rec := range append(rapid.Permutation(records).Draw(t, "order"), records[0]) {
			s.merge(simBase, rec)
		}
		notRun, listed := map[attemptID]bool{}, map[attemptID]bool{}
		for _, rec := range records {
			listed[parseAttemptID(rec.Attempt)] = true
			notRun[parseAttemptID(rec.Attempt)] = notRun[parseAttemptID(rec.Attempt)] || rec.State == rpc.AttemptState_ATTEMPT_NOT_RUN
			for _, replaced := range rec.Replaced {
				notRun[parseAttemptID(replaced)] = true
			}
		}
		c := claim{key: "k", fingerprint: "f", attempt: attemptID{9}, runner: "r", retention: time.Hour, isMember: func(string) bool { return true }}
		for {
			holder, err := s.claim(simBase, c)
			assert.Assert(t, err == nil)
			if holder == nil {
				break
			}
			assert.Assert(t, listed[holder.attempt] && !notRun[holder.attempt])
			notRun[holder.attempt] = true
			c.replaces = holder.attempt
		}
		for attempt := range listed {
			assert.Assert(t, notRun[attempt], "attempt %x is missing from the merged record", attempt)
		}
	})
}

// TestHandover guards against a second run of a key whose runner left before its owner crashed, and against losing the
// answers of a runner that left.
func TestHandover(t *testing.T) {
	s := newSim(4, 5, 0, 1)
	s.epoch = time.Hour
	s.advance(40 * time.Second)
	for i := range 60 {
		s.request(s.entries[0], fmt.Sprint("kept-", i), func(string) {})
	}
	s.advance(5 * time.Second)
	runner, owner, sharedKeys := s.nodes[1].proc, s.nodes[2].proc, 0
	for _, attempt := range runner.KeyedAttempts() {
		if attempt.Owner == owner.id {
			sharedKeys++
		}
	}
	assert.Assert(t, sharedKeys > 0, "the leaving member ran no key owned by the member that crashes")
	s.leave(runner.node)
	s.advance(15 * time.Second)
	assert.Assert(t, runner.machine.hasLeft())
	s.crash(owner.node)
	s.advance(40 * time.Second)
	answers := 0
	for i := range 60 {
		s.request(s.entries[0], fmt.Sprint("kept-", i), func(outcome string) {
			if outcome == "runner-left:ATTEMPT_DONE" {
				answers++
			}
		})
	}
	s.advance(10 * time.Second)
	assert.Equal(t, s.violation, "")
	assert.Assert(t, answers >= sharedKeys, "%d answers for %d keys of the member that left", answers, sharedKeys)
}

// TestClientOutcomes guards against an outcome other than not-run for a claim that no owner answered, and against
// sending a claim for a runner that may not run the key.
func TestClientOutcomes(t *testing.T) {
	s, p, key := activatedSim(t, 3)
	reachable := true
	client := NewClient(ClientConfig{View: p.cfg.View, Keys: func(addr string) rpc.Keys {
		if !reachable {
			return rpc.NewKeysProtobufClient("http://127.0.0.1:1", http.DefaultClient)
		}
		return s.byName(addr).proc
	}, ClaimTimeout: 200 * time.Millisecond, CallTimeout: 50 * time.Millisecond, Clock: s.nodes[0], Seed: 1})
	args := ClaimArgs{Service: "orders", Key: key, Fingerprint: []byte("f"), Attempt: wire.AttemptID{1}, Runner: p.gate.roster.Runners(key)[0].ID}
	claimResult, err := client.Claim(context.Background(), args)
	assert.NilError(t, err)
	assert.Assert(t, claimResult.Granted && claimResult.Owner == p.id && claimResult.SendBefore.Equal(p.node.Now().Add(DefaultGrantLife/2)))
	other := args
	other.Attempt = wire.AttemptID{2}
	claimResult, err = client.Claim(context.Background(), other)
	assert.NilError(t, err)
	assert.Assert(t, !claimResult.Granted && claimResult.Conflict.Attempt == args.Attempt && claimResult.Conflict.RunnerAddr != "")
	other.Runner = p.id
	_, err = client.Claim(context.Background(), other)
	assert.Equal(t, failure.As(err).Reason, failure.KeyRosterMismatch)
	reachable = false
	_, err = client.Claim(context.Background(), args)
	assert.Equal(t, failure.As(err).Reason, failure.KeyOwnerUnreachable)
	assert.Equal(t, failure.As(err).Outcome, failure.NotRun)
}
