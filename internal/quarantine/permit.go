package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

// MaxPermit bounds the time for which a permit may be asked.
const MaxPermit = 10 * time.Minute

// permit is the right of one node to run a suspect; its coordinator remembers it.
type permit struct {
	holder string // member id
	until  time.Time
}

// coordinator returns the member that gives the permits for a fingerprint: the highest by rendezvous hashing. Nodes that
// know the same members choose the same one.
func coordinator(members []cluster.Member, self cluster.Member, fingerprint Fingerprint) cluster.Member {
	chosen, best := self, score(self.ID, fingerprint)
	for _, member := range members {
		if value := score(member.ID, fingerprint); value > best {
			chosen, best = member, value
		}
	}
	return chosen
}

func score(id string, fingerprint Fingerprint) uint64 {
	return xxhash.Sum64(append([]byte(id), fingerprint[:]...))
}

// Permit answers a request for a permit at the coordinator. A permit that was not given back in time counts as a crash,
// because its holder may have died with its target.
func (s *Store) Permit(request *rpc.PermitRequest) *rpc.PermitResponse {
	fingerprint, ok := Parse(request.GetFingerprint())
	if !ok {
		return &rpc.PermitResponse{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.expirePermits()
	held, taken := s.permits[fingerprint]
	mine := held.holder == request.GetRequester()
	switch {
	case request.GetEnded():
		if taken && mine {
			delete(s.permits, fingerprint)
		}
		return &rpc.PermitResponse{}
	case s.crashes(fingerprint) >= crashesToRefuse:
		return &rpc.PermitResponse{Refused: true}
	case taken && !mine, !taken && len(s.permits) >= MaxSuspects:
		return &rpc.PermitResponse{}
	}
	valid := min(time.Duration(request.GetValidMs())*time.Millisecond, MaxPermit)
	s.permits[fingerprint] = permit{holder: request.GetRequester(), until: s.now().Add(valid)}
	return &rpc.PermitResponse{Granted: true}
}

func (s *Store) crashes(fingerprint Fingerprint) int {
	if found := s.suspects[fingerprint.head()][fingerprint]; found != nil {
		return found.total()
	}
	return 0
}

func (s *Store) expirePermits() {
	now := s.now()
	for fingerprint, held := range s.permits {
		if now.Before(held.until) {
			continue
		}
		delete(s.permits, fingerprint)
		s.add(fingerprint, held.holder, s.crashesOf(fingerprint, held.holder)+1, Duration)
	}
}
