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

// followed is a table that a node follows, in the store or through a reader.
type followed struct {
	table string
	wait  time.Duration        // of one read of changes
	pause func() time.Duration // after changes, so that further ones are read together; nil: none
	// apply takes over rows; whole tells that they are the whole table.
	apply   func(ctx context.Context, rows []platform.FeedRow, whole bool)
	read    *atomic.Pointer[context.CancelFunc] // set to what ends the read under way; may be nil
	relay   *relay
	relayed *relayTable // of relay
	leads   bool        // the reads of this table tell followers whether the store answers

	after atomic.Uint64 // version of the state that is known
	known atomic.Bool   // the table was read
	lost  atomic.Bool   // the last read failed
}

// take applies rows and hands them on.
func (f *followed) take(ctx context.Context, rows []platform.FeedRow, whole bool, version uint64) {
	if len(rows) > 0 || whole {
		f.apply(ctx, rows, whole)
	}
	f.after.Store(max(f.after.Load(), version))
	f.known.Store(true)
	f.relay.take(f.relayed, rows, whole, version)
}

// followTables follows a reader of the zone while there is one, else the store, until ctx ends.
func (d *Directory) followTables(ctx context.Context) {
	for ctx.Err() == nil {
		reader := d.followStore(ctx)
		for reader != nil {
			d.followReader(ctx, reader)
			reader = d.nextReader(ctx)
		}
	}
}

// followStore reads both tables from the store until a reader is found, which it returns, or ctx ends.
func (d *Directory) followStore(ctx context.Context) (found *upstream) {
	reading, stop := context.WithCancel(ctx)
	defer stop()
	defer d.relay.setReading(false)
	var group errgroup.Group
	for _, of := range []*followed{d.members, d.list} {
		group.Go(func() error {
			d.follow(reading, of)
			return nil
		})
	}
	if d.config.Peers != nil {
		found = d.look(ctx)
		stop()
	}
	_ = group.Wait() // follow returns no error
	return found
}

// memberPause spreads the reads of many nodes, which all wake at the same change.
func (d *Directory) memberPause() time.Duration {
	pause := min(max(minMemberPause, time.Duration(d.memberCount.Load())*pausePerMember), maxMemberPause)
	return pause/2 + rand.N(pause)
}

// storeRegained lets the follower of the members and the writer of the own row go on at once: a store that was down may
// never answer the read that waits.
func (d *Directory) storeRegained() {
	if cancel := d.interruptMembers.Load(); cancel != nil {
		(*cancel)()
	}
	d.backMu.Lock()
	defer d.backMu.Unlock()
	close(d.back)
	d.back = make(chan struct{})
}

// lostWait is the time after which the store is asked all the same while the follower of the list finds it lost. All calls
// are priced, refused ones too, and one of three is enough to see that the store is back.
const lostWait = 5 * time.Second

// waitToRetry waits before a failed call is made again: while the follower of the list finds the store lost, until it finds
// it back.
func (d *Directory) waitToRetry(ctx context.Context, retry *backoff) {
	d.backMu.Lock()
	back := d.back
	d.backMu.Unlock()
	if !d.list.lost.Load() {
		retry.wait(ctx)
		return
	}
	timer := time.NewTimer(lostWait)
	defer timer.Stop()
	select {
	case <-back:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// follow reads a table and then its changes until ctx ends. After a failure it doesn't wait for changes until the store
// has answered once: a store that comes back may not answer reads that it got while it was down.
func (d *Directory) follow(ctx context.Context, of *followed) {
	retry := backoff{}
	for ctx.Err() == nil {
		whole, wait := !of.known.Load(), of.wait
		if of.lost.Load() {
			wait = 0
		}
		if of.leads {
			wait = d.relay.beginRead(wait)
		}
		after := of.after.Load()
		rows, version, interrupted, err := d.readChanges(ctx, of, whole, after, wait)
		var gap *platform.HistoryLostError
		switch {
		case ctx.Err() != nil:
			return
		case errors.As(err, &gap):
			klog.InfoS("history lost, reading the table again", "table", of.table, "after", after)
			of.known.Store(false)
			retry.wait(ctx)
			continue
		case err != nil && interrupted:
			of.lost.Store(true)
			continue
		case err != nil:
			d.storeLost(of, after, err)
			if of.leads {
				retry.wait(ctx)
			} else {
				d.waitToRetry(ctx, &retry)
			}
			continue
		}
		if of.lost.Swap(false) {
			klog.InfoS("store regained", "table", of.table, "version", version)
			if of.leads {
				d.storeRegained()
			}
		}
		retry.reset()
		of.take(ctx, rows, whole, version)
		if of.leads && !d.stopping.Load() {
			d.relay.setReading(true)
		}
		if len(rows) > 0 && of.pause != nil {
			_ = timing.Sleep(ctx, of.pause()) // the loop sees the end of ctx
		}
	}
}

func (d *Directory) storeLost(of *followed, after uint64, err error) {
	if of.leads {
		d.relay.setReading(false)
	}
	if !of.lost.Swap(true) {
		klog.InfoS("store lost", "table", of.table, "after", after, "err", err.Error())
		d.config.Metrics.Counter("store.lost." + of.table).Inc(1)
	}
}

// readChanges makes one read; interrupted tells that it was ended from here.
func (d *Directory) readChanges(
	ctx context.Context, of *followed, whole bool, after uint64, wait time.Duration,
) (rows []platform.FeedRow, version uint64, interrupted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if of.read != nil {
		of.read.Store(&cancel)
		defer of.read.Store(nil)
	}
	if whole {
		rows, version, err = d.config.Store.ReadAll(ctx, of.table)
	} else {
		rows, version, err = d.config.Store.Changes(ctx, of.table, after, wait)
	}
	return rows, version, ctx.Err() != nil, err
}

// backoff paces repeated calls.
type backoff struct{ pause time.Duration }

func (b *backoff) reset() { b.pause = 0 }

func (b *backoff) wait(ctx context.Context) {
	b.pause = min(max(2*b.pause, firstRetry), lastRetry)
	_ = timing.Sleep(ctx, b.pause+rand.N(b.pause/2)) // callers see the end of ctx
}
