package membership

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/timing"
)

// memoryFeed is a platform.Feed in memory. A delayed write fails, and applyDelayedWrites applies it later if its condition
// still holds.
type memoryFeed struct {
	mu              sync.Mutex
	era, version    uint64
	rows            map[string]map[string]platform.FeedRow
	changes         map[string][]platform.FeedRow
	delayedWrites   []func()
	delayNextWrite  bool
	silent          bool            // reads that begin now fail after their wait
	silentListWaits []time.Duration // waits of the list reads that began while silent was set
}

func newMemoryFeed() *memoryFeed {
	return &memoryFeed{rows: map[string]map[string]platform.FeedRow{}, changes: map[string][]platform.FeedRow{}}
}

func (f *memoryFeed) ReadAll(_ context.Context, table string) ([]platform.FeedRow, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []platform.FeedRow
	for _, row := range f.rows[table] {
		row.Version = platform.EraVersion(f.era, row.Version)
		rows = append(rows, row)
	}
	return rows, platform.EraVersion(f.era, f.version), nil
}

func (f *memoryFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]platform.FeedRow, uint64, error) {
	f.mu.Lock()
	silent := f.silent
	if silent && table == "op" {
		f.silentListWaits = append(f.silentListWaits, wait)
	}
	f.mu.Unlock()
	if silent {
		_ = timing.Sleep(ctx, wait)
		return nil, 0, &platform.UnavailableError{Operation: "changes", Cause: context.DeadlineExceeded}
	}
	for end := time.Now().Add(wait); ; {
		f.mu.Lock()
		if platform.VersionEra(after) != f.era {
			f.mu.Unlock()
			return nil, 0, &platform.HistoryLostError{Table: table, Restored: true}
		}
		var rows []platform.FeedRow
		for _, row := range f.changes[table] {
			row.Version = platform.EraVersion(f.era, row.Version)
			if row.Version > after {
				rows = append(rows, row)
			}
		}
		version := platform.EraVersion(f.era, f.version)
		f.mu.Unlock()
		if len(rows) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return rows, version, ctx.Err()
		}
		_ = timing.Sleep(ctx, time.Millisecond)
	}
}

func (f *memoryFeed) put(table string, row platform.FeedRow) uint64 {
	f.version++
	row.Version = f.version
	if f.rows[table] == nil {
		f.rows[table] = map[string]platform.FeedRow{}
	}
	f.rows[table][row.Key] = row
	f.changes[table] = append(f.changes[table], row)
	return f.version
}

// restore makes the store come back from a copy of the given version.
func (f *memoryFeed) restore(version uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := f.changes
	f.rows, f.changes = map[string]map[string]platform.FeedRow{}, map[string][]platform.FeedRow{}
	for table, rows := range changes {
		for _, row := range rows {
			if f.version = row.Version - 1; row.Version <= version {
				f.put(table, row)
			}
		}
	}
	f.era++
	f.version = version
}

func (f *memoryFeed) CompareAndSwap(_ context.Context, table string, row platform.FeedRow, ifVersion uint64) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.delayNextWrite {
		f.delayNextWrite = false
		f.delayedWrites = append(f.delayedWrites, func() {
			if f.rows[table][row.Key].Version == platform.VersionCounter(ifVersion) {
				f.put(table, row)
			}
		})
		return 0, &platform.UnavailableError{Operation: "replace", Cause: context.DeadlineExceeded}
	}
	if stored := f.rows[table][row.Key]; stored.Version != platform.VersionCounter(ifVersion) {
		return 0, &platform.StaleRowError{Stored: stored}
	}
	return platform.EraVersion(f.era, f.put(table, row)), nil
}

func (f *memoryFeed) applyDelayedWrites() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, write := range f.delayedWrites {
		write()
	}
	f.delayedWrites = nil
}

func (f *memoryFeed) storedRow(key string) Row {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, _ := DecodeRow(key, f.rows[MembersTable][key].Value)
	return row
}

func member(name, service, addr string) cluster.Member {
	return cluster.Member{ID: name + "@1.1", Service: service, Zone: "a", Region: "r", PeerAddr: addr}
}

func startDirectory(t *testing.T, feed *memoryFeed) (*Directory, *cluster.View) {
	t.Helper()
	self := cluster.Member{ID: "own@2", Service: "shop", PeerAddr: "10.0.0.1:1"}
	view := cluster.NewView(&cluster.Snapshot{Self: self})
	directory := New(Config{
		Name: "own", Self: self, Store: feed, View: view, Metrics: telemetry.New(),
		List: ListSource{Table: "op", Key: "config", Parse: func([]byte) (*servicelist.List, error) {
			return &servicelist.List{Version: 1}, nil
		}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- directory.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	<-directory.MembersLoaded()
	return directory, view
}

func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

// Guards against requests that are sent to a machine of another service: a machine failed without removing its row, and its
// address was assigned to another machine.
func TestReusedAddressBelongsToLatestNode(t *testing.T) {
	feed := newMemoryFeed()
	const addr = "10.0.0.7:1"
	feed.put(MembersTable, platform.FeedRow{Key: "lost", Value: encodeRow(Row{Member: member("lost", "shop", addr)})})
	feed.put(MembersTable, platform.FeedRow{Key: "other", Value: encodeRow(Row{Member: member("other", "shop", "10.0.0.8:1")})})
	_, view := startDirectory(t, feed)
	eventually(t, "both are known", func() bool { return len(view.Load().Members["shop"]) == 2 })
	feed.mu.Lock()
	feed.put(MembersTable, platform.FeedRow{Key: "new", Value: encodeRow(Row{Member: member("new", "stock", addr)})})
	feed.mu.Unlock()
	eventually(t, "the new node is known", func() bool { return len(view.Load().Members["stock"]) == 1 })
	assert.Equal(t, len(view.Load().Members["shop"]), 1)
	assert.Equal(t, view.Load().Members["shop"][0].ID, "other@1.1")
}

// Guards against a write that timed out, takes effect late and overwrites a newer one, such as a drain.
func TestLateWriteDoesNotUndoANewerOne(t *testing.T) {
	feed := newMemoryFeed()
	directory, view := startDirectory(t, feed)
	feed.mu.Lock()
	feed.delayNextWrite = true
	feed.mu.Unlock()
	row := Row{Member: member("own", "shop", "10.0.0.1:1"), Target: TargetStart{ID: "i-1", StartedAt: 1}}
	directory.Announce(row)
	eventually(t, "the row is stored", directory.OwnRowStored)
	row.Member.Draining = true
	directory.Announce(row)
	eventually(t, "the drain is stored", directory.OwnRowStored)
	feed.applyDelayedWrites()
	assert.Assert(t, feed.storedRow("own").Member.Draining)
	eventually(t, "the own row is in the snapshot", func() bool {
		members := view.Load().Members["shop"]
		return len(members) == 1 && members[0].Draining
	})
}

// Guards against long polls while the store doesn't respond: the store never answers a read that it received then, so the
// node would detect the recovery only when that poll times out.
func TestReadsDoNotWaitAtUnresponsiveStore(t *testing.T) {
	feed := newMemoryFeed()
	startDirectory(t, feed)
	feed.mu.Lock()
	feed.silent = true
	feed.put("op", platform.FeedRow{Key: "other"}) // ends the read that began before silent was set
	feed.mu.Unlock()
	reads := func() []time.Duration {
		feed.mu.Lock()
		defer feed.mu.Unlock()
		return append([]time.Duration(nil), feed.silentListWaits...)
	}
	eventually(t, "three reads began while the store is silent", func() bool { return len(reads()) >= 3 })
	assert.Equal(t, reads()[0], listReadWait)
	for _, wait := range reads()[1:] {
		assert.Equal(t, wait, time.Duration(0))
	}
}
