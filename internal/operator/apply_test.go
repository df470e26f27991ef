package operator

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/platformtest"
)

// list returns a small valid service list that differs by n.
func list(n int) []byte {
	return fmt.Appendf(nil, "[services.storefront]\ntimeout = \"%dms\"\n", 1000+n)
}

func standIn(t *testing.T) (*platformtest.Server, string) {
	t.Helper()
	server := platformtest.New()
	addr, err := server.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server, addr
}

func newOperator(t *testing.T, addr, name string, operation time.Duration) *Operator {
	t.Helper()
	config := platform.Config{Addr: addr, TryTimeout: min(100*time.Millisecond, operation/4), OperationTimeout: operation}
	client := platform.NewClient(config)
	t.Cleanup(client.Close)
	return &Operator{Table: client, Objects: client.Objects(), Name: name}
}

// Guards against a lost change when two operators work from the same version, and against a conflict that does not show
// what the other one did.
func TestTwoOperatorsOneConflict(t *testing.T) {
	_, addr := standIn(t)
	first, second := newOperator(t, addr, "rosa", time.Minute), newOperator(t, addr, "wei", time.Minute)
	_, err := first.Apply(t.Context(), list(0), nil)
	assert.NilError(t, err)
	seen := uint64(1)
	results := make([]error, 2)
	var group sync.WaitGroup
	for i, operator := range []*Operator{first, second} {
		group.Go(func() { _, results[i] = operator.Apply(t.Context(), list(1+i), &seen) })
	}
	group.Wait()
	loser := slices.IndexFunc(results, func(err error) bool { return err != nil })
	assert.Assert(t, loser >= 0, "both were accepted")
	assert.NilError(t, results[1-loser])
	var conflict *ConflictError
	assert.Assert(t, errors.As(results[loser], &conflict), "%v", results[loser])
	assert.Equal(t, ExitCode(results[loser]), ExitConflict)
	assert.Equal(t, conflict.Expected, uint64(1))
	assert.Equal(t, conflict.Found.Version, uint64(2))
	assert.Equal(t, conflict.Found.Operator, []string{"rosa", "wei"}[1-loser])
	assert.Assert(t, strings.Contains(conflict.Diff, fmt.Sprintf("-timeout = \"%dms\"", 1000+2-loser)), conflict.Diff)
	assert.Assert(t, strings.Contains(conflict.Diff, fmt.Sprintf("+timeout = \"%dms\"", 1000+1+loser)), conflict.Diff)
	current, err := first.Current(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, string(current.Text), string(list(2-loser)))
	history, err := first.History(t.Context(), 10)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 2)
}

// Guards against a second version for a commit whose answer was lost, also when no answer ever arrives and the client
// gives up, and against a second version for an identical text.
func TestLostAnswerIsAcceptedOnce(t *testing.T) {
	server, addr := standIn(t)
	operator := newOperator(t, addr, "rosa", 2*time.Second)
	server.SetFaults(platformtest.Faults{LoseAnswers: 3})
	applied, err := operator.Apply(t.Context(), list(1), nil)
	assert.NilError(t, err)
	assert.Equal(t, applied.Row.Version, uint64(1))

	stubborn := &Operator{Objects: operator.Objects, Table: &duringCommit{
		Table:  operator.Table,
		before: func() { server.SetFaults(platformtest.Faults{LoseAnswers: platformtest.AllAnswers}) },
		after:  func() { server.SetFaults(platformtest.Faults{}) },
	}}
	applied, err = stubborn.Apply(t.Context(), list(2), nil)
	assert.NilError(t, err)
	assert.Equal(t, applied.Row.Version, uint64(2))

	applied, err = operator.Apply(t.Context(), list(2), nil)
	assert.NilError(t, err)
	assert.Assert(t, applied.Unchanged)
	assert.Equal(t, server.Stats().Commits, int64(2))
}

// duringCommit calls functions before and after each commit.
type duringCommit struct {
	platform.Table
	before, after func()
}

func (d *duringCommit) Commit(ctx context.Context, writes []platform.Write) ([]uint64, error) {
	d.before()
	defer d.after()
	return d.Table.Commit(ctx, writes)
}

// Guards against an outage that is reported as a plain failure: the operator must learn whether something may have been
// accepted, and that trying again is safe.
func TestStoreOutageDuringApply(t *testing.T) {
	server, addr := standIn(t)
	operator := newOperator(t, addr, "rosa", time.Second)
	down := func() { server.SetFaults(platformtest.Faults{Down: true}) }
	cut := &Operator{Objects: operator.Objects, Table: &duringCommit{Table: operator.Table, before: down, after: func() {}}}
	_, err := cut.Apply(t.Context(), list(1), nil)
	var unknown *OutcomeUnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Equal(t, ExitCode(err), ExitUnavailable)
	_, err = operator.Apply(t.Context(), list(1), nil) // fails at its first read, when nothing can have been accepted
	assert.Assert(t, is[*platform.UnavailableError](err) && !is[*OutcomeUnknownError](err), "%v", err)
	assert.Equal(t, ExitCode(err), ExitUnavailable)
	server.SetFaults(platformtest.Faults{})
	applied, err := operator.Apply(t.Context(), list(1), nil)
	assert.NilError(t, err)
	assert.Equal(t, applied.Row.Version, uint64(1))
}

// Guards against a history that grows without bound, and against a proposal that lost showing up in it.
func TestHistoryKeepsNewestAccepted(t *testing.T) {
	memory := platformtest.NewMemory()
	operator := &Operator{Table: memory, Objects: memory.Objects(), Name: "rosa"}
	zero := uint64(0)
	for n := range keptVersions + 2 {
		_, err := operator.Apply(t.Context(), list(n), nil)
		assert.NilError(t, err)
		_, err = operator.Apply(t.Context(), list(n+1), &zero)
		assert.Assert(t, is[*ConflictError](err))
	}
	rows, err := operator.History(t.Context(), 2*keptVersions)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), keptVersions)
	assert.Equal(t, rows[0].Version, uint64(keptVersions+2))
	kept, err := operator.Version(t.Context(), 3)
	assert.NilError(t, err)
	assert.Equal(t, string(kept.Text), string(list(2)))
	_, err = operator.Version(t.Context(), 2)
	assert.Assert(t, is[*NoListError](err), "%v", err)
}

// Guards against a text that was damaged in the store being taken for the accepted one.
func TestDamagedTextIsRefused(t *testing.T) {
	memory := platformtest.NewMemory()
	operator := &Operator{Table: memory, Objects: memory.Objects()}
	assert.NilError(t, memory.Objects().Put(t.Context(), "config/x", list(1)))
	row := fmt.Appendf(nil, `{"version": 1, "object": "config/x", "sha256": %q}`, digest(list(2)))
	_, err := memory.Commit(t.Context(), []platform.Write{{Key: cluster.CurrentListKey, Value: row}})
	assert.NilError(t, err)
	_, err = operator.Apply(t.Context(), list(3), nil)
	assert.Assert(t, is[*CorruptError](err), "%v", err)
	assert.Equal(t, ExitCode(err), ExitFailed)
}
