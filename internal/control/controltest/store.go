// Package controltest holds an in-memory platform for tests and benchmarks of package control.
package controltest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/platform"
)

// errInjected is the cause of injected failures.
var errInjected = errors.New("injected fault")

// Fault is what happens to one operation.
type Fault struct {
	Delay time.Duration // before the operation takes effect
	Down  bool          // the operation has no effect and fails with *UnavailableError
	Lost  bool          // the operation takes effect but fails with *UnavailableError
}

// Counts are the operations that reached the store, failed ones included.
type Counts struct {
	Reads   int // Get and Scan of the table
	Writes  int // commits
	Objects int // operations of the object store
}

// Store is a table and an object store in memory. Safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	fault   func(operation, key string) Fault
	onWrite func(platform.Write)
	counts  Counts
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
		fault:   func(string, string) Fault { return Fault{} },
		onWrite: func(platform.Write) {},
	}
}

// SetFault replaces the function that gives the fault of each operation: "get", "scan", "commit" or "object".
func (s *Store) SetFault(fault func(operation, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetDown makes all operations fail, or none.
func (s *Store) SetDown(down bool) {
	s.SetFault(func(string, string) Fault { return Fault{Down: down} })
}

// OnWrite sets a function called for each applied write, in the order of application.
func (s *Store) OnWrite(observe func(platform.Write)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWrite = observe
}

// Counts returns the operations so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// enter counts an operation and applies its fault.
func (s *Store) enter(ctx context.Context, operation, key string, counter func(*Counts) *int) (Fault, error) {
	s.mu.Lock()
	*counter(&s.counts)++
	fault := s.fault(operation, key)
	s.mu.Unlock()
	if fault.Delay > 0 {
		select {
		case <-time.After(fault.Delay):
		case <-ctx.Done():
			return fault, &platform.UnavailableError{Operation: operation, Cause: ctx.Err()}
		}
	}
	if fault.Down {
		return fault, &platform.UnavailableError{Operation: operation, Cause: errInjected}
	}
	return fault, nil
}

// leave gives the error of an operation that took effect.
func (f Fault) leave(operation string) error {
	if f.Lost {
		return &platform.UnavailableError{Operation: operation, Cause: errInjected}
	}
	return nil
}

func reads(c *Counts) *int   { return &c.Reads }
func writes(c *Counts) *int  { return &c.Writes }
func objects(c *Counts) *int { return &c.Objects }

// Table returns the store's table.
func (s *Store) Table() platform.Table { return table{s} }

// Objects returns the store's objects.
func (s *Store) Objects() platform.Objects { return objectStore{s} }

type table struct{ s *Store }

func (t table) Get(ctx context.Context, key string) (platform.Row, error) {
	fault, err := t.s.enter(ctx, "get", key, reads)
	if err != nil {
		return platform.Row{}, err
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	row, ok := t.s.rows[key]
	if !ok {
		return platform.Row{}, &platform.NotFoundError{Name: key}
	}
	return row, fault.leave("get")
}

func (t table) Scan(ctx context.Context, prefix string) ([]platform.Row, error) {
	fault, err := t.s.enter(ctx, "scan", prefix, reads)
	if err != nil {
		return nil, err
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	var found []platform.Row
	for key, row := range t.s.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return found, fault.leave("scan")
}

func (t table) Commit(ctx context.Context, batch []platform.Write) ([]uint64, error) {
	fault, err := t.s.enter(ctx, "commit", batch[0].Key, writes)
	if err != nil {
		return nil, err
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	conflict := &platform.ConflictError{}
	for _, w := range batch {
		if t.s.rows[w.Key].Version != w.IfVersion {
			conflict.Stored = append(conflict.Stored, t.s.rows[w.Key])
		}
	}
	if len(conflict.Stored) > 0 {
		return nil, conflict
	}
	versions := make([]uint64, 0, len(batch))
	for _, w := range batch {
		t.s.rows[w.Key] = platform.Row{Key: w.Key, Version: w.IfVersion + 1, Value: slices.Clone(w.Value)}
		versions = append(versions, w.IfVersion+1)
		t.s.onWrite(w)
	}
	return versions, fault.leave("commit")
}

type objectStore struct{ s *Store }

func (o objectStore) Put(ctx context.Context, name string, data []byte) error {
	fault, err := o.s.enter(ctx, "object", name, objects)
	if err != nil {
		return err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	if old, ok := o.s.objects[name]; ok && !slices.Equal(old, data) {
		return &platform.ConflictError{}
	}
	o.s.objects[name] = slices.Clone(data)
	return fault.leave("object")
}

func (o objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	fault, err := o.s.enter(ctx, "object", name, objects)
	if err != nil {
		return nil, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	data, ok := o.s.objects[name]
	if !ok {
		return nil, &platform.NotFoundError{Name: name}
	}
	return data, fault.leave("object")
}

func (o objectStore) List(ctx context.Context, prefix string) ([]string, error) {
	fault, err := o.s.enter(ctx, "object", prefix, objects)
	if err != nil {
		return nil, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	var names []string
	for name := range o.s.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, fault.leave("object")
}
