package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

// MaxPermitDuration is the maximum duration of a permit.
const MaxPermitDuration = 10 * time.Minute

// permit is the exclusive right of one node to run a suspect, as stored by the coordinator.
type permit struct {
	holder  string // member id
	expires time.Time
}

// coordinator returns the member that grants the permits for a fingerprint, chosen by rendezvous hashing. Nodes that
// know the same members choose the same coordinator.
func coordinator(members []cluster.Member, self cluster.Member, fingerprint Fingerprint) cluster.Member {
	chosen, best := self, rendezvousScore(self.ID, fingerprint)
	for _, member := range members {
		if value := rendezvousScore(member.ID, fingerprint); value > best {
			chosen, best = member, value
		}
	}
	return chosen
}

func rendezvousScore(id string, fingerprint Fingerprint) uint64 {
	return xxhash.Sum64(append([]byte(id), fingerprint[:]...))
}

// Permit grants, refuses or releases a permit at the coordinator. A permit that is not released in time counts as a
// crash, because its holder may have crashed with its target.
func (s *Store) Permit(request *rpc.PermitRequest) *rpc.PermitResponse {
	fingerprint, ok := ParseFingerprint(request.GetFingerprint())
	if !ok {
		return &rpc.PermitResponse{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.expirePermits()
	existing, exists := s.permits[fingerprint]
	ownPermit := existing.holder == request.GetRequester()
	switch {
	case request.GetEnded():
		if exists && ownPermit {
			delete(s.permits, fingerprint)
		}
		return &rpc.PermitResponse{}
	case s.crashes(fingerprint) >= crashesToRefuse:
		return &rpc.PermitResponse{Refused: true}
	case exists && !ownPermit, !exists && len(s.permits) >= MaxSuspects:
		return &rpc.PermitResponse{}
	}
	valid := min(time.Duration(request.GetValidMs())*time.Millisecond, MaxPermitDuration)
	s.permits[fingerprint] = permit{holder: request.GetRequester(), expires: s.now().Add(valid)}
	return &rpc.PermitResponse{Granted: true}
}

// crashes returns the crashes of a fingerprint from all origins. The mutex is held.
func (s *Store) crashes(fingerprint Fingerprint) int {
	if entry := s.suspects[fingerprint.head()][fingerprint]; entry != nil {
		return entry.totalCrashes()
	}
	return 0
}

// expirePermits removes expired permits and records a crash for each. The mutex is held.
func (s *Store) expirePermits() {
	now := s.now()
	for fingerprint, existing := range s.permits {
		if now.Before(existing.expires) {
			continue
		}
		delete(s.permits, fingerprint)
		s.add(fingerprint, existing.holder, s.crashesFrom(fingerprint, existing.holder)+1, Duration)
	}
}
