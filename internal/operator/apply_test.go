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

// listText returns a small valid service list; its text is different for each n.
func listText(n int) []byte {
	return fmt.Appendf(nil, "[services.storefront]\ntimeout = \"%dms\"\n", 1000+n)
}

// startPlatform starts an in-memory platform server and returns its address.
func startPlatform(t *testing.T) (*platformtest.Server, string) {
	t.Helper()
	server := platformtest.New()
	addr, err := server.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server, addr
}

// newOperator returns an operator with a client of its own. A try at the store ends after a quarter of
// operationTimeout, and after 100 ms at most.
func newOperator(t *testing.T, addr, name string, operationTimeout time.Duration) *Operator {
	t.Helper()
	config := platform.Config{Addr: addr, TryTimeout: min(100*time.Millisecond, operationTimeout/4), OperationTimeout: operationTimeout}
	client := platform.NewClient(config)
	t.Cleanup(client.Close)
	return &Operator{Table: client, Objects: client.Objects(), Name: name}
}

// Guards against a lost update when two operators apply different lists on top of the same version, and against a
// conflict error that does not show the other operator's change.
func TestConcurrentApplyConflicts(t *testing.T) {
	_, addr := startPlatform(t)
	first, second := newOperator(t, addr, "rosa", time.Minute), newOperator(t, addr, "wei", time.Minute)
	_, err := first.Apply(t.Context(), listText(0), nil)
	assert.NilError(t, err)
	seen := uint64(1)
	results := make([]error, 2)
	var group sync.WaitGroup
	for i, operator := range []*Operator{first, second} {
		group.Go(func() { _, results[i] = operator.Apply(t.Context(), listText(1+i), &seen) })
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
	assert.Equal(t, string(current.Text), string(listText(2-loser)))
	history, err := first.History(t.Context(), 10)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 2)
}

// Guards against a duplicate version after a commit whose response was lost. The client either retries and gets a later
// response, or fails because none arrives. Also guards against a new version for an identical text.
func TestLostCommitResponseCreatesOneVersion(t *testing.T) {
	server, addr := startPlatform(t)
	operator := newOperator(t, addr, "rosa", 2*time.Second)
	server.SetFaults(platformtest.Faults{LoseResponses: 3})
	applied, err := operator.Apply(t.Context(), listText(1), nil)
	assert.NilError(t, err)
	assert.Equal(t, applied.Row.Version, uint64(1))

	unanswered := &Operator{Objects: operator.Objects, Table: &commitHooks{
		Table:  operator.Table,
		before: func() { server.SetFaults(platformtest.Faults{LoseResponses: platformtest.LoseAllResponses}) },
		after:  func() { server.SetFaults(platformtest.Faults{}) },
	}}
	applied, err = unanswered.Apply(t.Context(), listText(2), nil)
	assert.NilError(t, err)
	assert.Equal(t, applied.Row.Version, uint64(2))

	applied, err = operator.Apply(t.Context(), listText(2), nil)
	assert.NilError(t, err)
	assert.Assert(t, applied.Unchanged)
	assert.Equal(t, server.Stats().Commits, int64(2))
}

// commitHooks is a Table that calls functions before and after each commit.
type commitHooks struct {
	platform.Table
	before, after func()
}

func (h *commitHooks) Commit(ctx context.Context, writes []platform.Write) ([]uint64, error) {
	h.before()
	defer h.after()
	return h.Table.Commit(ctx, writes)
}

// Guards against a store outage that is reported as an ordinary error. The error must tell the operator whether the
// list may have been accepted and that applying it again is safe.
func TestStoreOutageDuringApply(t *testing.T) {
	server, addr := startPlatform(t)
	operator := newOperator(t, addr, "rosa", time.Second)
	down := func() { server.SetFaults(platformtest.Faults{Down: true}) }
	interrupted := &Operator{Objects: operator.Objects, Table: &commitHooks{Table: operator.Table, before: down, after: func() {}}}
	_, err := interrupted.Apply(t.Context(), listText(1), nil)
	var unknown *OutcomeUnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	assert.Equal(t, ExitCode(err), ExitUnavailable)
	_, err = operator.Apply(t.Context(), listText(1), nil) // fails at its first read, before anything can have been accepted
	assert.Assert(t, isErrorType[*platform.UnavailableError](err) && !isErrorType[*OutcomeUnknownError](err), "%v", err)
	assert.Equal(t, ExitCode(err), ExitUnavailable)
	server.SetFaults(platformtest.Faults{})
	applied, err := operator.Apply(t.Context(), listText(1), nil)
	assert.NilError(t, err)
	assert.Equal(t, applied.Row.Version, uint64(1))
}

// Guards against a history that grows without bound, and against a record of a proposal that was rejected by a
// conflict.
func TestHistoryKeepsNewestAccepted(t *testing.T) {
	memory := platformtest.NewMemory()
	operator := &Operator{Table: memory, Objects: memory.Objects(), Name: "rosa"}
	zero := uint64(0)
	for n := range maxHistoryVersions + 2 {
		_, err := operator.Apply(t.Context(), listText(n), nil)
		assert.NilError(t, err)
		_, err = operator.Apply(t.Context(), listText(n+1), &zero)
		assert.Assert(t, isErrorType[*ConflictError](err))
	}
	rows, err := operator.History(t.Context(), 2*maxHistoryVersions)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), maxHistoryVersions)
	assert.Equal(t, rows[0].Version, uint64(maxHistoryVersions+2))
	oldest, err := operator.Version(t.Context(), 3)
	assert.NilError(t, err)
	assert.Equal(t, string(oldest.Text), string(listText(2)))
	_, err = operator.Version(t.Context(), 2)
	assert.Assert(t, isErrorType[*NoListError](err), "%v", err)
}

// Guards against a text that was damaged in the store and is accepted as the current list without a check of its
// digest.
func TestDamagedTextIsRefused(t *testing.T) {
	memory := platformtest.NewMemory()
	operator := &Operator{Table: memory, Objects: memory.Objects()}
	assert.NilError(t, memory.Objects().Put(t.Context(), "config/x", listText(1)))
	row := fmt.Appendf(nil, `{"version": 1, "object": "config/x", "sha256": %q}`, hexSHA256(listText(2)))
	_, err := memory.Commit(t.Context(), []platform.Write{{Key: cluster.CurrentListKey, Value: row}})
	assert.NilError(t, err)
	_, err = operator.Apply(t.Context(), listText(3), nil)
	assert.Assert(t, isErrorType[*CorruptError](err), "%v", err)
	assert.Equal(t, ExitCode(err), ExitFailed)
}
