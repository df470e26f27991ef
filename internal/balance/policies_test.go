package balance

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

var baselines = map[string]func(s *sim, seed uint64) Balancer{
	"random":          func(_ *sim, seed uint64) Balancer { return NewRandom("s", seed) },
	"round-robin":     func(_ *sim, seed uint64) Balancer { return NewRoundRobin("s", seed) },
	"least-in-flight": func(_ *sim, seed uint64) Balancer { return NewLeastInFlight("s", seed) },
	"two-choices":     func(_ *sim, seed uint64) Balancer { return NewTwoChoices("s", seed) },
}

func simPool(s *sim, seed uint64) Balancer {
	return NewPool(Config{Service: "s", Self: cluster.Member{Zone: "z", Region: "r"}, Seed: seed, Clock: s.clock})
}

// Guards against baselines that violate the Balancer contract, which would invalidate comparisons with them.
func TestBaselinesHonorBalancerContract(t *testing.T) {
	for name, build := range baselines {
		rapid.Check(t, func(t *rapid.T) {
			balancer := build(nil, 3)
			members := drawMembers(t)
			balancer.Update(members)
			allowed := map[string]bool{}
			request := Request{Region: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "region")}
			for _, member := range members {
				if rapid.Bool().Draw(t, "tried") {
					request.Exclude = append(request.Exclude, member.ID)
					continue
				}
				allowed[member.ID] = !member.Draining && (request.Region == "" || request.Region == member.Region)
			}
			pick, err := balancer.Pick(request)
			if err == nil {
				assert.Assert(t, allowed[pick.Member.ID], "%s chose %s", name, pick.Member.ID)
				return
			}
			assert.Equal(t, failure.As(err).Reason, failure.NoTarget)
			for id, isAllowed := range allowed {
				assert.Assert(t, !isAllowed, "%s did not choose %s", name, id)
			}
		})
	}
}

// Guards against a change that makes the pool worse than the baselines with stragglers and varying target speeds.
// Time is virtual and the seed fixed, so the speed of the test machine has no influence.
func TestPoolOutperformsBaselines(t *testing.T) {
	for _, entries := range []int{1, 12} {
		settings := simSettings{targets: 5, entries: entries, load: 0.85, calls: 20000, seed: 5}
		pool := newSim(settings, simPool)
		pool.run(settings)
		for name, build := range baselines {
			other := newSim(settings, build)
			other.run(settings)
			t.Logf("%d entry nodes, %s: p99 %v against %v, failed %d against %d", entries, name,
				pool.quantile(0.99), other.quantile(0.99), pool.failed, other.failed)
			assert.Assert(t, pool.quantile(0.99) < other.quantile(0.99), name)
		}
		random := newSim(settings, baselines["random"])
		random.run(settings)
		assert.Assert(t, pool.failed < random.failed)
	}
}

// BenchmarkPoolPick measures a pick and its Done with the member count of a typical service.
func BenchmarkPoolPick(b *testing.B) {
	pool := NewPool(Config{Service: "s", Self: newMember(0, "a1", "a"), Seed: 1})
	pool.Update(sameZoneMembers(17))
	sample := wire.LoadSample{InFlight: 5, Latency: 25e6}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if pick, err := pool.Pick(Request{}); err == nil {
				pick.Done(Result{Latency: 25e6, Sample: &sample})
			}
		}
	})
}
