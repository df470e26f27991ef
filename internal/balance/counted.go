package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/acacialock/acacialock/internal/cluster"
)

// counted is one member with this node's own count of attempts in flight.
type counted struct {
	member   cluster.Member
	inFlight *atomic.Int64 // shared by the entries of successive sets
}

// countedSet holds the member set and own counts that the simple policies share.
type countedSet struct {
	service string
	update  sync.Mutex // orders updates; picks don't take it
	current atomic.Pointer[[]counted]

	seeded sync.Mutex
	random *rand.Rand
}

func newCountedSet(service string, seed uint64) countedSet {
	return countedSet{service: service, random: rand.New(rand.NewPCG(seed, 0))}
}

// Update implements Balancer.
func (s *countedSet) Update(members []cluster.Member) {
	s.update.Lock()
	defer s.update.Unlock()
	counts := map[string]*atomic.Int64{}
	for _, old := range s.members() {
		counts[old.member.ID] = old.inFlight
	}
	next := make([]counted, 0, len(members))
	for _, member := range members {
		count := counts[member.ID]
		if count == nil {
			count = new(atomic.Int64)
		}
		next = append(next, counted{member, count})
	}
	s.current.Store(&next)
}

func (s *countedSet) members() []counted {
	if set := s.current.Load(); set != nil {
		return *set
	}
	return nil
}

// allowed returns the members that the request permits, or the typed failure when there are none.
func (s *countedSet) allowed(request Request) ([]counted, error) {
	members := s.members()
	allowed := make([]counted, 0, len(members))
	for i := range members {
		if request.allows(&members[i].member, members[i].member.ID) {
			allowed = append(allowed, members[i])
		}
	}
	if len(allowed) == 0 {
		return nil, noTarget(s.service, len(members))
	}
	return allowed, nil
}

// intn returns a random number in [0, n).
func (s *countedSet) intn(n int) int {
	s.seeded.Lock()
	defer s.seeded.Unlock()
	return s.random.IntN(n)
}

// take counts the attempt until its Done.
func (c counted) take() Pick {
	c.inFlight.Add(1)
	var ended atomic.Bool
	return NewPick(c.member, func(Result) {
		if !ended.Swap(true) {
			c.inFlight.Add(-1)
		}
	})
}
