package keys

import (
	"bytes"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/rpc"
)

const (
	shardCount = 64
	// maxReplaced is the number of attempts of one key proven not to have run from which claims that replace a further
	// attempt are refused.
	maxReplaced = 64
	// recordOverhead is the memory of a record without its variable parts, in bytes. BenchmarkRecordMemory measured
	// 207 bytes with 200,000 records; the remainder allows for map growth, as maps allocate up to twice the space that
	// they need.
	recordOverhead   = 350
	replacedOverhead = 16
)

type attemptID [16]byte

func parseAttemptID(raw []byte) attemptID {
	var id attemptID
	copy(id[:], raw)
	return id
}

// candidate is an attempt with a key that may have run.
type candidate struct {
	attempt attemptID
	runner  string // member ID
	owner   string // member ID of the owner that granted it last
	version uint64 // roster version of the last grant
	state   rpc.AttemptState
	answer  *rpc.Answer
}

// record holds what a member knows about a key: the attempts that may have run and those proven not to have run. A
// merge of two records takes the union of both sets, so merges may be repeated and done in any order.
type record struct {
	fingerprint string
	candidates  []candidate
	replaced    []attemptID
	lastGrant   time.Duration // time of the latest grant, since store.start
}

func (r *record) findCandidate(attempt attemptID) *candidate {
	for i := range r.candidates {
		if r.candidates[i].attempt == attempt {
			return &r.candidates[i]
		}
	}
	return nil
}

func (r *record) isReplaced(attempt attemptID) bool {
	for _, replaced := range r.replaced {
		if replaced == attempt {
			return true
		}
	}
	return false
}

// markReplaced records the attempt as proven not to have run and removes it from the candidates.
func (r *record) markReplaced(attempt attemptID) {
	for i := range r.candidates {
		if r.candidates[i].attempt == attempt {
			r.candidates = append(r.candidates[:i], r.candidates[i+1:]...)
			break
		}
	}
	if !r.isReplaced(attempt) {
		r.replaced = append(r.replaced, attempt)
	}
}

// size returns the estimated memory of the record in bytes.
func (r *record) size(key string) int64 {
	size := int64(recordOverhead + len(key) + len(r.fingerprint) + len(r.replaced)*replacedOverhead)
	for i := range r.candidates {
		size += answerSize(r.candidates[i].answer)
	}
	return size
}

func answerSize(answer *rpc.Answer) int64 {
	if answer == nil {
		return 0
	}
	size := len(answer.Body) + 64
	for _, field := range answer.Header {
		size += len(field.Name) + len(field.Value) + 64
	}
	return int64(size)
}

// shard holds the records of a part of the keys.
type shard struct {
	mu        sync.Mutex
	records   map[string]*record
	lastSweep time.Duration
}

// store holds the records of one member, in shards with one lock each.
type store struct {
	shards     [shardCount]shard
	start      time.Time // origin of the times in records and shards
	maxRecords int64
	maxBytes   int64
	count      atomic.Int64 // records
	bytes      atomic.Int64 // estimated memory of records
	nextSweep  atomic.Uint32
}

func newStore(start time.Time, maxRecords int, maxBytes int64) *store {
	s := &store{start: start, maxRecords: int64(maxRecords), maxBytes: maxBytes}
	for i := range s.shards {
		s.shards[i].records = map[string]*record{}
	}
	return s
}

func (s *store) shard(key string) *shard { return &s.shards[xxhash.Sum64String(key)%shardCount] }

// claim is an admitted claim with the data that the owner's store needs to decide on it.
type claim struct {
	key, fingerprint  string
	attempt, replaces attemptID // replaces is zero when no attempt is replaced
	runner, owner     string
	version           uint64
	retention         time.Duration // how long records are retained after their last grant
	historyLost       bool
	isMember          func(member string) bool
}

// claim decides on a claim. It returns nil, nil if the claim is granted, the candidate that holds the key if another
// attempt may have run, or the reason for a refusal.
func (s *store) claim(now time.Time, c claim) (*candidate, *failure.Error) {
	at := now.Sub(s.start)
	shard := s.shard(c.key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	rec := shard.records[c.key]
	if rec != nil && at-rec.lastGrant > c.retention {
		s.drop(shard, c.key, rec)
		rec = nil
	}
	if rec == nil {
		return nil, s.grantNew(shard, at, c)
	}
	before := rec.size(c.key)
	defer func() { s.bytes.Add(rec.size(c.key) - before) }()
	return rec.claim(at, c)
}

// grantNew grants the claim of a key without a record, unless the history is lost or the store is full.
func (s *store) grantNew(shard *shard, at time.Duration, c claim) *failure.Error {
	if c.historyLost {
		return errHistoryLost()
	}
	rec := &record{fingerprint: c.fingerprint}
	if c.replaces != (attemptID{}) {
		rec.markReplaced(c.replaces)
	}
	size := rec.size(c.key)
	if s.isFull(size) {
		s.sweep(shard, at, c.retention)
	}
	if s.isFull(size) {
		return failure.New(failure.KeyStoreFull, failure.NotRun, "the owner holds %d keys in %d bytes", s.count.Load(), s.bytes.Load())
	}
	rec.grant(at, c)
	s.insert(shard, c.key, rec)
	return nil
}

func (s *store) isFull(size int64) bool {
	return s.count.Load() >= s.maxRecords || s.bytes.Load()+size > s.maxBytes
}

func (s *store) insert(shard *shard, key string, rec *record) {
	shard.records[key] = rec
	s.count.Add(1)
	s.bytes.Add(rec.size(key))
}

func (s *store) drop(shard *shard, key string, rec *record) {
	delete(shard.records, key)
	s.count.Add(-1)
	s.bytes.Add(-rec.size(key))
}

// sweep deletes the expired records of the shard, at most once per second. The caller must hold the lock of the shard.
func (s *store) sweep(shard *shard, at, retention time.Duration) {
	if shard.lastSweep != 0 && at-shard.lastSweep < time.Second {
		return
	}
	shard.lastSweep = at
	for key, rec := range shard.records {
		if at-rec.lastGrant > retention {
			s.drop(shard, key, rec)
		}
	}
}

// sweepNext deletes the expired records of one shard; successive calls cycle through the shards.
func (s *store) sweepNext(now time.Time, retention time.Duration) {
	shard := &s.shards[s.nextSweep.Add(1)%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s.sweep(shard, now.Sub(s.start), retention)
}

func (r *record) claim(at time.Duration, c claim) (*candidate, *failure.Error) {
	if r.fingerprint != c.fingerprint {
		return nil, failure.New(failure.KeyReused, failure.NotRun, "the key was used for another request")
	}
	if c.replaces != (attemptID{}) && r.findCandidate(c.replaces) != nil {
		if len(r.replaced) >= maxReplaced {
			return nil, failure.New(failure.KeyStoreFull, failure.NotRun, "%d attempts of the key did not run", maxReplaced)
		}
		r.markReplaced(c.replaces)
	}
	if r.isReplaced(c.attempt) {
		return nil, failure.New(failure.Fenced, failure.NotRun, "the attempt was replaced by another")
	}
	if holder := r.holder(c); holder != nil {
		return holder, nil
	}
	if c.historyLost {
		return nil, errHistoryLost()
	}
	r.grant(at, c)
	return nil, nil
}

// holder returns a copy of the candidate that prevents the claim from being granted, or nil. It prefers finished
// attempts, then those whose runner is still a member and can be queried, then those granted at later roster versions.
func (r *record) holder(c claim) *candidate {
	var best *candidate
	bestScore := uint64(0)
	for i := range r.candidates {
		other := &r.candidates[i]
		if other.attempt == c.attempt && other.runner == c.runner {
			continue
		}
		score := other.version
		if c.isMember(other.runner) {
			score |= 1 << 62
		}
		if other.state == rpc.AttemptState_ATTEMPT_DONE {
			score |= 1 << 63
		}
		if best == nil || score > bestScore {
			best, bestScore = other, score
		}
	}
	if best == nil {
		return nil
	}
	found := *best
	return &found
}

func (r *record) grant(at time.Duration, c claim) {
	r.lastGrant = max(r.lastGrant, at)
	if known := r.findCandidate(c.attempt); known != nil {
		known.owner, known.version = c.owner, c.version
		return
	}
	r.candidates = append(r.candidates, candidate{attempt: c.attempt, runner: c.runner, owner: c.owner, version: c.version})
}

// errHistoryLost returns the refusal of a key whose records may be lost. Its outcome is unknown.
func errHistoryLost() *failure.Error {
	return failure.New(failure.KeyHistoryLost, failure.Unknown, "the members that may have run the key are lost")
}

// export calls add for the records whose key passes the filter: once per candidate, or once for a record without any.
func (s *store) export(now time.Time, include func(key string) bool, add func(*rpc.KeyRecord)) {
	at := now.Sub(s.start)
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for key, rec := range shard.records {
			if include(key) {
				rec.export(key, at, add)
			}
		}
		shard.mu.Unlock()
	}
}

func (r *record) export(key string, at time.Duration, add func(*rpc.KeyRecord)) {
	replaced := make([][]byte, len(r.replaced))
	for i := range r.replaced {
		replaced[i] = bytes.Clone(r.replaced[i][:])
	}
	age := uint32((at - r.lastGrant).Milliseconds())
	if len(r.candidates) == 0 {
		add(&rpc.KeyRecord{Key: key, Fingerprint: []byte(r.fingerprint), AgeMs: age, Replaced: replaced})
	}
	for _, c := range r.candidates {
		add(&rpc.KeyRecord{Key: key, Fingerprint: []byte(r.fingerprint), Attempt: bytes.Clone(c.attempt[:]), Runner: c.runner,
			Owner: c.owner, RosterVersion: c.version, AgeMs: age, State: c.state, Answer: c.answer, Replaced: replaced})
	}
}

// merge merges a record of this or another member into the store. It does so even above the limits, because without the
// record a key that ran could run again; above maxBytes only the answer is dropped.
func (s *store) merge(now time.Time, incoming *rpc.KeyRecord) {
	at := now.Sub(s.start)
	shard := s.shard(incoming.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	rec := shard.records[incoming.Key]
	if rec == nil {
		rec = &record{fingerprint: string(incoming.Fingerprint), lastGrant: at - time.Duration(incoming.AgeMs)*time.Millisecond}
		s.insert(shard, incoming.Key, rec)
	}
	before := rec.size(incoming.Key)
	rec.merge(at, incoming, s.bytes.Load() < s.maxBytes)
	s.bytes.Add(rec.size(incoming.Key) - before)
}

func (r *record) merge(at time.Duration, incoming *rpc.KeyRecord, keepAnswer bool) {
	r.lastGrant = max(r.lastGrant, at-time.Duration(incoming.AgeMs)*time.Millisecond)
	for _, replaced := range incoming.Replaced {
		r.markReplaced(parseAttemptID(replaced))
	}
	if len(incoming.Attempt) == 0 {
		return
	}
	attempt := parseAttemptID(incoming.Attempt)
	if incoming.State == rpc.AttemptState_ATTEMPT_NOT_RUN {
		r.markReplaced(attempt)
	}
	if r.isReplaced(attempt) {
		return
	}
	known := r.findCandidate(attempt)
	if known == nil {
		r.candidates = append(r.candidates, candidate{attempt: attempt, runner: incoming.Runner, owner: incoming.Owner, version: incoming.RosterVersion})
		known = &r.candidates[len(r.candidates)-1]
	}
	known.version = max(known.version, incoming.RosterVersion)
	if isFinal(incoming.State) || known.state == rpc.AttemptState_ATTEMPT_UNKNOWN {
		known.state = incoming.State
	}
	if incoming.Answer != nil && keepAnswer {
		known.answer = incoming.Answer
	}
}

func isFinal(state rpc.AttemptState) bool {
	return state == rpc.AttemptState_ATTEMPT_DONE || state == rpc.AttemptState_ATTEMPT_BROKEN
}
