package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/rpc"
)

// Duration is the time for which a suspect is remembered, and a request refused, after its last crash.
const Duration = 10 * time.Minute

// MaxSuspects bounds the suspects that a node remembers. One crash gives at most as many as a target has slots.
const MaxSuspects = 1024

// maxOrigins bounds the nodes that are told apart for one suspect; two crashes decide.
const maxOrigins = 4

// crashesToRefuse is the number of crashes after which a request is refused.
const crashesToRefuse = 2

// parole is the origin of the one crash that a refused request keeps after Duration: it runs alone, and another
// crash refuses it again.
const parole = "parole"

// Verdict tells how a request may run.
type Verdict int

// Verdicts.
const (
	Free    Verdict = iota // no suspect
	Alone                  // with no other request at the target, at one target of the service at a time
	Refused                // quarantined
)

// Store holds the suspects that a node knows. Safe for concurrent use.
type Store struct {
	self string // member id
	now  func() time.Time

	changes  atomic.Uint64 // goes up whenever a suspect is added or gets another crash
	mu       sync.Mutex
	suspects map[Head]map[Fingerprint]*suspect
	count    atomic.Int64
	permits  map[Fingerprint]permit
}

type suspect struct {
	crashes map[string]uint32 // by origin
	expires time.Time
}

func (s *suspect) total() int {
	total := 0
	for _, crashes := range s.crashes {
		total += int(crashes)
	}
	return total
}

// NewStore returns an empty store of the node with that member id.
func NewStore(self string, now func() time.Time) *Store {
	return &Store{
		self:     self,
		now:      now,
		suspects: map[Head]map[Fingerprint]*suspect{},
		permits:  map[Fingerprint]permit{},
	}
}

// Changes goes up with each new suspect and crash, so that a request that waited can tell whether to be judged again.
func (s *Store) Changes() uint64 { return s.changes.Load() }

// suspected reports whether a suspect has this head, so that the body must be read for a verdict.
func (s *Store) suspected(head Head) bool {
	if s.count.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.suspects[head]) > 0
}

// judge returns the verdict on a request and the suspects that cover it, sorted. The crashes of all of these add up,
// since the same request has several fingerprints when its body was cut at different lengths.
func (s *Store) judge(head Head, prefix []byte) (Verdict, []Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var matched []Fingerprint
	crashes := 0
	for fingerprint, found := range s.suspects[head] {
		if fingerprint.covers(prefix) {
			matched = append(matched, fingerprint)
			crashes += found.total()
		}
	}
	slices.SortFunc(matched, compare)
	switch {
	case len(matched) == 0:
		return Free, nil
	case crashes >= crashesToRefuse:
		return Refused, matched
	}
	return Alone, matched
}

func compare(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }

// Mark adds a crash of this node's target to each fingerprint and returns the suspects to share.
func (s *Store) Mark(fingerprints []Fingerprint) []*rpc.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	slices.SortFunc(fingerprints, compare)
	var marked []*rpc.Suspect
	for _, fingerprint := range slices.Compact(fingerprints) {
		found := s.add(fingerprint, s.self, s.crashesOf(fingerprint, s.self)+1, Duration)
		marked = append(marked, message(fingerprint, s.self, found.crashes[s.self], Duration))
	}
	return marked
}

func message(fingerprint Fingerprint, origin string, crashes uint32, left time.Duration) *rpc.Suspect {
	return &rpc.Suspect{
		Fingerprint: fingerprint[:], Crashes: crashes, ExpiresMs: uint32(left.Milliseconds()), Origin: origin,
	}
}

// Known returns all suspects, for a node that starts.
func (s *Store) Known() []*rpc.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var known []*rpc.Suspect
	for _, bodies := range s.suspects {
		for fingerprint, found := range bodies {
			left := found.expires.Sub(s.now())
			for origin, crashes := range found.crashes {
				known = append(known, message(fingerprint, origin, crashes, left))
			}
		}
	}
	return known
}

func (s *Store) crashesOf(fingerprint Fingerprint, origin string) uint32 {
	if found := s.suspects[fingerprint.head()][fingerprint]; found != nil {
		return found.crashes[origin]
	}
	return 0
}

// Merge takes over suspects that another node shared. Malformed ones are passed over.
func (s *Store) Merge(shared []*rpc.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, one := range shared[:min(len(shared), MaxSuspects*maxOrigins)] {
		fingerprint, ok := Parse(one.GetFingerprint())
		switch {
		case !ok || one.GetOrigin() == s.self:
			continue
		case one.GetCleared():
			s.remove(fingerprint)
		default:
			left := min(time.Duration(one.GetExpiresMs())*time.Millisecond, Duration)
			s.add(fingerprint, one.GetOrigin(), one.GetCrashes(), left)
		}
	}
}

// Clear forgets suspects that completed alone and returns what to share.
func (s *Store) Clear(fingerprints []Fingerprint) []*rpc.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	var cleared []*rpc.Suspect
	for _, fingerprint := range fingerprints {
		s.remove(fingerprint)
		cleared = append(cleared, &rpc.Suspect{Fingerprint: fingerprint[:], Origin: s.self, Cleared: true})
	}
	return cleared
}

// add raises the crashes of one origin. The mutex is held.
func (s *Store) add(fingerprint Fingerprint, origin string, crashes uint32, left time.Duration) *suspect {
	bodies := s.suspects[fingerprint.head()]
	if bodies == nil {
		bodies = map[Fingerprint]*suspect{}
		s.suspects[fingerprint.head()] = bodies
	}
	found := bodies[fingerprint]
	if found == nil {
		s.makeRoom()
		found = &suspect{crashes: map[string]uint32{}}
		s.suspects[fingerprint.head()] = bodies // makeRoom may have removed the map as empty
		bodies[fingerprint] = found
		s.count.Add(1)
	}
	if _, known := found.crashes[origin]; known || len(found.crashes) < maxOrigins {
		found.crashes[origin] = max(found.crashes[origin], crashes)
	}
	if expires := s.now().Add(left); expires.After(found.expires) {
		found.expires = expires
	}
	s.changes.Add(1)
	return found
}

func (s *Store) remove(fingerprint Fingerprint) {
	bodies := s.suspects[fingerprint.head()]
	if _, ok := bodies[fingerprint]; !ok {
		return
	}
	delete(bodies, fingerprint)
	if len(bodies) == 0 {
		delete(s.suspects, fingerprint.head())
	}
	s.count.Add(-1)
}

// expire ends what is over. A refused request becomes a suspect again, so that it runs alone if it still comes.
func (s *Store) expire() {
	now := s.now()
	for _, bodies := range s.suspects {
		for fingerprint, found := range bodies {
			if now.Before(found.expires) {
				continue
			}
			if found.total() < crashesToRefuse {
				s.remove(fingerprint)
				continue
			}
			found.crashes = map[string]uint32{parole: 1}
			found.expires = now.Add(Duration)
		}
	}
}

// makeRoom forgets the suspect with the fewest crashes that ends first when the store is full.
func (s *Store) makeRoom() {
	if s.count.Load() < MaxSuspects {
		return
	}
	var victim Fingerprint
	var weakest *suspect
	for _, bodies := range s.suspects {
		for fingerprint, found := range bodies {
			if weakest == nil || weaker(found, weakest) {
				victim, weakest = fingerprint, found
			}
		}
	}
	s.remove(victim)
}

func weaker(a, b *suspect) bool {
	if a.total() != b.total() {
		return a.total() < b.total()
	}
	return a.expires.Before(b.expires)
}
