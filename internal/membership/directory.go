// Package membership maintains a node's view of the members that nodes announce in the store, and of the service list
// stored there. A node writes its row when the row changes and never as a heartbeat; the nodes that send requests to a
// member detect whether it responds. One node of a region reads the store and relays the rows to one node of each group,
// which relays them to the others; a zone is one group, a large zone several.
package membership

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/serving"
	"github.com/acacialock/acacialock/internal/telemetry"
)

const (
	// memberReadWait is the long-poll timeout of one read of member changes. It is long because each read is billed. The
	// keep-alive probes of the store's client detect a connection that stopped responding.
	memberReadWait = 20 * time.Second
	// listReadWait is the long-poll timeout of one read of the service list. A store that was down may never answer a read
	// that it received before it recovered, so this timeout bounds how long a node takes to resume: a list must be in force
	// within 4 s of the store's recovery. The read loop of the members resumes when that of the list detects the recovery.
	listReadWait = 2500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. The delay doubles with each failure, and random
	// jitter of up to half of it is added.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// firstListRead is the time after a complete read at which a node without a reader reads the changes of the list for the
	// first time. When all nodes start together, most rows are written in the first second, and a node that knows them
	// follows a reader before it reads the list again. A list that changes at that moment is in force 2 s later. The changes
	// of the members are read at once: a node that loses the store in its first second must know whom to follow.
	firstListRead = 2 * time.Second
	// pausePerMember, minMemberPause and maxMemberPause determine the pause after member changes, which batches further
	// changes into one read. Every node reads each change: without a pause proportional to the number of members, the reads
	// during a start or a release grow with the square of the number of nodes. The upper bound exists because a new member
	// must receive requests within 4.5 s of its first check-in.
	pausePerMember = 25 * time.Millisecond
	minMemberPause = 150 * time.Millisecond
	maxMemberPause = 2 * time.Second
)

// ListSource is the location of the service list in the store, and its parser.
type ListSource struct {
	Table, Key string
	// EvacuationPrefix is the start of the keys of rows in Table that order the evacuation of an availability zone, whose name
	// follows it. A zone is evacuated while its row exists. Empty: there are no such rows.
	EvacuationPrefix string
	Parse            func(value []byte) (*servicelist.List, error)
}

// Config configures a Directory. All fields except Peers and MaxListAge are required.
type Config struct {
	// Name is the node's name, the key of its row in the store.
	Name string
	// Self describes the node before its target is known.
	Self  cluster.Member
	Store platform.Feed
	List  ListSource
	View  *cluster.View
	// Peers sends requests to other nodes. If nil, this node always reads the store itself.
	Peers   *http.Client
	Metrics *telemetry.Registry
	// MaxListAge is the age that ListConfirmed must not reach while the store answers. Frames state the age of the list then,
	// and the list is read at least four times in it. 0: no bound.
	MaxListAge time.Duration
}

// Directory holds the node's control state: the known members and the service list in force. A single goroutine, started
// by Run, changes it and publishes snapshots.
type Directory struct {
	config         Config
	stateChanges   chan func()
	reparse        chan struct{}
	ownRowChanged  chan struct{} // wakes writeOwnRow after announcedRow changed
	announcedRow   atomic.Pointer[Row]
	ownRowStored   atomic.Bool // the announced row is in the store
	membersLoaded  chan struct{}
	listLoaded     chan struct{} // closed once the table of the list has been read, even if it holds no valid list
	listInstalled  chan struct{}
	previousOwnRow Row // own row written by an earlier process; valid once membersLoaded is closed

	// State of the goroutine in Run that applies changes.
	rows            map[string]memberRow
	currentList     *servicelist.List // in force; nil if there is none
	currentListText []byte            // unparsed value of currentList
	listEra         uint64            // last era of the store in which it held currentList or a later one
	listMissing     bool              // a log line said that the store holds no such list
	evacuations     evacuations
	evacuationEra   uint64 // era of the last full read of the orders
	membersVersion  uint64 // version of the last read of the members

	ownRowVersion   atomic.Uint64
	rowEra          atomic.Uint64             // era of the store in which own rows are written
	storeBehind     atomic.Bool               // the store came back from a copy that is older than currentList
	readerHolds     atomic.Bool               // the reader's list is later than that of the store, see relay.listHeld
	holdsExpired    chan struct{}             // receives a value when held evacuations end
	memberCount     atomic.Int64              // number of known rows
	listInstalledAt atomic.Pointer[time.Time] // when currentList was put in force; nil before
	stopping        atomic.Bool
	ranking         atomic.Pointer[readerRanking]
	// preferenceChanged receives a value when another member becomes the one that this node should follow.
	preferenceChanged chan struct{}

	regainedMu    sync.Mutex
	storeRegained chan struct{} // closed and replaced each time the store is reachable again

	relay         *relay
	reader        atomic.Pointer[cluster.Member] // nil while this node reads the store itself
	members, list *followedTable
	avoidUntil    map[string]time.Time // by peer address; used only by the goroutine of followTables

	// cancelMemberRead cancels the read of member changes in progress; nil if there is none.
	cancelMemberRead atomic.Pointer[context.CancelFunc]
}

type memberRow struct {
	version uint64
	row     Row
}

// New returns a directory that is idle until Run is called.
func New(config Config) *Directory {
	d := &Directory{
		config:        config,
		relay:         newRelay(),
		storeRegained: make(chan struct{}),
		stateChanges:  make(chan func()),
		reparse:       make(chan struct{}, 1),
		ownRowChanged: make(chan struct{}, 1),
		holdsExpired:  make(chan struct{}, 1),
		membersLoaded: make(chan struct{}),
		listLoaded:    make(chan struct{}),

		preferenceChanged: make(chan struct{}, 1),
		listInstalled:     make(chan struct{}),
		rows:              map[string]memberRow{},
		evacuations:       evacuations{},

		avoidUntil: map[string]time.Time{},
	}
	d.relay.statesAge = config.MaxListAge > 0
	initial := rankReaders(nil, config.Self)
	d.ranking.Store(&initial)
	d.members = &followedTable{
		name: MembersTable, readWait: memberReadWait, pauseAfterChanges: d.memberPause, apply: d.applyMembers,
		cancelRead: &d.cancelMemberRead, relay: d.relay, relayTable: &d.relay.members,
	}
	d.list = &followedTable{
		name: config.List.Table, readWait: listReadWait, apply: d.applyList,
		relay: d.relay, relayTable: &d.relay.list, tracksStore: true, firstReadDelay: firstListRead,
	}
	return d
}

// MembersLoaded returns a channel that is closed once the members have been read from the store. PreviousOwnRow is
// valid from then on.
func (d *Directory) MembersLoaded() <-chan struct{} { return d.membersLoaded }

// ListAge returns the time since the current list was put in force, or -1 ms if there is none.
func (d *Directory) ListAge() time.Duration {
	if at := d.listInstalledAt.Load(); at != nil {
		return time.Since(*at)
	}
	return -time.Millisecond
}

// ListInstalled returns a channel that is closed once a service list is in force.
func (d *Directory) ListInstalled() <-chan struct{} { return d.listInstalled }

// PreviousOwnRow returns the row that an earlier process of this node wrote, with an empty target ID if there was none.
// It is valid once MembersLoaded is closed.
func (d *Directory) PreviousOwnRow() Row { return d.previousOwnRow }

// Ready reports whether the members have been read and a service list is in force.
func (d *Directory) Ready() bool {
	return isClosed(d.membersLoaded) && isClosed(d.listInstalled)
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// OwnRowStored reports whether the row last passed to Announce is in the store.
func (d *Directory) OwnRowStored() bool { return d.ownRowStored.Load() }

// Announce sets this node's row. The local snapshot contains it at once, the store as soon as the store is reachable.
func (d *Directory) Announce(row Row) {
	d.ownRowStored.Store(false)
	d.announcedRow.Store(&row)
	select {
	case d.ownRowChanged <- struct{}{}:
	default:
	}
}

// Run follows the tables, from the store or from a reader, and writes the own row until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		d.followTables(ctx)
		return nil
	})
	group.Go(func() error { return d.writeOwnRow(ctx) })
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case change := <-d.stateChanges:
				change()
				d.publish()
			case <-d.reparse:
				d.reparseList()
				d.publish()
			case <-d.holdsExpired:
				d.endHolds(time.Now())
				d.publish()
			}
		}
	})
	return group.Wait()
}

// apply runs change on the goroutine that owns the state and waits until it has run or ctx ends.
func (d *Directory) apply(ctx context.Context, change func()) {
	done := make(chan struct{})
	select {
	case d.stateChanges <- func() { defer close(done); change() }:
		<-done
	case <-ctx.Done():
	}
}

func (d *Directory) applyMembers(ctx context.Context, rows []platform.FeedRow, full bool, version uint64) []platform.FeedRow {
	d.apply(ctx, func() {
		switch era := platform.VersionEra(version); {
		case full && isClosed(d.membersLoaded) && era > platform.VersionEra(d.membersVersion):
			d.applyRestoredMembers(rows, era)
		case full:
			clear(d.rows)
			fallthrough
		default:
			for _, row := range rows {
				d.applyMember(row)
			}
		}
		d.membersVersion = max(d.membersVersion, version)
		d.rowEra.Store(platform.VersionEra(d.membersVersion))
		d.memberCount.Store(int64(len(d.rows)))
	})
	if !isClosed(d.membersLoaded) && ctx.Err() == nil {
		close(d.membersLoaded)
	}
	return rows
}

// applyMember applies one changed or removed row. A row under the own name that is read before membersLoaded is closed
// was written by an earlier process of this node.
func (d *Directory) applyMember(changed platform.FeedRow) {
	if changed.Key == d.config.Name {
		d.ownRowVersion.Store(max(d.ownRowVersion.Load(), changed.Version))
	}
	if changed.Removed && changed.Version < d.rows[changed.Key].version {
		return
	}
	if changed.Removed {
		delete(d.rows, changed.Key)
		return
	}
	row, err := DecodeRow(changed.Key, changed.Value)
	if err != nil {
		klog.InfoS("member row ignored: not readable", "key", changed.Key, "version", changed.Version, "err", err.Error())
		d.config.Metrics.Counter("member.row-invalid").Inc(1)
		if changed.Key == d.config.Name {
			d.rewriteOwnRow()
		}
		return
	}
	if changed.Key == d.config.Name {
		if !isClosed(d.membersLoaded) {
			d.previousOwnRow = row
		}
		return
	}
	old, seen := d.rows[changed.Key]
	if seen && changed.Version < old.version {
		return // sent by a reader with older state
	}
	d.rows[changed.Key] = memberRow{changed.Version, row}
	if !seen || old.row.Member != row.Member || old.row.Departed != row.Departed {
		klog.InfoS("member changed", "member", row.Member.ID, "service", row.Member.Service, "zone", row.Member.Zone,
			"target", row.Target.ID, "draining", row.Member.Draining, "gone", row.Departed, "version", changed.Version)
	}
}

// rewriteOwnRow writes the announced row again after another writer has overwritten it with one that no node can use. A usable
// row of another process with this node's name is not overwritten: the two would replace each other's rows without end.
func (d *Directory) rewriteOwnRow() {
	if d.announcedRow.Load() == nil {
		return
	}
	klog.InfoS("own row overwritten, writing it again", "key", d.config.Name, "version", d.ownRowVersion.Load())
	d.ownRowStored.Store(false)
	select {
	case d.ownRowChanged <- struct{}{}:
	default:
	}
}

func (d *Directory) applyList(ctx context.Context, rows []platform.FeedRow, full bool, version uint64) []platform.FeedRow {
	era := platform.VersionEra(version)
	if full || slices.ContainsFunc(rows, d.isEvacuation) {
		d.apply(ctx, func() { d.applyEvacuations(rows, full, era) })
	}
	if full {
		d.apply(ctx, func() { d.beginListEra(era) })
	}
	if !isClosed(d.listLoaded) {
		close(d.listLoaded)
	}
	for _, row := range rows {
		if row.Key != d.config.List.Key || row.Removed {
			continue
		}
		list, err := d.parseList(row.Value)
		if err != nil {
			klog.InfoS("service list rejected", "row", row.Version, "in_force", d.config.View.Load().ListVersion(), "err", err.Error())
			d.config.Metrics.Counter("list.rejected").Inc(1)
			continue
		}
		d.apply(ctx, func() { d.installList(list, row.Value, era) })
	}
	return d.heldList(ctx, rows, full, version)
}

// ListPanicError reports a service list whose parser panicked. The list is rejected like an invalid one.
type ListPanicError struct{ Cause any }

// Error implements error.
func (e *ListPanicError) Error() string { return fmt.Sprintf("the parser panicked: %v", e.Cause) }

// parseList parses a service list. A panic of the parser must not end the process: every node reads the same list, so all
// would fail together and again after each restart.
func (d *Directory) parseList(value []byte) (list *servicelist.List, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			serving.LogPanic("service list parser", cause)
			d.config.Metrics.Counter("panic.list").Inc(1)
			err = &ListPanicError{Cause: cause}
		}
	}()
	return d.config.List.Parse(value)
}

// ReparseList schedules a new parse of the list in force, after a change of the settings that Parse uses.
func (d *Directory) ReparseList() {
	select {
	case d.reparse <- struct{}{}:
	default:
	}
}

// reparseList replaces the list in force with the same version, parsed with the current settings.
func (d *Directory) reparseList() {
	if d.currentList == nil {
		return
	}
	list, err := d.parseList(d.currentListText)
	if err != nil {
		klog.InfoS("service list not read again", "version", d.currentList.Version, "err", err.Error())
		return
	}
	d.currentList = list
	klog.InfoS("service list read again", "version", list.Version)
}

// installList puts a list in force if its version is newer than that of the current one, or if the store has come back from
// an older copy since and holds another list of that version.
func (d *Directory) installList(list *servicelist.List, text []byte, era uint64) {
	if d.currentList != nil && list.Version <= d.currentList.Version {
		if list.Version < d.currentList.Version || era <= d.listEra || bytes.Equal(text, d.currentListText) {
			klog.InfoS("service list ignored: not newer", "version", list.Version, "in_force", d.currentList.Version)
			d.recordListEra(list.Version, era)
			return
		}
	}
	klog.InfoS("service list in force", "version", list.Version, "services", len(list.Services), "rules", list.Rules.Len())
	d.currentList, d.currentListText = list, text
	d.recordListEra(list.Version, era)
	now := time.Now()
	d.listInstalledAt.Store(&now)
}

// publish publishes a new snapshot of members and service list for the request path.
func (d *Directory) publish() {
	snapshot := &cluster.Snapshot{
		Self: d.config.Self, List: d.currentList, Members: map[string][]cluster.Member{}, EvacuatedZones: d.evacuations.zones(),
	}
	add := func(row Row) {
		if row.Departed || row.Member.ID == "" {
			return
		}
		snapshot.Members[row.Member.Service] = append(snapshot.Members[row.Member.Service], row.Member)
	}
	var others []cluster.Member
	for _, row := range latestByAddr(d.rows, d.config.Self.PeerAddr) {
		add(row)
		if !row.Departed {
			others = append(others, row.Member)
		}
	}
	if own := d.announcedRow.Load(); own != nil {
		snapshot.Self = own.Member
		add(*own)
	}
	ranking := rankReaders(others, snapshot.Self)
	previous := d.ranking.Swap(&ranking)
	if follows := ranking.preferred(snapshot.Self.ID); follows != previous.preferred(snapshot.Self.ID) {
		select {
		case d.preferenceChanged <- struct{}{}:
		default:
		}
	}
	for _, members := range snapshot.Members {
		slices.SortFunc(members, func(a, b cluster.Member) int { return strings.Compare(a.ID, b.ID) })
	}
	d.config.View.Publish(snapshot)
	if d.currentList != nil && !isClosed(d.listInstalled) {
		close(d.listInstalled)
	}
}

// latestByAddr returns the newest row of each peer address except ownAddr, which belongs to this node. The row of a lost
// machine is never removed, and its address may be reassigned to a machine of another service.
func latestByAddr(rows map[string]memberRow, ownAddr string) []Row {
	latest := map[string]memberRow{}
	for _, candidate := range rows {
		addr := candidate.row.Member.PeerAddr
		if addr != ownAddr && candidate.version >= latest[addr].version {
			latest[addr] = candidate
		}
	}
	result := make([]Row, 0, len(latest))
	for _, newest := range latest {
		result = append(result, newest.row)
	}
	return result
}

// writeOwnRow writes the last announced row to the store, with retries, until ctx ends. It starts once the members have
// been read, because the write is conditional on the version of the stored row.
func (d *Directory) writeOwnRow(ctx context.Context) error {
	select {
	case <-d.membersLoaded:
	case <-ctx.Done():
		return nil
	}
	retry := backoff{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.ownRowChanged:
		}
		d.apply(ctx, func() {}) // publishes the own row
		for ctx.Err() == nil {
			if err := d.tryWriteOwnRow(ctx); err == nil {
				retry.reset()
				break
			}
			d.waitToRetry(ctx, &retry)
		}
	}
}

// tryWriteOwnRow makes one attempt to write the announced row. The write is conditional on the version of the stored row,
// so that a write that takes effect late can't undo a newer one.
func (d *Directory) tryWriteOwnRow(ctx context.Context) error {
	row := d.announcedRow.Load()
	storedVersion := d.ownRowVersion.Load()
	stored := *row
	stored.Era = d.rowEra.Load()
	version, err := d.config.Store.CompareAndSwap(ctx, MembersTable, platform.FeedRow{Key: d.config.Name, Value: encodeRow(stored)}, storedVersion)
	var stale *platform.StaleRowError
	switch {
	case errors.As(err, &stale):
		d.ownRowVersion.Store(stale.Stored.Version)
		return err
	case err != nil:
		klog.InfoS("own row not written", "target", row.Target.ID, "draining", row.Member.Draining, "err", err.Error())
		return eris.Wrap(err, "write the own row")
	}
	d.ownRowVersion.Store(max(d.ownRowVersion.Load(), version))
	if d.announcedRow.Load() == row {
		d.ownRowStored.Store(true)
	}
	klog.InfoS("own row written", "member", row.Member.ID, "target", row.Target.ID, "draining", row.Member.Draining,
		"gone", row.Departed, "version", version)
	return nil
}

// RemoveOwnRow removes the node's row from the store. It is called when the target has left and the node stops. It
// fails if the store is unavailable or the row has changed.
func (d *Directory) RemoveOwnRow(ctx context.Context) error {
	_, err := d.config.Store.CompareAndSwap(ctx, MembersTable, platform.FeedRow{Key: d.config.Name, Removed: true}, d.ownRowVersion.Load())
	return eris.Wrap(err, "remove the own row")
}
