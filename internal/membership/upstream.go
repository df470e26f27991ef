package membership

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/timing"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// readerSilenceTimeout is the time without data from a reader after which a node stops following it. It is three
	// heartbeat intervals.
	readerSilenceTimeout = 1200 * time.Millisecond
	// readerSearchInterval is the time between two attempts to find a reader while this node reads the store itself.
	readerSearchInterval = time.Second
	// readerSwitchTimeout bounds the attempt to follow another reader before this node reads the store itself. It keeps the
	// time without updates below that in which a new list must be in force.
	readerSwitchTimeout = 300 * time.Millisecond
	// failedReaderBackoff is the time for which a reader is avoided after it refused, failed or stopped responding.
	failedReaderBackoff = 5 * time.Second
	// firstSearchDelay is the time between the first complete read of both tables and the first attempt to find a reader.
	// After a restart of many nodes at once it gives the best reader time to read the store.
	firstSearchDelay = 300 * time.Millisecond
	// relaySettleTime is the time that a node continues to read the store after a better one has appeared. Its followers
	// receive the row of that node meanwhile and can follow it when their streams end.
	relaySettleTime = 150 * time.Millisecond
	// maxConnectsPerSearch bounds the members that are tried in one search. A member that does not relay now refuses at once.
	maxConnectsPerSearch = 3
	// secondSwitchDelay is the time between the two searches for another reader before this node reads the store itself. In
	// that time the next best node reads the store, and the others follow it.
	secondSwitchDelay = 200 * time.Millisecond
	// recheckInterval is the time after which a node that follows another member than the best one tries that again, or the
	// store if it is itself the best. Jitter of up to half of it is added. Without it, extra nodes would read the store, or
	// follow the region's reader, long after a fault has ended.
	recheckInterval = 5 * time.Second
	// maxAvoidedReaders bounds the number of avoided readers that are recorded; a region has at most a few hundred nodes.
	maxAvoidedReaders = 1000
	// maxFrameBytes and maxFrameTime bound one frame of a reader, so that bytes without end neither fill the memory nor keep
	// a node from reading the store itself. The largest frame holds both tables, about 1 MB for 1,200 members and a list of
	// 69 services; the reader gives up writing a frame after relayWriteTimeout.
	maxFrameBytes = 16 << 20
	maxFrameTime  = relayWriteTimeout
	// maxDecompressedBytes bounds a decompressed value. It is above the store's limit of 1 MB for a response.
	maxDecompressedBytes = 4 << 20
)

// readerStream is an open stream of frames from a reader.
type readerStream struct {
	upstream
	body         io.ReadCloser
	decoder      *json.Decoder
	silenceTimer *time.Timer
	frameTimer   *time.Timer // runs while a frame is read
	frameLimit   *io.LimitedReader
	cancel       context.CancelFunc
	firstFrame   frame
	clock        atomic.Pointer[readerClock] // nil: the reader does not tell its clock
}

// connect opens a stream from a reader and reads its first frame.
func (d *Directory) connect(ctx context.Context, reader upstream) (*readerStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream := &readerStream{
		upstream:     reader,
		cancel:       cancel,
		silenceTimer: time.AfterFunc(readerSilenceTimeout, cancel),
		frameTimer:   time.AfterFunc(maxFrameTime, cancel),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reader.member.PeerAddr+wire.FollowPath, nil)
	if err != nil {
		stream.close()
		return nil, eris.Wrap(err, "build follow request")
	}
	request.Header.Set(headerFollowScope, string(reader.scope))
	request.Header.Set(headerMembersVersion, strconv.FormatUint(d.members.version.Load(), 10))
	request.Header.Set(headerListVersion, strconv.FormatUint(d.list.version.Load(), 10))
	setFollower(request.Header, d.selfMember())
	sentAt := timing.SinceBoot()
	response, err := d.config.Peers.Do(request)
	if err != nil {
		stream.close()
		return nil, eris.Wrap(err, "send follow request")
	}
	stream.body = response.Body
	stream.recordClock(response.Header, sentAt)
	if response.StatusCode != http.StatusOK {
		stream.close()
		return nil, &readerStatusError{response.StatusCode}
	}
	stream.frameLimit = &io.LimitedReader{R: silenceResetter{response.Body, stream.silenceTimer}}
	stream.decoder = json.NewDecoder(stream.frameLimit)
	if err := stream.readFrame(&stream.firstFrame); err != nil {
		stream.close()
		return nil, eris.Wrap(err, "read first frame")
	}
	return stream, nil
}

// readerStatusError reports a reader that refused a follower.
type readerStatusError struct{ status int }

func (e *readerStatusError) Error() string {
	return fmt.Sprintf("reader responded with status %d", e.status)
}

// readFrame waits for the next frame and decodes it. Frames follow each other within heartbeatInterval, so the time limit
// includes the wait.
func (s *readerStream) readFrame(next *frame) error {
	s.frameLimit.N = maxFrameBytes
	s.frameTimer.Reset(maxFrameTime)
	return s.decoder.Decode(next)
}

// silenceResetter restarts the silence timer on each read.
type silenceResetter struct {
	io.Reader
	timer *time.Timer
}

func (r silenceResetter) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	r.timer.Reset(readerSilenceTimeout)
	return n, err
}

func (s *readerStream) close() {
	s.silenceTimer.Stop()
	s.frameTimer.Stop()
	s.cancel()
	if s.body != nil {
		_ = s.body.Close() // the stream is no longer read
	}
}

// findReader tries to connect to a reader, firstSearchDelay after both tables were read, then every readerSearchInterval and
// when another member becomes the one to follow. It returns its stream, or nil when ctx ends.
func (d *Directory) findReader(ctx context.Context) *readerStream {
	if d.waitUntilLoaded(ctx) != nil {
		return nil
	}
	for delay := firstSearchDelay; ; delay = readerSearchInterval {
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-d.preferenceChanged:
			timer.Stop()
			_ = timing.Sleep(ctx, relaySettleTime) // search fails when ctx has ended
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
		if d.stopping.Load() {
			continue
		}
		if stream := d.search(ctx, d.list.readFailed.Load()); stream != nil {
			return stream
		}
	}
}

// search connects to the best member that relays the tables, trying at most maxConnectsPerSearch, and returns its stream, or
// nil if there is none or this node has to read the store itself. A node that lost the store and knows no other member tries
// those that asked to follow it.
func (d *Directory) search(ctx context.Context, storeLost bool) *readerStream {
	refused := map[string]bool{} // by peer address
	avoided := func(addr string) bool { return refused[addr] || d.isAvoided(addr) }
	for range maxConnectsPerSearch {
		reader, ok := d.ranking.Load().choose(d.selfID(), storeLost, avoided)
		if !ok && storeLost {
			reader, ok = d.relay.recent.choose(avoided)
		}
		if !ok || ctx.Err() != nil {
			return nil
		}
		stream, err := d.connect(ctx, reader)
		if err == nil {
			return stream
		}
		var status *readerStatusError
		if errors.As(err, &status) && status.status == http.StatusConflict {
			refused[reader.member.PeerAddr] = true
			klog.V(1).InfoS("reader does not relay now", "reader", reader.member.ID, "scope", reader.scope)
			continue
		}
		d.avoidReader(reader, err)
	}
	return nil
}

// switchReader tries to connect to another reader and returns its stream, or nil on failure. Followers of a reader that was
// replaced thus make no calls to the store.
func (d *Directory) switchReader(ctx context.Context) *readerStream {
	if stream := d.searchBriefly(ctx); stream != nil || d.isPreferredReader() {
		return stream
	}
	_ = timing.Sleep(ctx, secondSwitchDelay)
	return d.searchBriefly(ctx)
}

// isPreferredReader reports whether this node is the one that should read the store, as far as it knows.
func (d *Directory) isPreferredReader() bool {
	_, follows := d.ranking.Load().choose(d.selfID(), false, d.isAvoided)
	return !follows
}

// searchBriefly is search within readerSwitchTimeout.
func (d *Directory) searchBriefly(ctx context.Context) *readerStream {
	if ctx.Err() != nil || d.stopping.Load() {
		return nil
	}
	streamCtx, cancel := context.WithCancel(ctx)
	timeout := time.AfterFunc(readerSwitchTimeout, cancel)
	stream := d.search(streamCtx, false)
	if !timeout.Stop() || stream == nil {
		cancel()
		if stream != nil {
			stream.close()
		}
		return nil
	}
	context.AfterFunc(ctx, cancel)
	return stream
}

// waitUntilLoaded waits until both tables have been read once. It fails when ctx ends.
func (d *Directory) waitUntilLoaded(ctx context.Context) error {
	for _, loaded := range []<-chan struct{}{d.membersLoaded, d.listLoaded} {
		select {
		case <-loaded:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// selfMember returns this node's member in its ranking.
func (d *Directory) selfMember() cluster.Member {
	if own := d.announcedRow.Load(); own != nil {
		return own.Member
	}
	return d.config.Self
}

// selfID returns the ID of this node's member in its ranking.
func (d *Directory) selfID() string { return d.selfMember().ID }

// isAvoided reports whether the reader at a peer address failed less than failedReaderBackoff ago.
func (d *Directory) isAvoided(addr string) bool { return time.Now().Before(d.avoidUntil[addr]) }

// avoidReader avoids a reader for failedReaderBackoff because of err.
func (d *Directory) avoidReader(reader upstream, err error) {
	if len(d.avoidUntil) >= maxAvoidedReaders {
		clear(d.avoidUntil)
	}
	d.avoidUntil[reader.member.PeerAddr] = time.Now().Add(failedReaderBackoff)
	klog.V(1).InfoS("reader not followed", "reader", reader.member.ID, "scope", reader.scope, "err", err.Error())
}

// Reader returns the member that reads the store for this node, or false while this node reads the store itself.
func (d *Directory) Reader() (cluster.Member, bool) {
	if reader := d.reader.Load(); reader != nil {
		return *reader, true
	}
	return cluster.Member{}, false
}

// StoreLost reports whether this node's last own read of the service list from the store failed.
func (d *Directory) StoreLost() bool { return d.list.readFailed.Load() }

// followReader applies the frames of a reader until the stream ends, nothing is received for readerSilenceTimeout, or ctx
// ends. It returns the stream of a better reader if that was the reason.
func (d *Directory) followReader(ctx context.Context, stream *readerStream) *readerStream {
	defer stream.close()
	defer context.AfterFunc(ctx, stream.cancel)()
	d.reader.Store(&stream.member)
	defer d.reader.Store(nil)
	d.relay.setSource(stream.scope.source())
	klog.InfoS("following a reader", "reader", stream.member.ID, "scope", stream.scope, "members", d.members.version.Load(),
		"list", d.list.version.Load())
	d.config.Metrics.Counter("reader.followed").Inc(1)
	recheckCtx, stopRecheck := context.WithCancel(ctx)
	recheck := make(chan recheckResult, 1)
	go func() { recheck <- d.awaitBetterReader(ctx, recheckCtx, stream) }()
	err := d.applyFrames(ctx, stream)
	stopRecheck()
	result := <-recheck
	if !result.left && ctx.Err() == nil {
		d.avoidReader(stream.upstream, err)
		klog.InfoS("reader lost", "reader", stream.member.ID, "err", err.Error())
		d.config.Metrics.Counter("reader.lost").Inc(1)
	}
	return result.stream
}

// applyFrames applies the frames of a stream until it fails.
func (d *Directory) applyFrames(ctx context.Context, stream *readerStream) error {
	next := stream.firstFrame
	for {
		if err := d.applyFrame(ctx, &next); err != nil {
			return err
		}
		if clock := stream.clock.Load(); clock != nil && next.Proof != nil && ctx.Err() == nil {
			d.confirmList(clock.proven(next.Proof))
		}
		next = frame{}
		if err := stream.readFrame(&next); err != nil {
			return err
		}
	}
}

// recheckResult is the result of awaitBetterReader.
type recheckResult struct {
	left   bool          // the stream was ended because it is not that of the best reader
	stream *readerStream // of the best reader; nil if this node should read the store
}

// awaitBetterReader checks every recheckInterval whether the stream is that of the best reader. If not, it connects to that
// one and ends the stream. It gives up when recheckCtx ends; ctx bounds the new stream.
func (d *Directory) awaitBetterReader(ctx, recheckCtx context.Context, stream *readerStream) recheckResult {
	for timing.Sleep(recheckCtx, recheckInterval+rand.N(recheckInterval/2)) == nil {
		d.refreshClock(recheckCtx, stream)
		best := d.ranking.Load().preferred(d.selfID())
		switch {
		case best.scope == stream.scope && best.member.PeerAddr == stream.member.PeerAddr:
			continue
		case best.member.ID == "":
			klog.InfoS("reading the store again in place of a lower-ranked reader", "reader", stream.member.ID)
			stream.cancel()
			return recheckResult{left: true}
		}
		connectCtx, cancel := context.WithCancel(ctx)
		giveUp := context.AfterFunc(recheckCtx, cancel)
		found, err := d.connect(connectCtx, best)
		switch {
		case err != nil:
			cancel()
		case !giveUp():
			found.close()
		default:
			stream.cancel()
			return recheckResult{left: true, stream: found}
		}
	}
	return recheckResult{}
}

// applyFrame applies a frame to both tables. It fails if a row can't be decompressed.
func (d *Directory) applyFrame(ctx context.Context, next *frame) error {
	d.readerHolds.Store(next.List.Held)
	for _, part := range []struct {
		table *followedTable
		frame *tableFrame
	}{{d.members, &next.Members}, {d.list, &next.List}} {
		rows, err := part.frame.feedRows()
		if err != nil {
			return err
		}
		part.table.update(ctx, rows, part.frame.Full, part.frame.Version)
	}
	if next.List.Held && !d.storeBehind.Load() {
		d.markListHeld(ctx)
	}
	d.relay.extendDeadline(readerSilenceTimeout + listReadGrace)
	return nil
}

// feedRows returns the rows of the frame with decompressed values of at most maxDecompressedBytes.
func (t *tableFrame) feedRows() ([]platform.FeedRow, error) {
	rows := make([]platform.FeedRow, 0, len(t.Rows))
	for _, row := range t.Rows {
		value := row.Value
		if row.Compressed {
			reader, err := gzip.NewReader(bytes.NewReader(row.Value))
			if err != nil {
				return nil, eris.Wrapf(err, "decompress row %q", row.Key)
			}
			if value, err = io.ReadAll(io.LimitReader(reader, maxDecompressedBytes+1)); err != nil {
				return nil, eris.Wrapf(err, "decompress row %q", row.Key)
			}
			if len(value) > maxDecompressedBytes {
				return nil, fmt.Errorf("row %q exceeds %d bytes when decompressed", row.Key, maxDecompressedBytes)
			}
		}
		rows = append(rows, platform.FeedRow{Key: row.Key, Version: row.Version, Value: value, Removed: row.Removed})
	}
	return rows, nil
}
