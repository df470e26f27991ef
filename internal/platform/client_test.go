package platform_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/platformtest"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// TestMain guards against connections and goroutines that outlive the client, including those of replaced transports.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startServer starts a stand-in for the platform and returns it with a client, whose try timeout is 100 ms by default,
// and the registry of the client's metrics.
func startServer(t *testing.T, config platform.Config) (*platformtest.Server, *platform.Client, *telemetry.Registry) {
	t.Helper()
	server := platformtest.New()
	addr, err := server.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	config.Addr = addr
	config.Metrics = telemetry.New()
	config.TryTimeout = cmp.Or(config.TryTimeout, 100*time.Millisecond)
	client := platform.NewClient(config)
	t.Cleanup(client.Close)
	return server, client, config.Metrics
}

// increment increments a counter row by compare-and-set.
func increment(ctx context.Context, table platform.Table, key string) error {
	for {
		row, err := table.Get(ctx, key)
		var missing *platform.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			return err
		}
		count, _ := strconv.Atoi(string(row.Value)) // an absent row counts as 0
		_, err = table.Commit(ctx, []platform.Write{{Key: key, IfVersion: row.Version, Value: []byte(strconv.Itoa(count + 1))}})
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
}

// Guards against a commit that is applied twice or not at all when responses are lost, connections stop responding, and
// the store is slow or limits the rate, while several workers update the same row.
func TestCommitsApplyOnceUnderFaults(t *testing.T) {
	const workers, rounds = 4, 15
	server, client, metrics := startServer(t, platform.Config{OperationTimeout: time.Minute})
	server.SetFaults(platformtest.Faults{LoseEvery: 3, DelayMS: 1, WritesPerSecond: 25})
	var group sync.WaitGroup
	failed := make(chan error, workers*rounds)
	for range workers {
		group.Go(func() {
			for round := range rounds {
				failed <- increment(t.Context(), client, "counter")
				if round%5 == 0 {
					server.SilenceConnections()
				}
			}
		})
	}
	group.Wait()
	close(failed)
	for err := range failed {
		assert.NilError(t, err)
	}
	row, err := client.Get(t.Context(), "counter")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), strconv.Itoa(workers*rounds))
	assert.Equal(t, row.Version, uint64(workers*rounds))
	assert.Equal(t, server.Stats().Commits, int64(workers*rounds))
	assert.Assert(t, server.Stats().Repeated > 0, "no commit was sent again")
	for _, reason := range []string{"silent", "rate-limited", "connection-lost"} {
		assert.Assert(t, metrics.Counter("platform.retry."+reason).Count() > 0, reason)
	}
}

// Guards against one timeout for each pooled connection when all of them stop responding at once.
func TestSilentConnectionsCauseOneTimeout(t *testing.T) {
	const connections = 6
	server, client, metrics := startServer(t, platform.Config{Connections: connections, TryTimeout: 2 * time.Second})
	server.SetFaults(platformtest.Faults{DelayMS: 50})
	var group sync.WaitGroup
	for i := range connections {
		group.Go(func() { assert.Check(t, increment(t.Context(), client, fmt.Sprint("row", i))) })
	}
	group.Wait()
	server.SetFaults(platformtest.Faults{})
	server.SilenceConnections()
	for range 3 * connections {
		_, err := client.Scan(t.Context(), "row")
		assert.NilError(t, err)
	}
	assert.Equal(t, metrics.Counter("platform.retry.silent").Count(), int64(1))
}

// Guards against an operation that exceeds its timeout or fails with an untyped error while the store is down, and
// against a client that does not recover afterwards.
func TestStoreDownFailsTypedAndRecovers(t *testing.T) {
	server, client, metrics := startServer(t, platform.Config{OperationTimeout: 300 * time.Millisecond})
	server.SetFaults(platformtest.Faults{Down: true})
	_, err := client.Scan(t.Context(), "")
	var unavailable *platform.UnavailableError
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	assert.Equal(t, unavailable.Operation, "scan")
	assert.ErrorIs(t, err, context.DeadlineExceeded)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err = client.Objects().Put(ctx, "name", nil)
	assert.Assert(t, errors.As(err, &unavailable), "%v", err)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, metrics.Counter("platform.unavailable.put").Count(), int64(1))

	server.SetFaults(platformtest.Faults{})
	assert.NilError(t, increment(t.Context(), client, "row"))
}

// Guards against timeouts that never fit a slow store: the timeouts of tries grow until a response arrives in time, and
// the commit is applied once.
func TestSlowStoreIsRetriedWithLongerTimeouts(t *testing.T) {
	server, client, metrics := startServer(t, platform.Config{OperationTimeout: time.Minute})
	server.SetFaults(platformtest.Faults{DelayMS: 300})
	versions, err := client.Commit(t.Context(), []platform.Write{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2")}})
	assert.NilError(t, err)
	assert.DeepEqual(t, versions, []uint64{1, 1})
	assert.Equal(t, server.Stats().Commits, int64(1))
	assert.Assert(t, metrics.Counter("platform.retry.silent").Count() > 0)
}

// Guards against a failure that reaches the caller without its type.
func TestResponsesMapToTypedErrors(t *testing.T) {
	server, client, _ := startServer(t, platform.Config{})
	objects := client.Objects()
	assert.NilError(t, objects.Put(t.Context(), "config/2", []byte("two")))
	assert.NilError(t, objects.Put(t.Context(), "config/1", []byte("one")))
	assert.NilError(t, objects.Put(t.Context(), "config/1", []byte("one")))
	names, err := objects.List(t.Context(), "config/")
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"config/1", "config/2"})
	data, err := objects.Get(t.Context(), "config/1")
	assert.NilError(t, err)
	assert.Equal(t, string(data), "one")

	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(objects.Put(t.Context(), "config/1", []byte("other")), &conflict))
	var missing *platform.NotFoundError
	_, err = client.Get(t.Context(), "absent")
	assert.Assert(t, errors.As(err, &missing))
	assert.Equal(t, missing.Name, "absent")
	_, err = objects.Get(t.Context(), "absent")
	assert.Assert(t, errors.As(err, &missing))
	var rejected *platform.RejectedError
	_, err = client.Commit(t.Context(), nil)
	assert.Assert(t, errors.As(err, &rejected))

	assert.NilError(t, increment(t.Context(), client, "row"))
	_, err = client.Commit(t.Context(), []platform.Write{{Key: "row", IfVersion: 7}, {Key: "new", Value: []byte("x")}})
	assert.Assert(t, errors.As(err, &conflict))
	assert.DeepEqual(t, conflict.Stored, []platform.Row{{Key: "row", Version: 1, Value: []byte("1")}})
	assert.Equal(t, server.Stats().Conflicts, int64(1))
}
