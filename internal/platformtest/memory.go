package platformtest

import (
	"context"

	"github.com/acacialock/acacialock/internal/platform"
)

// Memory is the stand-in's table without HTTP and faults. It uses no network, so tests can use it in a testing/synctest
// bubble. Safe for concurrent use.
type Memory struct{ store *store }

var (
	_ platform.Table   = (*Memory)(nil)
	_ platform.Objects = (*MemoryObjects)(nil)
)

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{store: newStore()} }

// Objects returns the object store of the same stand-in.
func (m *Memory) Objects() *MemoryObjects { return &MemoryObjects{store: m.store} }

// Get implements platform.Table. It fails with *platform.NotFoundError.
func (m *Memory) Get(_ context.Context, key string) (platform.Row, error) {
	row, ok := m.store.getRow(key)
	if !ok {
		return platform.Row{}, &platform.NotFoundError{Name: key}
	}
	return row, nil
}

// Scan implements platform.Table. It never fails.
func (m *Memory) Scan(_ context.Context, prefix string) ([]platform.Row, error) {
	return m.store.scanRows(prefix), nil
}

// Commit implements platform.Table. It fails with *platform.ConflictError.
func (m *Memory) Commit(_ context.Context, writes []platform.Write) ([]uint64, error) {
	result, _ := m.store.commit(platform.NewWriteID(), writes)
	if len(result.conflict) > 0 {
		return nil, &platform.ConflictError{Stored: result.conflict}
	}
	return result.versions, nil
}

// MemoryObjects is the object store of a Memory. Safe for concurrent use.
type MemoryObjects struct{ store *store }

// Put implements platform.Objects. It fails with *platform.ConflictError.
func (m *MemoryObjects) Put(_ context.Context, name string, data []byte) error {
	if !m.store.putObject(name, data) {
		return &platform.ConflictError{}
	}
	return nil
}

// Get implements platform.Objects. It fails with *platform.NotFoundError.
func (m *MemoryObjects) Get(_ context.Context, name string) ([]byte, error) {
	data, ok := m.store.getObject(name)
	if !ok {
		return nil, &platform.NotFoundError{Name: name}
	}
	return data, nil
}

// List implements platform.Objects. It never fails.
func (m *MemoryObjects) List(_ context.Context, prefix string) ([]string, error) {
	return m.store.listObjects(prefix), nil
}
