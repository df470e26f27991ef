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
)

const (
	// relayBeat is the longest time between two frames, so that a follower notices soon that its reader is cut off.
	relayBeat = 400 * time.Millisecond
	// readerWait is the longest wait of a read of the list while others follow this node, and readerSlack the time beyond it
	// after which the store counts as silent. Followers must have a new list 2.5 s after the operator; a reader that lost the
	// store sends them away after 1.5 s, and their own read takes up to 0.5 s.
	readerWait  = 700 * time.Millisecond
	readerSlack = 800 * time.Millisecond
	// relayWriteTimeout bounds the write of a frame to a follower that does not read.
	relayWriteTimeout = 5 * time.Second
	// packAbove is the size in bytes from which values are sent compressed. A list of 1,560 rules has 350 KB, and ten
	// followers of a reader with a link of 10 Mbit/s would wait 3 s for it; compressed it has a tenth.
	packAbove = 4 << 10
	// maxTombstones bounds the removed rows that are remembered for followers.
	maxTombstones = 1000
)

// Headers of a follower's request: the version that it knows of each table.
const (
	headerMembersVersion = "Acacialock-Members-Version"
	headerListVersion    = "Acacialock-List-Version"
)

// frame is one message of a reader to a follower.
type frame struct {
	Members tableFrame `json:"members"`
	List    tableFrame `json:"list"`
}

// tableFrame brings a follower's state of a table to a version.
type tableFrame struct {
	Version uint64     `json:"version"`
	Whole   bool       `json:"whole,omitempty"` // the rows are the whole table
	Rows    []rowFrame `json:"rows,omitempty"`
}

type rowFrame struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
	Packed  bool   `json:"packed,omitempty"` // the value is compressed with gzip
	Removed bool   `json:"removed,omitempty"`
}

// relay hands the tables on to the nodes of the zone that follow this one. It is an http.Handler for wire.FollowPath.
//
// Reads of the store are priced and bounded for all nodes together. With one reader a zone, they don't grow with the nodes,
// and a list crosses the link between regions once for each zone instead of once for each node.
type relay struct {
	mu        sync.Mutex
	members   relayTable
	list      relayTable
	reading   bool      // this node reads the store and the last read was answered
	due       time.Time // by then the read of the list that is under way is answered
	followers int
	changed   chan struct{} // closed at each change
}

// relayTable is a table with what is needed to tell followers what changed.
type relayTable struct {
	version    uint64
	known      bool
	floor      uint64 // removals up to this version are not known
	rows       map[string]*relayRow
	tombstones int
}

// relayRow is a row, and its frame once a follower needed it: most nodes have no followers.
type relayRow struct {
	platform.FeedRow
	framed *rowFrame
}

func newRelay() *relay { return &relay{changed: make(chan struct{})} }

// take applies rows that were read; whole tells that they are the whole table.
func (t *relayTable) take(rows []platform.FeedRow, whole bool, version uint64) {
	if whole || t.rows == nil {
		t.rows, t.floor, t.tombstones = map[string]*relayRow{}, version, 0
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
	t.version, t.known = max(t.version, version), true
	if t.tombstones > maxTombstones {
		for key, row := range t.rows {
			if row.Removed {
				delete(t.rows, key)
			}
		}
		t.floor, t.tombstones = t.version, 0
	}
}

// since is what a follower needs that knows a version.
func (t *relayTable) since(have uint64) tableFrame {
	next := tableFrame{Version: t.version, Whole: have < t.floor}
	if have == t.version {
		return next // most frames only show that the reader lives
	}
	for _, row := range t.rows {
		if next.Whole && !row.Removed || !next.Whole && row.Version > have {
			next.Rows = append(next.Rows, row.frame())
		}
	}
	return next
}

func (r *relayRow) frame() rowFrame {
	if r.framed == nil {
		made := packed(r.FeedRow)
		r.framed = &made
	}
	return *r.framed
}

func packed(row platform.FeedRow) rowFrame {
	result := rowFrame{Key: row.Key, Version: row.Version, Value: row.Value, Removed: row.Removed}
	if len(row.Value) <= packAbove {
		return result
	}
	var text bytes.Buffer
	writer, err := gzip.NewWriterLevel(&text, gzip.BestSpeed)
	if err != nil {
		klog.InfoS("value sent uncompressed", "key", row.Key, "err", err.Error())
		return result
	}
	_, _ = writer.Write(row.Value) // a bytes.Buffer takes everything
	_ = writer.Close()
	result.Value, result.Packed = text.Bytes(), true
	return result
}

// take hands rows on that were read from the store or came from another reader.
func (r *relay) take(of *relayTable, rows []platform.FeedRow, whole bool, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of.take(rows, whole, version)
	if len(rows) > 0 || whole {
		r.wake()
	}
}

// wake lets the streams look again. The mutex is held.
func (r *relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// setReading tells whether this node reads the store itself; false ends all streams.
func (r *relay) setReading(reading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading != reading {
		r.reading = reading
		r.wake()
	}
}

// beginRead returns the longest wait of the next read of the list. When it is not answered in time, the streams end.
func (r *relay) beginRead(usual time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := usual
	if r.followers > 0 {
		wait = min(usual, readerWait)
	}
	r.due = time.Now().Add(wait + readerSlack)
	return wait
}

// state reports whether this node reads the store now, and whether a follower that knows these versions knows more.
func (r *relay) state(haveMembers, haveList uint64) (ready, behind bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready = r.reading && r.members.known && r.list.known && time.Now().Before(r.due)
	return ready, haveMembers > r.members.version || haveList > r.list.version
}

// next returns the frame for a follower, the channel that is closed at the next change, and the time until which this node
// may be trusted to know the newest list; false ends the stream.
func (r *relay) next(haveMembers, haveList uint64) (next frame, changed <-chan struct{}, due time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.reading || !time.Now().Before(r.due) {
		return frame{}, nil, time.Time{}, false
	}
	next = frame{Members: r.members.since(haveMembers), List: r.list.since(haveList)}
	return next, r.changed, r.due, true
}

func (r *relay) join(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followers += by
}

// ServeHTTP streams frames until this node no longer reads the store or the follower leaves. It answers 409 when the
// follower has to look elsewhere.
func (r *relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	haveMembers, membersErr := strconv.ParseUint(request.Header.Get(headerMembersVersion), 10, 64)
	haveList, listErr := strconv.ParseUint(request.Header.Get(headerListVersion), 10, 64)
	if membersErr != nil || listErr != nil {
		http.Error(w, "a follower names the versions that it knows", http.StatusBadRequest)
		return
	}
	if ready, behind := r.state(haveMembers, haveList); !ready || behind {
		http.Error(w, "this node does not read the store now, or knows less", http.StatusConflict)
		return
	}
	r.join(1)
	defer r.join(-1)
	r.stream(w, request, haveMembers, haveList)
}

func (r *relay) stream(w http.ResponseWriter, request *http.Request, haveMembers, haveList uint64) {
	control := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	pause := time.NewTimer(relayBeat)
	defer pause.Stop()
	for {
		next, changed, due, ok := r.next(haveMembers, haveList)
		if !ok {
			return
		}
		_ = control.SetWriteDeadline(time.Now().Add(relayWriteTimeout)) // a writer without deadlines fails at the write
		if encoder.Encode(next) != nil || control.Flush() != nil {
			return // the follower is gone
		}
		haveMembers, haveList = next.Members.Version, next.List.Version
		pause.Reset(min(relayBeat, time.Until(due)))
		select {
		case <-changed:
		case <-pause.C:
		case <-request.Context().Done():
			return
		}
	}
}

// FollowHandler serves wire.FollowPath to the nodes that follow this one.
func (d *Directory) FollowHandler() http.Handler { return d.relay }

// StopServing ends the streams of the nodes that follow this one; it stops.
func (d *Directory) StopServing() {
	d.stopping.Store(true)
	d.relay.setReading(false)
}
