// Package controltest provides an in-memory platform store for tests and benchmarks of package control.
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

// errInjected is the Cause of injected errors.
var errInjected = errors.New("injected fault")

// Fault describes the fault to inject into one operation. The zero value injects none.
type Fault struct {
	Delay        time.Duration // delay before the operation takes effect
	Down         bool          // the operation has no effect and fails with *platform.UnavailableError
	ResponseLost bool          // the operation takes effect but fails with *platform.UnavailableError
}

// Counts holds the number of operations on a store, including failed ones.
type Counts struct {
	Reads   int // Get and Scan operations on the table
	Writes  int // Commit operations on the table
	Objects int // operations on the object store
}

// Store is an in-memory table and object store. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	fault   func(operation, key string) Fault
	onWrite func(platform.Write)
	counts  Counts
}

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{
		rows:    map[string]platform.Row{},
		objects: map[string][]byte{},
		fault:   func(string, string) Fault { return Fault{} },
		onWrite: func(platform.Write) {},
	}
}

// SetFault sets the function that returns the fault for each operation: "get", "scan", "commit" or "object".
func (s *Store) SetFault(fault func(operation, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetDown makes all operations fail if down is true, and removes all faults otherwise.
func (s *Store) SetDown(down bool) {
	s.SetFault(func(string, string) Fault { return Fault{Down: down} })
}

// OnWrite sets a function that is called for each applied write, in order.
func (s *Store) OnWrite(observe func(platform.Write)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWrite = observe
}

// Counts returns the number of operations so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// begin counts an operation, applies the delay of its fault and returns the fault. It fails with
// *platform.UnavailableError if the store is down or ctx ends.
func (s *Store) begin(ctx context.Context, operation, key string, counter func(*Counts) *int) (Fault, error) {
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

// responseError returns the error that the caller of an operation that took effect receives, or nil.
func (f Fault) responseError(operation string) error {
	if f.ResponseLost {
		return &platform.UnavailableError{Operation: operation, Cause: errInjected}
	}
	return nil
}

func reads(c *Counts) *int   { return &c.Reads }
func writes(c *Counts) *int  { return &c.Writes }
func objects(c *Counts) *int { return &c.Objects }

// Table returns the store's table.
func (s *Store) Table() platform.Table { return table{s} }

// Objects returns the store's object store.
func (s *Store) Objects() platform.Objects { return objectStore{s} }

type table struct{ s *Store }

func (t table) Get(ctx context.Context, key string) (platform.Row, error) {
	fault, err := t.s.begin(ctx, "get", key, reads)
	if err != nil {
		return platform.Row{}, err
	}
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	row, ok := t.s.rows[key]
	if !ok {
		return platform.Row{}, &platform.NotFoundError{Name: key}
	}
	return row, fault.responseError("get")
}

func (t table) Scan(ctx context.Context, prefix string) ([]platform.Row, error) {
	fault, err := t.s.begin(ctx, "scan", prefix, reads)
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
	return found, fault.responseError("scan")
}

func (t table) Commit(ctx context.Context, batch []platform.Write) ([]uint64, error) {
	fault, err := t.s.begin(ctx, "commit", batch[0].Key, writes)
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
	return versions, fault.responseError("commit")
}

type objectStore struct{ s *Store }

func (o objectStore) Put(ctx context.Context, name string, data []byte) error {
	fault, err := o.s.begin(ctx, "object", name, objects)
	if err != nil {
		return err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	if old, ok := o.s.objects[name]; ok && !slices.Equal(old, data) {
		return &platform.ConflictError{}
	}
	o.s.objects[name] = slices.Clone(data)
	return fault.responseError("object")
}

func (o objectStore) Get(ctx context.Context, name string) ([]byte, error) {
	fault, err := o.s.begin(ctx, "object", name, objects)
	if err != nil {
		return nil, err
	}
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	data, ok := o.s.objects[name]
	if !ok {
		return nil, &platform.NotFoundError{Name: name}
	}
	return data, fault.responseError("object")
}

func (o objectStore) List(ctx context.Context, prefix string) ([]string, error) {
	fault, err := o.s.begin(ctx, "object", prefix, objects)
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
	return names, fault.responseError("object")
}
