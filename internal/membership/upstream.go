package membership

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// maxMeanGroupSize bounds the mean number of nodes that share a reader. A frame has about 140 bytes including TCP and IP
	// headers, so that the reader of 40 nodes sends 14 KB/s while nothing changes. Users allow a node this much control
	// traffic.
	maxMeanGroupSize = 40
	// maxAvoidedReaders bounds the number of avoided readers that are recorded; a zone has at most a few hundred nodes.
	maxAvoidedReaders = 1000
	// maxFrameBytes and maxFrameTime bound one frame of a reader, so that bytes without end neither fill the memory nor keep
	// a node from reading the store itself. The largest frame holds both tables, about 1 MB for 1,200 members and a list of
	// 69 services; the reader gives up writing a frame after relayWriteTimeout.
	maxFrameBytes = 16 << 20
	maxFrameTime  = relayWriteTimeout
	// maxDecompressedBytes bounds a decompressed value. It is above the store's limit of 1 MB for a response.
	maxDecompressedBytes = 4 << 20
)

// rankReaders returns the members of self's zone, self included, that may read the store for the others, best first. All
// nodes of a zone compute the same order: by descending link bandwidth, since a reader sends the list to all others, then
// by ID. The nodes of a large zone are divided into groups by their names, each with its own reader.
func rankReaders(members []cluster.Member, self cluster.Member) []cluster.Member {
	var zone []cluster.Member
	for _, member := range members {
		if member.Zone == self.Zone && !member.Draining && member.ID != self.ID {
			zone = append(zone, member)
		}
	}
	groups := uint64(len(zone)/maxMeanGroupSize + 1)
	ownGroup := readerGroup(self, groups)
	ranked := []cluster.Member{self}
	for _, member := range zone {
		if readerGroup(member, groups) == ownGroup {
			ranked = append(ranked, member)
		}
	}
	slices.SortFunc(ranked, func(a, b cluster.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// readerGroup returns the number of the group, below groups, that a node belongs to. It depends only on the node's name, so
// that a restarted node stays in its group.
func readerGroup(member cluster.Member, groups uint64) uint64 {
	name, _, _ := strings.Cut(member.ID, "@")
	return xxhash.Sum64String(name) % groups
}

// chooseReader returns the member to follow, or false if this node has to read the store itself. A node that lost the store
// follows any other node, including lower-ranked ones, since the store may fail for this node only.
func chooseReader(ranked []cluster.Member, self string, storeLost bool, avoided func(addr string) bool) (cluster.Member, bool) {
	for _, member := range ranked {
		switch {
		case member.ID != self && !avoided(member.PeerAddr):
			return member, true
		case member.ID == self && !storeLost:
			return cluster.Member{}, false
		}
	}
	return cluster.Member{}, false
}

// readerStream is an open stream of frames from a reader.
type readerStream struct {
	reader       cluster.Member
	body         io.ReadCloser
	decoder      *json.Decoder
	silenceTimer *time.Timer
	frameTimer   *time.Timer // runs while a frame is read
	frameLimit   *io.LimitedReader
	cancel       context.CancelFunc
	firstFrame   frame
}

// connect opens a stream from a reader and reads its first frame.
func (d *Directory) connect(ctx context.Context, reader cluster.Member) (*readerStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream := &readerStream{
		reader:       reader,
		cancel:       cancel,
		silenceTimer: time.AfterFunc(readerSilenceTimeout, cancel),
		frameTimer:   time.AfterFunc(maxFrameTime, cancel),
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reader.PeerAddr+wire.FollowPath, nil)
	if err != nil {
		stream.close()
		return nil, eris.Wrap(err, "build follow request")
	}
	request.Header.Set(headerMembersVersion, strconv.FormatUint(d.members.version.Load(), 10))
	request.Header.Set(headerListVersion, strconv.FormatUint(d.list.version.Load(), 10))
	response, err := d.config.Peers.Do(request)
	if err != nil {
		stream.close()
		return nil, eris.Wrap(err, "send follow request")
	}
	stream.body = response.Body
	if response.StatusCode != http.StatusOK {
		stream.close()
		return nil, eris.Errorf("reader responded with status %d", response.StatusCode)
	}
	stream.frameLimit = &io.LimitedReader{R: silenceResetter{response.Body, stream.silenceTimer}}
	stream.decoder = json.NewDecoder(stream.frameLimit)
	if err := stream.readFrame(&stream.firstFrame); err != nil {
		stream.close()
		return nil, eris.Wrap(err, "read first frame")
	}
	return stream, nil
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

// findReader tries to connect to a reader every readerSearchInterval and returns its stream, or nil when ctx ends.
func (d *Directory) findReader(ctx context.Context) *readerStream {
	for {
		if timing.Sleep(ctx, readerSearchInterval) != nil {
			return nil
		}
		if !d.members.loaded.Load() || !d.list.loaded.Load() || d.stopping.Load() {
			continue
		}
		reader, ok := chooseReader(*d.rankedReaders.Load(), d.selfID(), d.list.readFailed.Load(), d.isAvoided)
		if !ok {
			continue
		}
		stream, err := d.connect(ctx, reader)
		if err == nil {
			return stream
		}
		d.avoidReader(reader, err)
	}
}

// switchReader tries to connect to another reader at once and returns its stream, or nil on failure. Followers of a reader
// that was replaced by a higher-ranked one thus make no calls to the store.
func (d *Directory) switchReader(ctx context.Context) *readerStream {
	reader, ok := chooseReader(*d.rankedReaders.Load(), d.selfID(), false, d.isAvoided)
	if !ok || ctx.Err() != nil || d.stopping.Load() {
		return nil
	}
	streamCtx, cancel := context.WithCancel(ctx)
	timeout := time.AfterFunc(readerSwitchTimeout, cancel)
	stream, err := d.connect(streamCtx, reader)
	if !timeout.Stop() || err != nil {
		cancel()
		if stream != nil {
			stream.close()
		}
		if err == nil {
			err = streamCtx.Err()
		}
		d.avoidReader(reader, err)
		return nil
	}
	context.AfterFunc(ctx, cancel)
	return stream
}

// selfID returns the ID of this node's member in rankedReaders.
func (d *Directory) selfID() string {
	if own := d.announcedRow.Load(); own != nil {
		return own.Member.ID
	}
	return d.config.Self.ID
}

// isAvoided reports whether the reader at a peer address failed less than failedReaderBackoff ago.
func (d *Directory) isAvoided(addr string) bool { return time.Now().Before(d.avoidUntil[addr]) }

// avoidReader avoids a reader for failedReaderBackoff because of err.
func (d *Directory) avoidReader(reader cluster.Member, err error) {
	if len(d.avoidUntil) >= maxAvoidedReaders {
		clear(d.avoidUntil)
	}
	d.avoidUntil[reader.PeerAddr] = time.Now().Add(failedReaderBackoff)
	klog.V(1).InfoS("reader not followed", "reader", reader.ID, "err", err.Error())
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
// ends.
func (d *Directory) followReader(ctx context.Context, stream *readerStream) {
	defer stream.close()
	defer context.AfterFunc(ctx, stream.cancel)()
	d.reader.Store(&stream.reader)
	defer d.reader.Store(nil)
	klog.InfoS("following a reader", "reader", stream.reader.ID, "members", d.members.version.Load(),
		"list", d.list.version.Load())
	d.config.Metrics.Counter("reader.followed").Inc(1)
	next := stream.firstFrame
	for {
		err := d.applyFrame(ctx, &next)
		if err == nil {
			next = frame{}
			err = stream.readFrame(&next)
		}
		if err == nil {
			continue
		}
		if ctx.Err() == nil {
			d.avoidReader(stream.reader, err)
			klog.InfoS("reader lost", "reader", stream.reader.ID, "err", err.Error())
			d.config.Metrics.Counter("reader.lost").Inc(1)
		}
		return
	}
}

// applyFrame applies a frame to both tables. It fails if a row can't be decompressed.
func (d *Directory) applyFrame(ctx context.Context, next *frame) error {
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
