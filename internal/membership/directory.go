// Package membership knows the members that nodes announce in the store, and the service list there. A node writes its own
// row on each change and never to show that it is alive; whether a member answers is seen by those who send to it. One node
// of a zone reads the store and hands the rows on to the others.
package membership

import (
	"context"
	"errors"
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
	"github.com/acacialock/acacialock/internal/telemetry"
)

const (
	// memberWait is the longest wait of one read of member changes. Each read is priced, so it is long; a connection that
	// went silent is found by the keep-alive probes of the store's client.
	memberWait = 20 * time.Second
	// listWait is the longest wait of one read of the service list. A store that was down may never answer a read that it
	// got before, so it bounds the time after which a node follows the store again: a list must be in force within 4 s of
	// the store's return. The follower of the members reads again when that of the list finds the store back.
	listWait = 2500 * time.Millisecond
	// firstRetry and lastRetry bound the pause after a failed call, which doubles and has up to half of it added at random.
	firstRetry = 100 * time.Millisecond
	lastRetry  = time.Second
	// pausePerMember, minMemberPause and maxMemberPause give the time that is waited after member changes, so that further
	// ones are read together. Each change is read by every node: without a pause that grows with them, the reads of a start
	// or a release grow with the square of the nodes. A new member must get requests within 4.5 s of its first check-in.
	pausePerMember = 25 * time.Millisecond
	minMemberPause = 150 * time.Millisecond
	maxMemberPause = 2 * time.Second
)

// ListSource tells where the service list lies in the store and how it is read.
type ListSource struct {
	Table, Key string
	Parse      func(value []byte) (*servicelist.List, error)
}

// Config configures a Directory. All fields are required.
type Config struct {
	// Self is the node before its target is known; its name is the key of its row.
	Name  string
	Self  cluster.Member
	Store platform.Feed
	List  ListSource
	View  *cluster.View
	// Peers reaches other nodes; nil: this node always reads the store itself.
	Peers   *http.Client
	Metrics *telemetry.Registry
}

// Directory owns the node's control state. One goroutine, Run, changes it and publishes snapshots.
type Directory struct {
	config  Config
	events  chan func()
	reparse chan struct{}
	own     chan struct{} // signals the writer that wanted changed
	wanted  atomic.Pointer[Row]
	stored  atomic.Bool // the wanted row is in the store
	loaded  chan struct{}
	listed  chan struct{}
	initial Row // own row as an earlier process left it; valid once loaded is closed

	// State of the Run goroutine.
	rows    map[string]memberRow
	current *servicelist.List // in force; nil: none
	text    []byte            // of the list in force

	ownVersion  atomic.Uint64
	memberCount atomic.Int64              // rows known
	listAt      atomic.Pointer[time.Time] // when the list in force was taken over
	stopping    atomic.Bool
	ranked      atomic.Pointer[[]cluster.Member] // see candidates

	backMu sync.Mutex
	back   chan struct{} // closed when the store is found back

	relay         *relay
	reader        atomic.Pointer[cluster.Member] // see Reader
	members, list *followed
	avoidUntil    map[string]time.Time // by address; of the goroutine of followTables

	// interruptMembers ends the read of member changes that is under way.
	interruptMembers atomic.Pointer[context.CancelFunc]
}

type memberRow struct {
	version uint64
	row     Row
}

// New returns a directory; call Run.
func New(config Config) *Directory {
	d := &Directory{
		config:  config,
		relay:   newRelay(),
		back:    make(chan struct{}),
		events:  make(chan func()),
		reparse: make(chan struct{}, 1),
		own:     make(chan struct{}, 1),
		loaded:  make(chan struct{}),
		listed:  make(chan struct{}),
		rows:    map[string]memberRow{},

		avoidUntil: map[string]time.Time{},
	}
	d.ranked.Store(&[]cluster.Member{config.Self})
	d.members = &followed{
		table: MembersTable, wait: memberWait, pause: d.memberPause, apply: d.applyMembers, read: &d.interruptMembers,
		relay: d.relay, relayed: &d.relay.members,
	}
	d.list = &followed{
		table: config.List.Table, wait: listWait, apply: d.applyList,
		relay: d.relay, relayed: &d.relay.list, leads: true,
	}
	return d
}

// Loaded is closed once the members were read from the store; OwnRow is valid from then on.
func (d *Directory) Loaded() <-chan struct{} { return d.loaded }

// ListAge is the time since the list in force was taken over; -1 ms: there is none.
func (d *Directory) ListAge() time.Duration {
	if at := d.listAt.Load(); at != nil {
		return time.Since(*at)
	}
	return -time.Millisecond
}

// Listed is closed once a service list is in force.
func (d *Directory) Listed() <-chan struct{} { return d.listed }

// OwnRow returns the row that an earlier process of this node left; its target id is empty when there was none.
func (d *Directory) OwnRow() Row { return d.initial }

// Ready reports whether the node knows the members and a service list.
func (d *Directory) Ready() bool {
	return isClosed(d.loaded) && isClosed(d.listed)
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// Announced reports whether the row given last to Announce is in the store.
func (d *Directory) Announced() bool { return d.stored.Load() }

// Announce makes the row this node's row, in the own snapshot at once and in the store as soon as it can be reached.
func (d *Directory) Announce(row Row) {
	d.stored.Store(false)
	d.wanted.Store(&row)
	select {
	case d.own <- struct{}{}:
	default:
	}
}

// Run follows the store until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		d.followTables(ctx)
		return nil
	})
	group.Go(func() error { return d.writeOwn(ctx) })
	group.Go(func() error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case event := <-d.events:
				event()
				d.publish()
			case <-d.reparse:
				d.parseAgain()
				d.publish()
			}
		}
	})
	return group.Wait()
}

// apply runs a change on the goroutine that owns the state and waits for it.
func (d *Directory) apply(ctx context.Context, change func()) {
	done := make(chan struct{})
	select {
	case d.events <- func() { defer close(done); change() }:
		<-done
	case <-ctx.Done():
	}
}

func (d *Directory) applyMembers(ctx context.Context, rows []platform.FeedRow, whole bool) {
	d.apply(ctx, func() {
		if whole {
			clear(d.rows)
		}
		for _, row := range rows {
			d.applyMember(row)
		}
		d.memberCount.Store(int64(len(d.rows)))
	})
	if !isClosed(d.loaded) && ctx.Err() == nil {
		close(d.loaded)
	}
}

// applyMember takes over one row. The first one under the own name was written by an earlier process of this node.
func (d *Directory) applyMember(changed platform.FeedRow) {
	if changed.Key == d.config.Name {
		d.ownVersion.Store(max(d.ownVersion.Load(), changed.Version))
	}
	if changed.Removed && changed.Version < d.rows[changed.Key].version {
		return
	}
	if changed.Removed {
		delete(d.rows, changed.Key)
		return
	}
	row, err := DecodeRow(changed.Value)
	if err != nil {
		klog.InfoS("member row ignored: not readable", "key", changed.Key, "version", changed.Version, "err", err.Error())
		return
	}
	if changed.Key == d.config.Name {
		if !isClosed(d.loaded) {
			d.initial = row
		}
		return
	}
	old, seen := d.rows[changed.Key]
	if seen && changed.Version < old.version {
		return // from a reader that is behind
	}
	d.rows[changed.Key] = memberRow{changed.Version, row}
	if !seen || old.row.Member != row.Member || old.row.Gone != row.Gone {
		klog.InfoS("member changed", "member", row.Member.ID, "service", row.Member.Service, "zone", row.Member.Zone,
			"target", row.Target.ID, "draining", row.Member.Draining, "gone", row.Gone, "version", changed.Version)
	}
}

func (d *Directory) applyList(ctx context.Context, rows []platform.FeedRow, _ bool) {
	for _, row := range rows {
		if row.Key != d.config.List.Key || row.Removed {
			continue
		}
		list, err := d.config.List.Parse(row.Value)
		if err != nil {
			klog.InfoS("service list rejected", "row", row.Version, "in_force", d.config.View.Load().ListVersion(), "err", err.Error())
			d.config.Metrics.Counter("list.rejected").Inc(1)
			continue
		}
		d.apply(ctx, func() { d.takeList(list, row.Value) })
	}
}

// Reparse reads the list in force again, after a change of the settings that go into it.
func (d *Directory) Reparse() {
	select {
	case d.reparse <- struct{}{}:
	default:
	}
}

// parseAgain replaces the list in force by the same version under the present settings.
func (d *Directory) parseAgain() {
	if d.current == nil {
		return
	}
	list, err := d.config.List.Parse(d.text)
	if err != nil {
		klog.InfoS("service list not read again", "version", d.current.Version, "err", err.Error())
		return
	}
	d.current = list
	klog.InfoS("service list read again", "version", list.Version)
}

// takeList puts a newer list in force. An older one is never taken again.
func (d *Directory) takeList(list *servicelist.List, text []byte) {
	if d.current != nil && list.Version <= d.current.Version {
		klog.InfoS("service list ignored: not newer", "version", list.Version, "in_force", d.current.Version)
		return
	}
	klog.InfoS("service list in force", "version", list.Version, "services", len(list.Services), "rules", list.Rules.Len())
	d.current, d.text = list, text
	now := time.Now()
	d.listAt.Store(&now)
}

// publish gives traffic a new snapshot.
func (d *Directory) publish() {
	snapshot := &cluster.Snapshot{Self: d.config.Self, List: d.current, Members: map[string][]cluster.Member{}}
	add := func(row Row) {
		if row.Gone || row.Member.ID == "" {
			return
		}
		snapshot.Members[row.Member.Service] = append(snapshot.Members[row.Member.Service], row.Member)
	}
	var others []cluster.Member
	for _, row := range latestByAddr(d.rows, d.config.Self.PeerAddr) {
		add(row)
		if !row.Gone {
			others = append(others, row.Member)
		}
	}
	if own := d.wanted.Load(); own != nil {
		snapshot.Self = own.Member
		add(*own)
	}
	ranked := candidates(others, snapshot.Self)
	d.ranked.Store(&ranked)
	for _, members := range snapshot.Members {
		slices.SortFunc(members, func(a, b cluster.Member) int { return strings.Compare(a.ID, b.ID) })
	}
	d.config.View.Publish(snapshot)
	if d.current != nil && !isClosed(d.listed) {
		close(d.listed)
	}
}

// latestByAddr drops the rows of nodes whose address another node has taken since. Nobody removes the row of a machine that
// was lost, and its address may be given to a machine of another service. The own address is this node's.
func latestByAddr(rows map[string]memberRow, own string) []Row {
	latest := map[string]memberRow{}
	for _, known := range rows {
		addr := known.row.Member.PeerAddr
		if addr != own && known.version >= latest[addr].version {
			latest[addr] = known
		}
	}
	kept := make([]Row, 0, len(latest))
	for _, known := range latest {
		kept = append(kept, known.row)
	}
	return kept
}

// writeOwn keeps the store's row of this node equal to the row announced last.
func (d *Directory) writeOwn(ctx context.Context) error {
	select {
	case <-d.loaded:
	case <-ctx.Done():
		return nil
	}
	retry := backoff{}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.own:
		}
		d.apply(ctx, func() {}) // publishes the own row
		for ctx.Err() == nil {
			if err := d.writeOnce(ctx); err == nil {
				retry.reset()
				break
			}
			d.waitToRetry(ctx, &retry)
		}
	}
}

// writeOnce writes the wanted row under the condition that it replaces the one known, so that a write that takes effect
// late can't undo a newer one.
func (d *Directory) writeOnce(ctx context.Context) error {
	row := d.wanted.Load()
	known := d.ownVersion.Load()
	version, err := d.config.Store.Replace(ctx, MembersTable, platform.FeedRow{Key: d.config.Name, Value: encodeRow(*row)}, known)
	var stale *platform.StaleRowError
	switch {
	case errors.As(err, &stale):
		d.ownVersion.Store(stale.Stored.Version)
		return err
	case err != nil:
		klog.InfoS("own row not written", "target", row.Target.ID, "draining", row.Member.Draining, "err", err.Error())
		return eris.Wrap(err, "write the own row")
	}
	d.ownVersion.Store(max(d.ownVersion.Load(), version))
	if d.wanted.Load() == row {
		d.stored.Store(true)
	}
	klog.InfoS("own row written", "member", row.Member.ID, "target", row.Target.ID, "draining", row.Member.Draining,
		"gone", row.Gone, "version", version)
	return nil
}

// Leave removes the node's row; its target has left and the node ends.
func (d *Directory) Leave(ctx context.Context) error {
	_, err := d.config.Store.Replace(ctx, MembersTable, platform.FeedRow{Key: d.config.Name, Removed: true}, d.ownVersion.Load())
	return eris.Wrap(err, "remove the own row")
}
