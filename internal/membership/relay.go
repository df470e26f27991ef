package membership

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/timing"
)

const (
	// heartbeatInterval is the maximum time between two frames. It lets followers detect an unreachable reader soon.
	heartbeatInterval = 400 * time.Millisecond
	// relayedListReadWait is the long-poll timeout of a read of the list while this node has followers, and listReadGrace the
	// time after that timeout at which the store counts as unresponsive. Followers must have a new list 2.5 s after the
	// operator applied it: a reader that lost the store ends their streams after 1.5 s, and their own read takes up to 0.5 s.
	relayedListReadWait = 700 * time.Millisecond
	listReadGrace       = 800 * time.Millisecond
	// relayWriteTimeout bounds the write of a frame to a follower that has stopped reading.
	relayWriteTimeout = 5 * time.Second
	// compressionThreshold is the size in bytes above which values are sent compressed. A list of 1,560 rules has 350 KB, and
	// sending it to ten followers over a link of 10 Mbit/s takes 3 s; compressed, it is a tenth of that size.
	compressionThreshold = 4 << 10
	// maxTombstones bounds the tombstones of removed rows that a table retains for followers.
	maxTombstones = 1000
)

// Headers of a follower's request, with the version of each table that the follower has.
const (
	headerMembersVersion = "Acacialock-Members-Version"
	headerListVersion    = "Acacialock-List-Version"
)

// headerFollowScope is the header of a follower's request with its followScope; absent: scopeGroup.
const headerFollowScope = "Acacialock-Follow-Scope"

// source is where a node gets the tables that it relays. The order is that of the followers that it serves.
type source int

const (
	sourceNone   source = iota // another node of the group, or nothing yet: no followers
	sourceRegion               // the region's reader: followers of the own group
	sourceStore                // the store: followers of the own group and relays of the region
)

// source returns the source of a node that follows a reader in this scope.
func (s followScope) source() source {
	if s == scopeRegion {
		return sourceRegion
	}
	return sourceNone
}

// requiredSource returns the least source of a node that a follower with this scope may follow.
func (s followScope) requiredSource() source {
	if s == scopeRegion {
		return sourceStore
	}
	return sourceRegion
}

// frame is one message from a reader to a follower.
type frame struct {
	Members tableFrame  `json:"members"`
	List    tableFrame  `json:"list"`
	Proof   *proofFrame `json:"proof,omitempty"` // nil: the reader can't tell the age of its list, or need not
}

// tableFrame contains the rows that update a follower's copy of a table to Version.
type tableFrame struct {
	Version uint64     `json:"version"`
	Full    bool       `json:"whole,omitempty"` // Rows is the complete table
	Held    bool       `json:"held,omitempty"`  // see relay.listHeld
	Rows    []rowFrame `json:"rows,omitempty"`
}

// rowFrame is one row of a tableFrame, or the removal of one.
type rowFrame struct {
	Key        string `json:"key"`
	Version    uint64 `json:"version"`
	Value      []byte `json:"value,omitempty"`
	Compressed bool   `json:"packed,omitempty"` // Value is compressed with gzip
	Removed    bool   `json:"removed,omitempty"`
}

// relay streams the tables to the nodes that follow this one. It is an http.Handler for wire.FollowPath.
//
// Reads of the store are billed and limited for all nodes together. One node of a region reads it and relays the tables to
// one node of each group, which relays them to the group. The reads thus don't grow with the number of nodes or zones, and
// a list crosses the link between regions once per region.
type relay struct {
	mu           sync.Mutex
	members      relayTable
	list         relayTable
	source       source
	readDeadline time.Time // time by which the read of the list in progress, or the reader's next frame, must arrive
	followers    int
	changed      chan struct{} // closed and replaced at each change

	recent recentFollowers

	proof     listProof
	statesAge bool // frames state the age of the list
	// listHeld is true while the relayed list is later than that of the store, which came back from an older copy. The first
	// frame of each stream then has the whole table: the version of the row does not show that a follower lacks the list.
	listHeld bool
}

// relayTable is a copy of a table that retains tombstones, from which the changes since a version can be determined.
type relayTable struct {
	version         uint64
	loaded          bool
	minDeltaVersion uint64 // removals up to this version are unknown; older followers need the full table
	rows            map[string]*relayRow
	tombstones      int // number of tombstones in rows
}

// relayRow is a row with its frame, which is built on first use because most nodes have no followers.
type relayRow struct {
	platform.FeedRow
	cachedFrame *rowFrame
}

func newRelay() *relay { return &relay{changed: make(chan struct{})} }

// update applies rows that were read. If full is set, they are the complete table, otherwise changes.
func (t *relayTable) update(rows []platform.FeedRow, full bool, version uint64) {
	if full || t.rows == nil {
		t.rows, t.minDeltaVersion, t.tombstones = map[string]*relayRow{}, version, 0
	}
	for _, row := range rows {
		old := t.rows[row.Key]
		if old != nil && row.Version < old.Version {
			continue
		}
		if row.Removed && (old == nil || !old.Removed) {
			t.tombstones++
		}
		t.rows[row.Key] = &relayRow{FeedRow: row}
	}
	t.version, t.loaded = max(t.version, version), true
	if t.tombstones > maxTombstones {
		for key, row := range t.rows {
			if row.Removed {
				delete(t.rows, key)
			}
		}
		t.minDeltaVersion, t.tombstones = t.version, 0
	}
}

// frameSince returns the frame that updates a follower from the given version: the changes, or the full table if not all
// removals since that version are known.
func (t *relayTable) frameSince(version uint64) tableFrame {
	next := tableFrame{Version: t.version, Full: version < t.minDeltaVersion}
	if version == t.version {
		return next // most frames are heartbeats
	}
	for _, row := range t.rows {
		if next.Full && !row.Removed || !next.Full && row.Version > version {
			next.Rows = append(next.Rows, row.frame())
		}
	}
	return next
}

func (r *relayRow) frame() rowFrame {
	if r.cachedFrame == nil {
		built := newRowFrame(r.FeedRow)
		r.cachedFrame = &built
	}
	return *r.cachedFrame
}

// newRowFrame returns the frame of a row, compressed if the value exceeds compressionThreshold.
func newRowFrame(row platform.FeedRow) rowFrame {
	result := rowFrame{Key: row.Key, Version: row.Version, Value: row.Value, Removed: row.Removed}
	if len(row.Value) <= compressionThreshold {
		return result
	}
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		klog.InfoS("value sent uncompressed", "key", row.Key, "err", err.Error())
		return result
	}
	_, _ = writer.Write(row.Value) // writes to a bytes.Buffer don't fail
	_ = writer.Close()
	result.Value, result.Compressed = compressed.Bytes(), true
	return result
}

// update applies rows that were read from the store or received from another reader to a table of r, and wakes the streams
// to send them.
func (r *relay) update(table *relayTable, rows []platform.FeedRow, full bool, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table.update(rows, full, version)
	if len(rows) > 0 || full {
		r.notifyStreams()
	}
}

// notifyStreams wakes all streams to check for changes. r.mu must be held.
func (r *relay) notifyStreams() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// setSource sets where this node gets the tables from. Streams of followers that need a better source end.
func (r *relay) setSource(changed source) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.source != changed {
		r.source = changed
		r.notifyStreams()
	}
}

// extendDeadline lets the relayed state count as up to date for the given time.
func (r *relay) extendDeadline(valid time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readDeadline = time.Now().Add(valid)
}

// beginListRead sets the deadline for the next read of the list and returns its long-poll timeout, which is shorter than
// defaultWait while this node has followers. If the read is not answered by the deadline, the streams end.
func (r *relay) beginListRead(defaultWait time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := defaultWait
	if r.followers > 0 {
		wait = min(defaultWait, relayedListReadWait)
	}
	r.readDeadline = time.Now().Add(wait + listReadGrace)
	return wait
}

// followerState reports whether this node is ready to serve followers with this scope, and whether its state is behind that
// of a follower with these versions.
func (r *relay) followerState(scope followScope, membersVersion, listVersion uint64) (ready, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready = r.source >= scope.requiredSource() && r.members.loaded && r.list.loaded && time.Now().Before(r.readDeadline)
	return ready, membersVersion > r.members.version || listVersion > r.list.version
}

// nextFrame returns the frame for a follower with these versions, the channel that is closed at the next change, and the
// deadline for the next news of the list, until which this node counts as up to date. If ok is false, the stream ends.
func (r *relay) nextFrame(
	scope followScope, membersVersion, listVersion uint64,
) (next frame, changed <-chan struct{}, deadline time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.source < scope.requiredSource() || !time.Now().Before(r.readDeadline) {
		return frame{}, nil, time.Time{}, false
	}
	if r.statesAge {
		next.Proof = r.proof.newProofFrame(timing.SinceBoot())
	}
	next.Members, next.List = r.members.frameSince(membersVersion), r.list.frameSince(listVersion)
	next.List.Held = r.listHeld
	return next, r.changed, r.readDeadline, true
}

// firstListVersion returns the version of the list from which the next frame of a stream starts: listVersion, or none if it
// is the first frame and the list is held.
func (r *relay) firstListVersion(first bool, listVersion uint64) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first && r.listHeld {
		return 0
	}
	return listVersion
}

// setListHeld sets whether the relayed list is later than that of the store.
func (r *relay) setListHeld(held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listHeld = held
}

func (r *relay) addFollowers(delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followers += delta
}

func (r *relay) hasFollowers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.followers > 0
}

// ServeHTTP streams frames until this node no longer has the source that the follower needs or the follower disconnects. It
// responds with 400 if the version headers are missing or invalid, and with 409 if the follower has to choose another reader.
// A HEAD request reads the clock only.
func (r *relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	serveClock(w)
	if request.Method == http.MethodHead {
		return
	}
	membersVersion, membersErr := strconv.ParseUint(request.Header.Get(headerMembersVersion), 10, 64)
	listVersion, listErr := strconv.ParseUint(request.Header.Get(headerListVersion), 10, 64)
	if membersErr != nil || listErr != nil {
		http.Error(w, "a follower names the versions that it knows", http.StatusBadRequest)
		return
	}
	r.recent.record(request.Header)
	scope := scopeGroup
	if request.Header.Get(headerFollowScope) == string(scopeRegion) {
		scope = scopeRegion
	}
	if ready, behind := r.followerState(scope, membersVersion, listVersion); !ready || behind {
		http.Error(w, "this node does not relay the tables now, or knows less", http.StatusConflict)
		return
	}
	r.addFollowers(1)
	defer r.addFollowers(-1)
	r.stream(w, request, scope, membersVersion, listVersion)
}

// stream sends a frame at each change and at least every heartbeatInterval.
func (r *relay) stream(
	w http.ResponseWriter, request *http.Request, scope followScope, membersVersion, listVersion uint64,
) {
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	first := true
	for {
		next, changed, deadline, ok := r.nextFrame(scope, membersVersion, r.firstListVersion(first, listVersion))
		if !ok {
			return
		}
		_ = control.SetWriteDeadline(time.Now().Add(relayWriteTimeout)) // on failure, the write fails as well
		if encoder.Encode(next) != nil || control.Flush() != nil {
			return // the follower disconnected
		}
		first = false
		membersVersion, listVersion = next.Members.Version, next.List.Version
		heartbeat.Reset(min(heartbeatInterval, time.Until(deadline)))
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-request.Context().Done():
			return
		}
	}
}

// FollowHandler returns the handler of wire.FollowPath, which streams the tables to the nodes that follow this one.
func (d *Directory) FollowHandler() http.Handler { return d.relay }

// StopRelay ends the streams of the nodes that follow this one and refuses new ones. This node no longer switches to
// another reader either. It is called when the node stops.
func (d *Directory) StopRelay() {
	d.stopping.Store(true)
	d.relay.setSource(sourceNone)
}
