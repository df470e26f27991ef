package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/acacialock/acacialock/internal/cluster"
)

// trackedMember is a member with the number of attempts that this node has in flight to it.
type trackedMember struct {
	member   cluster.Member
	inFlight *atomic.Int64 // shared between the old and new entry when the set is updated
}

// memberSet holds the member set and in-flight counts shared by the simple policies.
type memberSet struct {
	service  string
	updateMu sync.Mutex // serializes updates; picks do not take it
	current  atomic.Pointer[[]trackedMember]

	randomMu sync.Mutex
	random   *rand.Rand
}

func newMemberSet(service string, seed uint64) memberSet {
	return memberSet{service: service, random: rand.New(rand.NewPCG(seed, 0))}
}

// Update implements Balancer.
func (s *memberSet) Update(members []cluster.Member) {
	s.updateMu.Lock()
	defer s.updateMu.Unlock()
	counts := map[string]*atomic.Int64{}
	for _, old := range s.members() {
		counts[old.member.ID] = old.inFlight
	}
	next := make([]trackedMember, 0, len(members))
	for _, member := range members {
		count := counts[member.ID]
		if count == nil {
			count = new(atomic.Int64)
		}
		next = append(next, trackedMember{member, count})
	}
	s.current.Store(&next)
}

func (s *memberSet) members() []trackedMember {
	if set := s.current.Load(); set != nil {
		return *set
	}
	return nil
}

// allowed returns the members that the request permits, or a *failure.Error if there are none.
func (s *memberSet) allowed(request Request) ([]trackedMember, error) {
	members := s.members()
	allowed := make([]trackedMember, 0, len(members))
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
func (s *memberSet) intn(n int) int {
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return s.random.IntN(n)
}

// startAttempt counts an attempt as in flight until the pick's Done is called.
func (m trackedMember) startAttempt() Pick {
	m.inFlight.Add(1)
	var ended atomic.Bool
	return NewPick(m.member, func(Result) {
		if !ended.Swap(true) {
			m.inFlight.Add(-1)
		}
	})
}
