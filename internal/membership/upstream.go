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
	// relaySilence is the time without a byte from a reader after which a node reads the store itself. It is three beats.
	relaySilence = 1200 * time.Millisecond
	// lookInterval is the time between two looks for a reader to follow.
	lookInterval = time.Second
	// nextReaderTimeout bounds the try to follow another reader before the store is read. It keeps the time without news under
	// that in which a list must be in force.
	nextReaderTimeout = 300 * time.Millisecond
	// avoidReader is the time for which a reader that refused or went silent is not asked again.
	avoidReader = 5 * time.Second
	// maxGroup is the mean number of nodes that share a reader. A frame has about 140 bytes with its headers of TCP and IP, so
	// that the reader of 40 nodes sends 14 KB/s when nothing changes, which the users allow a node for control.
	maxGroup = 40
	// maxAvoided bounds the readers that are remembered as avoided; a zone has at most a few hundred nodes.
	maxAvoided = 1000
	// maxListBytes bounds an unpacked value; it is above the store's limit of 1 MB for an answer.
	maxListBytes = 4 << 20
)

// candidates are the members of the own zone that may read the store for the others, best first. All nodes of a zone rank
// them alike: the widest link first, since a reader sends the list to all others, then by name. The nodes of a large zone
// form groups by their names, each with a reader of its own.
func candidates(members []cluster.Member, self cluster.Member) []cluster.Member {
	var zone []cluster.Member
	for _, member := range members {
		if member.Zone == self.Zone && !member.Draining && member.ID != self.ID {
			zone = append(zone, member)
		}
	}
	groups := uint64(len(zone)/maxGroup + 1)
	own := groupOf(self, groups)
	ranked := []cluster.Member{self}
	for _, member := range zone {
		if groupOf(member, groups) == own {
			ranked = append(ranked, member)
		}
	}
	slices.SortFunc(ranked, func(a, b cluster.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.ID, b.ID))
	})
	return ranked
}

// groupOf is the group of a node, the same for each of its processes.
func groupOf(member cluster.Member, groups uint64) uint64 {
	name, _, _ := strings.Cut(member.ID, "@")
	return xxhash.Sum64String(name) % groups
}

// chooseReader returns the member to follow; false when this node is to read the store itself. A node that lost the store
// follows any other, since the store may refuse this one alone.
func chooseReader(ranked []cluster.Member, self string, lost bool, avoided func(addr string) bool) (cluster.Member, bool) {
	for _, member := range ranked {
		switch {
		case member.ID != self && !avoided(member.PeerAddr):
			return member, true
		case member.ID == self && !lost:
			return cluster.Member{}, false
		}
	}
	return cluster.Member{}, false
}

// upstream is the stream of frames of a reader.
type upstream struct {
	reader  cluster.Member
	body    io.ReadCloser
	decoder *json.Decoder
	silence *time.Timer
	cancel  context.CancelFunc
	first   frame
}

// connect opens a stream and reads its first frame.
func (d *Directory) connect(ctx context.Context, reader cluster.Member) (*upstream, error) {
	ctx, cancel := context.WithCancel(ctx)
	opened := &upstream{reader: reader, cancel: cancel, silence: time.AfterFunc(relaySilence, cancel)}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reader.PeerAddr+wire.FollowPath, nil)
	if err != nil {
		opened.close()
		return nil, eris.Wrap(err, "build a request to a reader")
	}
	request.Header.Set(headerMembersVersion, strconv.FormatUint(d.members.after.Load(), 10))
	request.Header.Set(headerListVersion, strconv.FormatUint(d.list.after.Load(), 10))
	answer, err := d.config.Peers.Do(request)
	if err != nil {
		opened.close()
		return nil, eris.Wrap(err, "follow a reader")
	}
	opened.body = answer.Body
	if answer.StatusCode != http.StatusOK {
		opened.close()
		return nil, eris.Errorf("the reader answered with status %d", answer.StatusCode)
	}
	opened.decoder = json.NewDecoder(progress{answer.Body, opened.silence})
	if err := opened.decoder.Decode(&opened.first); err != nil {
		opened.close()
		return nil, eris.Wrap(err, "read a reader's first frame")
	}
	return opened, nil
}

// progress puts the end of the silence off with each read.
type progress struct {
	io.Reader
	silence *time.Timer
}

func (p progress) Read(into []byte) (int, error) {
	n, err := p.Reader.Read(into)
	p.silence.Reset(relaySilence)
	return n, err
}

func (u *upstream) close() {
	u.silence.Stop()
	u.cancel()
	if u.body != nil {
		_ = u.body.Close() // nothing more is read from it
	}
}

// look tries to follow a reader until it finds one or ctx ends.
func (d *Directory) look(ctx context.Context) *upstream {
	for {
		if timing.Sleep(ctx, lookInterval) != nil {
			return nil
		}
		if !d.members.known.Load() || !d.list.known.Load() || d.stopping.Load() {
			continue
		}
		reader, ok := chooseReader(*d.ranked.Load(), d.selfID(), d.list.lost.Load(), d.avoided)
		if !ok {
			continue
		}
		found, err := d.connect(ctx, reader)
		if err == nil {
			return found
		}
		d.avoid(reader, err)
	}
}

// nextReader tries to follow another reader at once, so that a reader that gives way to a better one costs no calls to the
// store.
func (d *Directory) nextReader(ctx context.Context) *upstream {
	reader, ok := chooseReader(*d.ranked.Load(), d.selfID(), false, d.avoided)
	if !ok || ctx.Err() != nil || d.stopping.Load() {
		return nil
	}
	trial, cancel := context.WithCancel(ctx)
	stop := time.AfterFunc(nextReaderTimeout, cancel)
	found, err := d.connect(trial, reader)
	if !stop.Stop() || err != nil {
		cancel()
		if found != nil {
			found.close()
		}
		if err == nil {
			err = trial.Err()
		}
		d.avoid(reader, err)
		return nil
	}
	context.AfterFunc(ctx, cancel)
	return found
}

// selfID is the id that the own member has in the ranking.
func (d *Directory) selfID() string {
	if own := d.wanted.Load(); own != nil {
		return own.Member.ID
	}
	return d.config.Self.ID
}

func (d *Directory) avoided(addr string) bool { return time.Now().Before(d.avoidUntil[addr]) }

func (d *Directory) avoid(reader cluster.Member, err error) {
	if len(d.avoidUntil) >= maxAvoided {
		clear(d.avoidUntil)
	}
	d.avoidUntil[reader.PeerAddr] = time.Now().Add(avoidReader)
	klog.V(1).InfoS("reader not followed", "reader", reader.ID, "err", err.Error())
}

// Reader returns the member that reads the store for this node; false while this node reads it itself.
func (d *Directory) Reader() (cluster.Member, bool) {
	if reader := d.reader.Load(); reader != nil {
		return *reader, true
	}
	return cluster.Member{}, false
}

// StoreLost reports whether the last read of the service list by this node itself failed.
func (d *Directory) StoreLost() bool { return d.list.lost.Load() }

// followReader takes over the frames of a reader until the stream ends or goes silent.
func (d *Directory) followReader(ctx context.Context, from *upstream) {
	defer from.close()
	defer context.AfterFunc(ctx, from.cancel)()
	d.reader.Store(&from.reader)
	defer d.reader.Store(nil)
	klog.InfoS("following a reader", "reader", from.reader.ID, "members", d.members.after.Load(), "list", d.list.after.Load())
	d.config.Metrics.Counter("reader.followed").Inc(1)
	next := from.first
	for {
		err := d.takeFrame(ctx, &next)
		if err == nil {
			next = frame{}
			err = from.decoder.Decode(&next)
		}
		if err == nil {
			continue
		}
		if ctx.Err() == nil {
			d.avoid(from.reader, err)
			klog.InfoS("reader lost", "reader", from.reader.ID, "err", err.Error())
			d.config.Metrics.Counter("reader.lost").Inc(1)
		}
		return
	}
}

func (d *Directory) takeFrame(ctx context.Context, next *frame) error {
	for _, one := range []struct {
		of    *followed
		frame *tableFrame
	}{{d.members, &next.Members}, {d.list, &next.List}} {
		rows, err := one.frame.unpack()
		if err != nil {
			return err
		}
		one.of.take(ctx, rows, one.frame.Whole, one.frame.Version)
	}
	return nil
}

func (t *tableFrame) unpack() ([]platform.FeedRow, error) {
	rows := make([]platform.FeedRow, 0, len(t.Rows))
	for _, row := range t.Rows {
		value := row.Value
		if row.Packed {
			reader, err := gzip.NewReader(bytes.NewReader(row.Value))
			if err != nil {
				return nil, eris.Wrapf(err, "unpack row %q", row.Key)
			}
			if value, err = io.ReadAll(io.LimitReader(reader, maxListBytes+1)); err != nil {
				return nil, eris.Wrapf(err, "unpack row %q", row.Key)
			}
			if len(value) > maxListBytes {
				return nil, fmt.Errorf("row %q has more than %d bytes", row.Key, maxListBytes)
			}
		}
		rows = append(rows, platform.FeedRow{Key: row.Key, Version: row.Version, Value: value, Removed: row.Removed})
	}
	return rows, nil
}
