package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/rpc"
)

// Duration is how long a suspect is stored, and a quarantined request refused, after its last crash.
const Duration = 10 * time.Minute

// MaxSuspects limits the number of suspects that a node stores. One crash adds at most as many as the target has slots.
const MaxSuspects = 1024

// maxOrigins limits the number of origins counted per suspect. A few suffice, since two crashes decide.
const maxOrigins = 4

// crashesToRefuse is the number of crashes after which a request is refused.
const crashesToRefuse = 2

// probationOrigin is the origin of the single crash that a quarantined request retains after Duration. The request then
// runs in isolation, and another crash quarantines it again.
const probationOrigin = "parole"

// Verdict states how a request may run.
type Verdict int

// Verdicts.
const (
	Unrestricted Verdict = iota // not a suspect
	Isolated                    // only request at its target, and at one target of the service at a time
	Refused                     // quarantined
)

// Store holds the suspects known to a node and the permits that it granted as a coordinator. It is safe for concurrent
// use.
type Store struct {
	self string // member id of this node
	now  func() time.Time

	revision atomic.Uint64 // incremented when a suspect is added or its crashes are updated
	mu       sync.Mutex
	suspects map[Head]map[Fingerprint]*suspect
	count    atomic.Int64
	permits  map[Fingerprint]permit
}

type suspect struct {
	crashes map[string]uint32 // by origin
	expires time.Time
}

func (s *suspect) totalCrashes() int {
	total := 0
	for _, crashes := range s.crashes {
		total += int(crashes)
	}
	return total
}

// NewStore returns an empty store for the node with member id self; now is its clock.
func NewStore(self string, now func() time.Time) *Store {
	return &Store{
		self:     self,
		now:      now,
		suspects: map[Head]map[Fingerprint]*suspect{},
		permits:  map[Fingerprint]permit{},
	}
}

// Revision returns a number that increases with each new suspect and crash. A request that waited compares it to decide
// whether it must be evaluated again.
func (s *Store) Revision() uint64 { return s.revision.Load() }

// hasSuspect reports whether a suspect has this head. If so, the body must be read for a verdict.
func (s *Store) hasSuspect(head Head) bool {
	if s.count.Load() == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.suspects[head]) > 0
}

// evaluate returns the verdict on a request and the suspects that match it, sorted. Their crashes are summed, since one
// request has several fingerprints if its body was truncated at different lengths.
func (s *Store) evaluate(head Head, prefix []byte) (Verdict, []Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var matched []Fingerprint
	crashes := 0
	for fingerprint, entry := range s.suspects[head] {
		if fingerprint.matches(prefix) {
			matched = append(matched, fingerprint)
			crashes += entry.totalCrashes()
		}
	}
	slices.SortFunc(matched, compareFingerprints)
	switch {
	case len(matched) == 0:
		return Unrestricted, nil
	case crashes >= crashesToRefuse:
		return Refused, matched
	}
	return Isolated, matched
}

func compareFingerprints(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) }

// RecordCrash adds a crash of this node's target to each fingerprint and returns the suspects to share.
func (s *Store) RecordCrash(fingerprints []Fingerprint) []*rpc.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	slices.SortFunc(fingerprints, compareFingerprints)
	var marked []*rpc.Suspect
	for _, fingerprint := range slices.Compact(fingerprints) {
		entry := s.add(fingerprint, s.self, s.crashesFrom(fingerprint, s.self)+1, Duration)
		marked = append(marked, suspectMessage(fingerprint, s.self, entry.crashes[s.self], Duration))
	}
	return marked
}

func suspectMessage(fingerprint Fingerprint, origin string, crashes uint32, remaining time.Duration) *rpc.Suspect {
	return &rpc.Suspect{
		Fingerprint: fingerprint[:], Crashes: crashes, ExpiresMs: uint32(remaining.Milliseconds()), Origin: origin,
	}
}

// Suspects returns all suspects, one message per origin, for a node that starts.
func (s *Store) Suspects() []*rpc.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var messages []*rpc.Suspect
	for _, byFingerprint := range s.suspects {
		for fingerprint, entry := range byFingerprint {
			remaining := entry.expires.Sub(s.now())
			for origin, crashes := range entry.crashes {
				messages = append(messages, suspectMessage(fingerprint, origin, crashes, remaining))
			}
		}
	}
	return messages
}

// crashesFrom returns the crashes of a fingerprint from one origin. The mutex is held.
func (s *Store) crashesFrom(fingerprint Fingerprint, origin string) uint32 {
	if entry := s.suspects[fingerprint.head()][fingerprint]; entry != nil {
		return entry.crashes[origin]
	}
	return 0
}

// Merge merges suspects shared by another node. Malformed ones are skipped.
func (s *Store) Merge(shared []*rpc.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, update := range shared[:min(len(shared), MaxSuspects*maxOrigins)] {
		fingerprint, ok := ParseFingerprint(update.GetFingerprint())
		switch {
		case !ok || update.GetOrigin() == s.self:
			continue
		case update.GetCleared():
			s.remove(fingerprint)
		default:
			remaining := min(time.Duration(update.GetExpiresMs())*time.Millisecond, Duration)
			s.add(fingerprint, update.GetOrigin(), update.GetCrashes(), remaining)
		}
	}
}

// Clear removes suspects that completed in isolation and returns the messages to share.
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

// add raises the crashes of one origin to at least the given number and extends the expiry. The mutex is held.
func (s *Store) add(fingerprint Fingerprint, origin string, crashes uint32, remaining time.Duration) *suspect {
	byFingerprint := s.suspects[fingerprint.head()]
	if byFingerprint == nil {
		byFingerprint = map[Fingerprint]*suspect{}
		s.suspects[fingerprint.head()] = byFingerprint
	}
	entry := byFingerprint[fingerprint]
	if entry == nil {
		s.evictIfFull()
		entry = &suspect{crashes: map[string]uint32{}}
		s.suspects[fingerprint.head()] = byFingerprint // evictIfFull may have removed the map when it became empty
		byFingerprint[fingerprint] = entry
		s.count.Add(1)
	}
	if _, known := entry.crashes[origin]; known || len(entry.crashes) < maxOrigins {
		entry.crashes[origin] = max(entry.crashes[origin], crashes)
	}
	if expires := s.now().Add(remaining); expires.After(entry.expires) {
		entry.expires = expires
	}
	s.revision.Add(1)
	return entry
}

func (s *Store) remove(fingerprint Fingerprint) {
	byFingerprint := s.suspects[fingerprint.head()]
	if _, ok := byFingerprint[fingerprint]; !ok {
		return
	}
	delete(byFingerprint, fingerprint)
	if len(byFingerprint) == 0 {
		delete(s.suspects, fingerprint.head())
	}
	s.count.Add(-1)
}

// expire removes expired suspects. A quarantined request becomes a suspect on probation instead, so that it runs in
// isolation if it is still being sent. The mutex is held.
func (s *Store) expire() {
	now := s.now()
	for _, byFingerprint := range s.suspects {
		for fingerprint, entry := range byFingerprint {
			if now.Before(entry.expires) {
				continue
			}
			if entry.totalCrashes() < crashesToRefuse {
				s.remove(fingerprint)
				continue
			}
			entry.crashes = map[string]uint32{probationOrigin: 1}
			entry.expires = now.Add(Duration)
		}
	}
}

// evictIfFull evicts a suspect if the store is full: of those with the fewest crashes the one that expires first. The
// mutex is held.
func (s *Store) evictIfFull() {
	if s.count.Load() < MaxSuspects {
		return
	}
	var victim Fingerprint
	var victimEntry *suspect
	for _, byFingerprint := range s.suspects {
		for fingerprint, entry := range byFingerprint {
			if victimEntry == nil || evictBefore(entry, victimEntry) {
				victim, victimEntry = fingerprint, entry
			}
		}
	}
	s.remove(victim)
}

func evictBefore(a, b *suspect) bool {
	if a.totalCrashes() != b.totalCrashes() {
		return a.totalCrashes() < b.totalCrashes()
	}
	return a.expires.Before(b.expires)
}
