package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/timing"
)

// followedTable is a table whose changes a node follows, in the store or through a reader.
type followedTable struct {
	name     string
	readWait time.Duration // long-poll timeout of one read of changes
	// firstReadDelay is the time between the read of the complete table and the first read of changes; 0: none.
	firstReadDelay time.Duration
	// pauseAfterChanges returns the pause before the next read after a read that returned changes, which batches further
	// changes into one read. Nil for no pause.
	pauseAfterChanges func() time.Duration
	// apply applies rows to the node's state. If full is set, they are the complete table at the version, otherwise changes. It
	// returns the rows to be relayed to followers.
	apply       func(ctx context.Context, rows []platform.FeedRow, full bool, version uint64) []platform.FeedRow
	cancelRead  *atomic.Pointer[context.CancelFunc] // if not nil, set to the cancel function of the read in progress
	relay       *relay
	relayTable  *relayTable // this table in relay
	tracksStore bool        // reads of this table determine whether the store counts as reachable

	version    atomic.Uint64 // version of the known state
	loaded     atomic.Bool   // the complete table has been read
	readFailed atomic.Bool   // the last read from the store failed
}

// update applies rows that were read and passes them to the relay for followers.
func (f *followedTable) update(ctx context.Context, rows []platform.FeedRow, full bool, version uint64) {
	if len(rows) > 0 || full {
		rows = f.apply(ctx, rows, full, version)
	}
	f.version.Store(max(f.version.Load(), version))
	f.loaded.Store(true)
	f.relay.update(f.relayTable, rows, full, version)
}

// followTables follows a reader if there is one, otherwise the store, until ctx ends.
func (d *Directory) followTables(ctx context.Context) {
	for ctx.Err() == nil {
		reader := d.followStore(ctx)
		for reader != nil {
			if reader = d.followReader(ctx, reader); reader == nil {
				reader = d.switchReader(ctx)
			}
		}
	}
}

// followStore reads both tables from the store until ctx ends or it has connected to a reader, whose stream it returns.
func (d *Directory) followStore(ctx context.Context) (found *readerStream) {
	d.readerHolds.Store(false)
	readCtx, stop := context.WithCancel(ctx)
	defer stop()
	var group errgroup.Group
	for _, table := range []*followedTable{d.members, d.list} {
		group.Go(func() error {
			d.follow(readCtx, table)
			return nil
		})
	}
	if d.config.Peers != nil {
		found = d.findReader(ctx)
		stop()
	}
	_ = group.Wait() // follow returns no error
	if found == nil {
		d.relay.setSource(sourceNone)
	}
	return found
}

// memberPause returns the pause after member changes. It is randomized to spread the reads of the nodes, which all receive
// the same change at once.
func (d *Directory) memberPause() time.Duration {
	pause := min(max(minMemberPause, time.Duration(d.memberCount.Load())*pausePerMember), maxMemberPause)
	return pause/2 + rand.N(pause)
}

// signalStoreRegained makes the read loop of the members and the writer of the own row retry at once. It cancels the member
// read in progress, because a store that was down may never answer it.
func (d *Directory) signalStoreRegained() {
	if cancel := d.cancelMemberRead.Load(); cancel != nil {
		(*cancel)()
	}
	d.regainedMu.Lock()
	defer d.regainedMu.Unlock()
	close(d.storeRegained)
	d.storeRegained = make(chan struct{})
}

// lostStoreRetryInterval is the time after which the read loop of the members and the writer of the own row call the store
// again although the read loop of the list still fails. All calls are billed, including rejected ones, and one of these
// three callers is enough to detect that the store has recovered.
const lostStoreRetryInterval = 5 * time.Second

// waitToRetry waits before a failed call is retried. While the read loop of the list fails, it waits until that loop
// reaches the store again, for at most lostStoreRetryInterval; otherwise it waits for the backoff delay.
func (d *Directory) waitToRetry(ctx context.Context, retry *backoff) {
	d.regainedMu.Lock()
	regained := d.storeRegained
	d.regainedMu.Unlock()
	if !d.list.readFailed.Load() {
		retry.wait(ctx)
		return
	}
	timer := time.NewTimer(lostStoreRetryInterval)
	defer timer.Stop()
	select {
	case <-regained:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// follow reads a table and then its changes from the store until ctx ends. After a failure it reads without waiting for
// changes until one read has succeeded: a recovered store may never answer reads that it received while it was down.
func (d *Directory) follow(ctx context.Context, table *followedTable) {
	retry := backoff{}
	for ctx.Err() == nil {
		full, wait := !table.loaded.Load(), table.readWait
		if table.readFailed.Load() {
			wait = 0
		}
		if table.tracksStore {
			wait = d.relay.beginListRead(d.limitListWait(wait))
		}
		after, startedAt := table.version.Load(), timing.SinceBoot()
		rows, version, interrupted, err := d.readOnce(ctx, table, full, after, wait)
		var historyLost *platform.HistoryLostError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &historyLost):
			klog.InfoS("history lost, reading the table again", "table", table.name, "after", after, "restored", historyLost.Restored)
			table.loaded.Store(false)
			if historyLost.Restored && table.tracksStore {
				d.signalStoreRegained() // the other read may wait for a version that is long in coming
			}
			retry.wait(ctx)
			continue
		case err != nil && interrupted:
			table.readFailed.Store(true)
			continue
		case err != nil:
			d.markStoreLost(table, after, err)
			if table.tracksStore {
				retry.waitBetween(ctx, d.ranking.Load().retryDelays(d.selfID()))
			} else {
				d.waitToRetry(ctx, &retry)
				if d.awaitsReader() {
					_ = timing.Sleep(ctx, regainedReadDelay+rand.N(regainedReadDelay/2))
				}
			}
			continue
		}
		regained := table.readFailed.Swap(false)
		if regained {
			klog.InfoS("store regained", "table", table.name, "version", version)
			if table.tracksStore {
				d.signalStoreRegained()
			}
		}
		retry.reset()
		table.update(ctx, rows, full, version)
		if table.tracksStore && ctx.Err() == nil {
			d.confirmList(startedAt)
		}
		if table.tracksStore && !d.stopping.Load() {
			d.relay.setSource(sourceStore)
		}
		if full && table.firstReadDelay > 0 && d.config.Peers != nil && !d.relay.hasFollowers() {
			// A reader found meanwhile makes the first read of changes unnecessary.
			_ = timing.Sleep(ctx, table.firstReadDelay)
			continue
		}
		if regained && table.tracksStore && d.awaitsReader() {
			_ = timing.Sleep(ctx, regainedReadDelay+rand.N(regainedReadDelay/2))
			continue
		}
		if len(rows) > 0 && table.pauseAfterChanges != nil {
			_ = timing.Sleep(ctx, table.pauseAfterChanges()) // the loop condition checks ctx
		}
	}
}

// regainedReadDelay is the time after the return of the store before a node reads again for which another one should read. It
// looks for that one meanwhile. Without it, all nodes of a fleet read each change after an outage until they had found a reader.
const regainedReadDelay = time.Second

// awaitsReader reports whether another node should read the store for this one, as far as it knows, and none follows this one.
func (d *Directory) awaitsReader() bool {
	return d.config.Peers != nil && d.ranking.Load().preferred(d.selfID()).member.ID != "" && !d.relay.hasFollowers()
}

// markStoreLost records a failed read of the store. The first failure after a success is logged and counted.
func (d *Directory) markStoreLost(table *followedTable, after uint64, err error) {
	if table.tracksStore {
		d.relay.setSource(sourceNone)
	}
	if !table.readFailed.Swap(true) {
		klog.InfoS("store lost", "table", table.name, "after", after, "err", err.Error())
		d.config.Metrics.Counter("store.lost." + table.name).Inc(1)
	}
}

// readOnce makes one read from the store: of the complete table if full is set, otherwise of the changes after a version.
// interrupted reports whether the read was canceled, by the caller or through cancelRead.
func (d *Directory) readOnce(
	ctx context.Context, table *followedTable, full bool, after uint64, wait time.Duration,
) (rows []platform.FeedRow, version uint64, interrupted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if table.cancelRead != nil {
		table.cancelRead.Store(&cancel)
		defer table.cancelRead.Store(nil)
	}
	if full {
		rows, version, err = d.config.Store.ReadAll(ctx, table.name)
	} else {
		rows, version, err = d.config.Store.Changes(ctx, table.name, after, wait)
	}
	return rows, version, ctx.Err() != nil, err
}

// backoff determines the delays between attempts of a failing call.
type backoff struct{ delay time.Duration }

func (b *backoff) reset() { b.delay = 0 }

func (b *backoff) wait(ctx context.Context) { b.waitBetween(ctx, activeRetryDelays) }

func (b *backoff) waitBetween(ctx context.Context, bounds retryDelays) {
	b.delay = min(max(2*b.delay, bounds.min), bounds.max)
	_ = timing.Sleep(ctx, b.delay+rand.N(b.delay/2)) // callers check ctx
}
