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
	// maxReplaced bounds the attempts of one key that are known not to have run.
	maxReplaced = 64
	// recordOverhead is the memory of a record without its variable parts. BenchmarkRecordMemory showed 207 bytes with
	// 200,000 records; the rest allows for the growth of maps, which hold up to twice the space they need.
	recordOverhead   = 350
	replacedOverhead = 16
)

type attemptID [16]byte

func attemptFrom(raw []byte) attemptID {
	var id attemptID
	copy(id[:], raw)
	return id
}

// candidate is one attempt of a key that may have run.
type candidate struct {
	attempt attemptID
	runner  string
	owner   string
	version uint64
	state   rpc.AttemptState
	answer  *rpc.Answer
}

// record is what a member knows of a key: the attempts that may have run, and those proven not to have run. Merging
// two records is the union of both sets, so the order and number of merges don't matter.
type record struct {
	fingerprint string
	candidates  []candidate
	replaced    []attemptID
	fresh       time.Duration // latest grant, since the store's start
}

func (r *record) find(attempt attemptID) *candidate {
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

// replace moves an attempt to those that did not run.
func (r *record) replace(attempt attemptID) {
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

type shard struct {
	mu      sync.Mutex
	records map[string]*record
	swept   time.Duration
}

// store holds the records of one member, in shards with a lock each.
type store struct {
	shards     [shardCount]shard
	start      time.Time
	maxRecords int64
	maxBytes   int64
	count      atomic.Int64
	bytes      atomic.Int64
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

// claim is one claim as the owner's store sees it.
type claim struct {
	key, fingerprint  string
	attempt, replaces attemptID // replaces is zero when no attempt is replaced
	runner, owner     string
	version           uint64
	keep              time.Duration // how long records are kept
	historyLost       bool
	present           func(member string) bool
}

// claim returns nil with nil when the claim is granted, the candidate that holds the key when it is taken, or why it is
// refused.
func (s *store) claim(now time.Time, c claim) (*candidate, *failure.Error) {
	at := now.Sub(s.start)
	shard := s.shard(c.key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	rec := shard.records[c.key]
	if rec != nil && at-rec.fresh > c.keep {
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

func (s *store) grantNew(shard *shard, at time.Duration, c claim) *failure.Error {
	if c.historyLost {
		return errHistoryLost()
	}
	rec := &record{fingerprint: c.fingerprint}
	if c.replaces != (attemptID{}) {
		rec.replace(c.replaces)
	}
	size := rec.size(c.key)
	if s.full(size) {
		s.sweep(shard, at, c.keep)
	}
	if s.full(size) {
		return failure.New(failure.KeyStoreFull, failure.NotRun, "the owner holds %d keys in %d bytes", s.count.Load(), s.bytes.Load())
	}
	rec.grant(at, c)
	s.insert(shard, c.key, rec)
	return nil
}

func (s *store) full(size int64) bool {
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

// sweep drops the shard's expired records, at most once a second.
func (s *store) sweep(shard *shard, at, keep time.Duration) {
	if shard.swept != 0 && at-shard.swept < time.Second {
		return
	}
	shard.swept = at
	for key, rec := range shard.records {
		if at-rec.fresh > keep {
			s.drop(shard, key, rec)
		}
	}
}

// sweepNext drops the expired records of one shard; calls go round the shards.
func (s *store) sweepNext(now time.Time, keep time.Duration) {
	shard := &s.shards[s.nextSweep.Add(1)%shardCount]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	s.sweep(shard, now.Sub(s.start), keep)
}

func (r *record) claim(at time.Duration, c claim) (*candidate, *failure.Error) {
	if r.fingerprint != c.fingerprint {
		return nil, failure.New(failure.KeyReused, failure.NotRun, "the key was used for another request")
	}
	if c.replaces != (attemptID{}) && r.find(c.replaces) != nil {
		if len(r.replaced) >= maxReplaced {
			return nil, failure.New(failure.KeyStoreFull, failure.NotRun, "%d attempts of the key did not run", maxReplaced)
		}
		r.replace(c.replaces)
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

// holder returns a copy of the candidate that keeps the claim from being granted, or nil. Finished attempts come first,
// then those whose runner can be asked, then later grants.
func (r *record) holder(c claim) *candidate {
	var best *candidate
	bestScore := uint64(0)
	for i := range r.candidates {
		other := &r.candidates[i]
		if other.attempt == c.attempt && other.runner == c.runner {
			continue
		}
		score := other.version
		if c.present(other.runner) {
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
	r.fresh = max(r.fresh, at)
	if known := r.find(c.attempt); known != nil {
		known.owner, known.version = c.owner, c.version
		return
	}
	r.candidates = append(r.candidates, candidate{attempt: c.attempt, runner: c.runner, owner: c.owner, version: c.version})
}

func errHistoryLost() *failure.Error {
	return failure.New(failure.KeyHistoryLost, failure.Unknown, "the members that may have run the key are lost")
}

// export calls add with the records whose key passes the filter, one for each candidate.
func (s *store) export(now time.Time, wanted func(key string) bool, add func(*rpc.KeyRecord)) {
	at := now.Sub(s.start)
	for i := range s.shards {
		shard := &s.shards[i]
		shard.mu.Lock()
		for key, rec := range shard.records {
			if wanted(key) {
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
	age := uint32((at - r.fresh).Milliseconds())
	if len(r.candidates) == 0 {
		add(&rpc.KeyRecord{Key: key, Fingerprint: []byte(r.fingerprint), AgeMs: age, Replaced: replaced})
	}
	for _, c := range r.candidates {
		add(&rpc.KeyRecord{Key: key, Fingerprint: []byte(r.fingerprint), Attempt: bytes.Clone(c.attempt[:]), Runner: c.runner,
			Owner: c.owner, RosterVersion: c.version, AgeMs: age, State: c.state, Answer: c.answer, Replaced: replaced})
	}
}

// merge adds another member's record. It is accepted above the limits, because dropping it would forget the key.
func (s *store) merge(now time.Time, from *rpc.KeyRecord) {
	at := now.Sub(s.start)
	shard := s.shard(from.Key)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	rec := shard.records[from.Key]
	if rec == nil {
		rec = &record{fingerprint: string(from.Fingerprint), fresh: at - time.Duration(from.AgeMs)*time.Millisecond}
		s.insert(shard, from.Key, rec)
	}
	before := rec.size(from.Key)
	rec.merge(at, from, s.bytes.Load() < s.maxBytes)
	s.bytes.Add(rec.size(from.Key) - before)
}

func (r *record) merge(at time.Duration, from *rpc.KeyRecord, keepAnswer bool) {
	r.fresh = max(r.fresh, at-time.Duration(from.AgeMs)*time.Millisecond)
	for _, replaced := range from.Replaced {
		r.replace(attemptFrom(replaced))
	}
	if len(from.Attempt) == 0 {
		return
	}
	attempt := attemptFrom(from.Attempt)
	if from.State == rpc.AttemptState_ATTEMPT_NOT_RUN {
		r.replace(attempt)
	}
	if r.isReplaced(attempt) {
		return
	}
	known := r.find(attempt)
	if known == nil {
		r.candidates = append(r.candidates, candidate{attempt: attempt, runner: from.Runner, owner: from.Owner, version: from.RosterVersion})
		known = &r.candidates[len(r.candidates)-1]
	}
	known.version = max(known.version, from.RosterVersion)
	if final(from.State) || known.state == rpc.AttemptState_ATTEMPT_UNKNOWN {
		known.state = from.State
	}
	if from.Answer != nil && keepAnswer {
		known.answer = from.Answer
	}
}

func final(state rpc.AttemptState) bool {
	return state == rpc.AttemptState_ATTEMPT_DONE || state == rpc.AttemptState_ATTEMPT_BROKEN
}
