package platformtest

import (
	"bytes"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/platform"
)

// store is the state of the stand-in. A single mutex makes all operations linearizable.
type store struct {
	mu           sync.Mutex
	rows         map[string]platform.Row
	lastVersions map[string]uint64 // last version of each key, including deleted rows, so that versions never repeat
	objects      map[string][]byte
	decisions    map[string]decision // by write ID
	byAge        []decisionTime      // decided write IDs, oldest first
	now          func() time.Time
}

// decision is the result of a commit: the new versions, or the rows whose condition failed.
type decision struct {
	versions []uint64
	conflict []platform.Row
}

type decisionTime struct {
	writeID string
	at      time.Time
}

func newStore() *store {
	return &store{
		rows:         map[string]platform.Row{},
		lastVersions: map[string]uint64{},
		objects:      map[string][]byte{},
		decisions:    map[string]decision{},
		now:          time.Now,
	}
}

func (s *store) getRow(key string) (platform.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	return row, ok
}

func (s *store) scanRows(prefix string) []platform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []platform.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// commit decides a write ID once and applies the writes if all conditions hold; repeated reports that the write ID had
// already been decided.
func (s *store) commit(writeID string, writes []platform.Write) (result decision, repeated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictExpiredDecisions()
	if known, ok := s.decisions[writeID]; ok {
		return known, true
	}
	result.conflict = s.conflictingRows(writes)
	if len(result.conflict) == 0 {
		result.versions = s.apply(writes)
	}
	s.decisions[writeID] = result
	s.byAge = append(s.byAge, decisionTime{writeID: writeID, at: s.now()})
	return result, false
}

// evictExpiredDecisions discards the decisions that are older than platform.WriteIDRetention.
func (s *store) evictExpiredDecisions() {
	limit := s.now().Add(-platform.WriteIDRetention)
	for len(s.byAge) > 0 && s.byAge[0].at.Before(limit) {
		delete(s.decisions, s.byAge[0].writeID)
		s.byAge = s.byAge[1:]
	}
}

// conflictingRows returns the stored row of each write whose condition does not hold.
func (s *store) conflictingRows(writes []platform.Write) []platform.Row {
	var failed []platform.Row
	for _, write := range writes {
		if row := s.rows[write.Key]; row.Version != write.IfVersion {
			row.Key = write.Key
			failed = append(failed, row)
		}
	}
	return failed
}

// apply executes the writes and returns the new version of each row, 0 for a deleted one.
func (s *store) apply(writes []platform.Write) []uint64 {
	versions := make([]uint64, len(writes))
	for i, write := range writes {
		if write.Delete {
			delete(s.rows, write.Key)
			continue
		}
		s.lastVersions[write.Key]++
		versions[i] = s.lastVersions[write.Key]
		s.rows[write.Key] = platform.Row{Key: write.Key, Version: versions[i], Value: write.Value}
	}
	return versions
}

// putObject stores an object. It returns false if the object exists with other bytes.
func (s *store) putObject(name string, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored, ok := s.objects[name]; ok {
		return bytes.Equal(stored, data)
	}
	s.objects[name] = data
	return true
}

func (s *store) getObject(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	return data, ok
}

func (s *store) listObjects(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{}
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
