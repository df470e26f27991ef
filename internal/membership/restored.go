package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/platform"
)

// After the store has come back from an older copy, it lacks what was written since the copy, and versions are given out
// again. A version of the new era is higher than all before (platform.EraVersion), so cursors, rows and conditions of the
// former one count as older without a rule of their own. The functions below keep what the copy has forgotten until it is
// written again.

const (
	// rewriteSpread and rewriteSpreadPerMember give the time over which the nodes write their rows again, which all of them do
	// once in each era: 2.4 s for 1,200 nodes.
	rewriteSpread          = 500 * time.Millisecond
	rewriteSpreadPerMember = 2 * time.Millisecond
)

// applyRestoredMembers replaces the members by the first full read of a new era. A row that its node wrote in that era holds.
// A row of the copy holds unless this node knows better: a later row of the former era, or that the row had been removed.
// Members that the copy lacks are kept; their nodes write their rows again.
func (d *Directory) applyRestoredMembers(rows []platform.FeedRow, era uint64) {
	former, formerVersion := d.rows, d.membersVersion
	d.rows = make(map[string]memberRow, len(former))
	forgotten, removed := 0, 0
	for _, read := range rows {
		known, seen := former[read.Key]
		delete(former, read.Key)
		d.applyMember(read)
		current, usable := d.rows[read.Key]
		if !usable || current.row.Era >= era {
			continue
		}
		switch {
		case seen && copyIsOlder(read.Version, known.version, formerVersion):
			d.rows[read.Key] = memberRow{read.Version, known.row}
			forgotten++
		case !seen && copyIsOlder(read.Version, formerVersion+1, formerVersion):
			delete(d.rows, read.Key)
			removed++
		}
	}
	for key, lost := range former {
		d.rows[key] = lost
	}
	klog.InfoS("store restored from an older copy", "era", era, "before", platform.VersionEra(formerVersion), "members", len(d.rows),
		"later", forgotten, "missing", len(former), "removed", removed)
	d.config.Metrics.Counter("store.era-changed").Inc(1)
	d.rewriteAfterRestore()
}

// copyIsOlder reports whether a row of the copy is older than what was known of it in the former era, whose state was read
// last at formerVersion. The copy holds versions of the former era's counter.
func copyIsOlder(copied, known, formerVersion uint64) bool {
	return platform.VersionEra(known) == platform.VersionEra(formerVersion) && platform.VersionCounter(copied) < platform.VersionCounter(known)
}

// rewriteAfterRestore writes the own row again, at a random time of the spread.
func (d *Directory) rewriteAfterRestore() {
	if d.announcedRow.Load() == nil {
		return
	}
	d.ownRowStored.Store(false)
	spread := rewriteSpread + time.Duration(len(d.rows))*rewriteSpreadPerMember
	time.AfterFunc(rand.N(spread), func() {
		select {
		case d.ownRowChanged <- struct{}{}:
		default:
		}
	})
}

// beginListEra records that a full read of the list's table begins. If the era is new, the list in force counts as missing
// until the read shows it. It runs on the goroutine that owns the state.
func (d *Directory) beginListEra(era uint64) {
	if d.currentList != nil && era > d.listEra {
		d.storeBehind.Store(true)
	}
}

// recordListEra records that the store holds a list of that version in an era. The list in force stays when the store has an
// earlier one since it came back, until the operators have written a list of that version or a later one again.
func (d *Directory) recordListEra(version, era uint64) {
	if version < d.currentList.Version {
		return
	}
	if d.readerHolds.Load() {
		d.storeBehind.Store(true) // the reader's list, which the store does not hold
		return
	}
	d.listEra = max(d.listEra, era)
	d.storeBehind.Store(false)
	if d.listMissing {
		d.listMissing = false
		klog.InfoS("service list written again after the store was restored", "version", version, "era", era)
	}
}

// markListHeld records that the store, or the reader's, has an earlier list than the one in force.
func (d *Directory) markListHeld(ctx context.Context) {
	d.storeBehind.Store(true)
	d.relay.setListHeld(true)
	d.apply(ctx, func() {
		if !d.listMissing && d.currentList != nil {
			d.listMissing = true
			klog.InfoS("service list in force is missing in the restored store", "version", d.currentList.Version)
			d.config.Metrics.Counter("list.missing-in-store").Inc(1)
		}
	})
}

// heldList returns the rows of the list's table for followers: with the list in force, while the store has an earlier one.
func (d *Directory) heldList(ctx context.Context, rows []platform.FeedRow, full bool, version uint64) []platform.FeedRow {
	if !d.storeBehind.Load() {
		d.relay.setListHeld(false)
		return rows
	}
	d.markListHeld(ctx)
	at := slices.IndexFunc(rows, func(row platform.FeedRow) bool { return row.Key == d.config.List.Key })
	if at < 0 && !full {
		return rows
	}
	held := platform.FeedRow{Key: d.config.List.Key, Version: version}
	d.apply(ctx, func() { held.Value = d.currentListText })
	rows = slices.Clone(rows)
	if at < 0 {
		return append(rows, held)
	}
	held.Version = rows[at].Version
	rows[at] = held
	return rows
}
