package platformtest

import (
	"bytes"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/platform"
)

// store is the state of the stand-in. One mutex orders all operations, which makes them linearizable.
type store struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	versions map[string]uint64 // last version of each key, also of deleted rows: versions never repeat
	objects  map[string][]byte
	decided  map[string]decision // by write id
	order    []decidedAt         // write ids by age
	now      func() time.Time
}

// decision is the answer to a commit: the new versions, or the rows whose condition failed.
type decision struct {
	versions []uint64
	conflict []platform.Row
}

type decidedAt struct {
	writeID string
	at      time.Time
}

func newStore() *store {
	return &store{
		rows:     map[string]platform.Row{},
		versions: map[string]uint64{},
		objects:  map[string][]byte{},
		decided:  map[string]decision{},
		now:      time.Now,
	}
}

func (s *store) get(key string) (platform.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	return row, ok
}

func (s *store) scan(prefix string) []platform.Row {
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

// commit decides a write id once; repeated reports that the decision was made before.
func (s *store) commit(writeID string, writes []platform.Write) (decided decision, repeated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetOld()
	if known, ok := s.decided[writeID]; ok {
		return known, true
	}
	decided.conflict = s.conflicts(writes)
	if len(decided.conflict) == 0 {
		decided.versions = s.apply(writes)
	}
	s.decided[writeID] = decided
	s.order = append(s.order, decidedAt{writeID: writeID, at: s.now()})
	return decided, false
}

func (s *store) forgetOld() {
	limit := s.now().Add(-platform.WriteIDRetention)
	for len(s.order) > 0 && s.order[0].at.Before(limit) {
		delete(s.decided, s.order[0].writeID)
		s.order = s.order[1:]
	}
}

func (s *store) conflicts(writes []platform.Write) []platform.Row {
	var failed []platform.Row
	for _, write := range writes {
		if row := s.rows[write.Key]; row.Version != write.IfVersion {
			row.Key = write.Key
			failed = append(failed, row)
		}
	}
	return failed
}

func (s *store) apply(writes []platform.Write) []uint64 {
	versions := make([]uint64, len(writes))
	for i, write := range writes {
		if write.Delete {
			delete(s.rows, write.Key)
			continue
		}
		s.versions[write.Key]++
		versions[i] = s.versions[write.Key]
		s.rows[write.Key] = platform.Row{Key: write.Key, Version: versions[i], Value: write.Value}
	}
	return versions
}

// put reports false when the object exists with other bytes.
func (s *store) put(name string, data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored, ok := s.objects[name]; ok {
		return bytes.Equal(stored, data)
	}
	s.objects[name] = data
	return true
}

func (s *store) object(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, ok := s.objects[name]
	return data, ok
}

func (s *store) list(prefix string) []string {
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
