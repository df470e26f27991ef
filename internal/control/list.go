package control

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/timing"
)

const (
	maxFetchDelay = 10 * time.Second
	fetchPeers    = 2 // peers asked when the leader does not have the text
)

// listState is the service list in force and the newest one known.
type listState struct {
	starting bool // the start is not complete and no list may be published
	current  *servicelist.List
	sha      []byte // digest of current.Text
	want     wantedList
	failures int // failed fetches in a row
}

// wantedList names a list that some node or the table announced.
type wantedList struct {
	version uint64
	sha     []byte // nil when unknown
}

// candidate is a fetched and checked list.
type candidate struct {
	list *servicelist.List
	sha  []byte
}

func (l *listState) version() uint64 {
	if l.current == nil {
		return 0
	}
	return l.current.Version
}

// newestList is the highest version that this node heard of.
func (s *state) newestList() uint64 { return max(s.list.version(), s.list.want.version) }

func wantedFrom(row *cluster.ListRow) wantedList {
	sha, err := hex.DecodeString(row.SHA256)
	if err != nil {
		sha = []byte{} // matches no text
	}
	return wantedList{version: row.Version, sha: sha}
}

// wantList schedules a fetch when the list is newer than every list known so far.
func (s *state) wantList(w wantedList) {
	if w.version <= s.newestList() {
		return
	}
	s.list.want = w
	s.list.failures = 0
	if !s.list.starting {
		s.sooner(taskFetch)
	}
}

// fetchList gets the text of the wanted version from the leader, else a peer, else the object store.
func (s *state) fetchList() {
	want := s.list.want
	if want.version <= s.list.version() || !s.begin("fetch") {
		return
	}
	f := fetch{
		want:    want,
		newer:   s.list.version(),
		row:     s.table.current,
		peers:   s.listSources(),
		parse:   s.cfg.ParseList,
		table:   s.cfg.Table,
		objects: s.cfg.Objects,
		timeout: s.cfg.CallTimeout,
	}
	if s.lease == nil {
		f.delay = s.upTo(s.cfg.StartSpread)
	}
	limit := s.cfg.StartSpread + s.cfg.StoreTimeout + time.Duration(2*len(f.peers))*s.cfg.CallTimeout
	background(s, limit, f.run, func(c *candidate, err error) {
		s.finish("fetch")
		if err != nil {
			s.fetchFailed(err)
			return
		}
		s.install(c)
		s.list.starting = false
		if s.list.want.version > s.list.version() {
			s.sooner(taskFetch)
		}
	})
}

// listSources returns the peers to ask. A leader goes to the object store, because its zone asks it.
func (s *state) listSources() []rpc.Control {
	if s.lease != nil {
		return nil
	}
	var sources []rpc.Control
	if s.leader.confirmed {
		sources = append(sources, s.client(s.leader.addr))
	}
	peers := s.peersOf(s.self.Service)
	for range min(fetchPeers, len(peers)) {
		sources = append(sources, s.client(peers[s.rand.IntN(len(peers))].PeerAddr))
	}
	if s.list.starting && len(s.cfg.Seeds) > 0 {
		sources = append(sources, s.client(s.cfg.Seeds[s.rand.IntN(len(s.cfg.Seeds))]))
	}
	return sources
}

func (s *state) fetchFailed(err error) {
	s.count("list.fetch-failed")
	s.list.failures++
	if s.list.failures == 1 {
		klog.Warningf("node %s: %v", s.self.ID, err)
	}
	if s.list.starting {
		s.startAgain()
		return
	}
	delay := min(s.cfg.HeartbeatInterval<<min(s.list.failures-1, 10), maxFetchDelay)
	s.after(taskFetch, delay/2+s.upTo(delay/2))
}

// install puts a list in force. The version in force only increases.
func (s *state) install(c *candidate) {
	if c.list.Version <= s.list.version() {
		s.count("list.not-newer")
		return
	}
	before := s.needed()
	s.list.current = c.list
	s.list.sha = c.sha
	s.list.failures = 0
	s.dirty = true
	s.count("list.installed")
	klog.Infof("node %s: service list version %d is in force", s.self.ID, c.list.Version)
	if s.lease != nil {
		s.recordSelf()
		return
	}
	if !slices.Equal(before, s.needed()) {
		for _, z := range s.zones {
			z.version = 0 // the members of newly needed services are missing
		}
	}
	s.sooner(taskHeartbeat)
}

// fetch is one attempt to get a list's text; it runs in a helper goroutine.
type fetch struct {
	want    wantedList
	newer   uint64           // version in force
	row     *cluster.ListRow // as last read from the table; may be nil
	peers   []rpc.Control
	parse   func([]byte) (*servicelist.List, error)
	table   platform.Table
	objects platform.Objects
	timeout time.Duration // for a peer
	delay   time.Duration // before the object store is read, so that a zone does not read it all at once
}

func (f *fetch) run(ctx context.Context) (*candidate, error) {
	if c := f.fromPeers(ctx); c != nil {
		return c, nil
	}
	if err := timing.Sleep(ctx, f.delay); err != nil {
		return nil, err
	}
	if c := f.fromPeers(ctx); c != nil {
		return c, nil
	}
	return f.fromObjects(ctx)
}

// fromPeers returns the first usable answer, or nil.
func (f *fetch) fromPeers(ctx context.Context) *candidate {
	for _, peer := range f.peers {
		if c, err := f.fromPeer(ctx, peer); err == nil {
			return c
		}
	}
	return nil
}

func (f *fetch) fromPeer(ctx context.Context, peer rpc.Control) (*candidate, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	answer, err := peer.FetchList(ctx, &rpc.FetchListRequest{NewerThan: f.newer})
	if err != nil {
		return nil, err
	}
	if answer.GetVersion() < f.want.version {
		return nil, &ListError{Version: f.want.version, Problem: "the peer has an older one"}
	}
	if answer.GetVersion() == f.want.version && f.want.sha != nil && !bytes.Equal(answer.GetSha256(), f.want.sha) {
		return nil, &ListError{Version: f.want.version, Problem: "the peer's digest differs from the announced one"}
	}
	return check(f.parse, answer.GetVersion(), answer.GetText(), answer.GetSha256())
}

func (f *fetch) fromObjects(ctx context.Context) (*candidate, error) {
	current, err := f.currentRow(ctx)
	if err != nil {
		return nil, err
	}
	text, err := f.objects.Get(ctx, current.Object)
	if err != nil {
		return nil, &ListError{Version: current.Version, Problem: "the object store does not give the text", Cause: err}
	}
	return check(f.parse, current.Version, text, wantedFrom(current).sha)
}

// currentRow returns the table's row, which a node that starts and a leader have read before.
func (f *fetch) currentRow(ctx context.Context) (*cluster.ListRow, error) {
	if f.row != nil && f.row.Version == f.want.version {
		return f.row, nil
	}
	row, err := getRow(ctx, f.table, cluster.CurrentListKey)
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return nil, &ListError{Version: f.want.version, Problem: "the table holds no service list"}
	}
	current := &cluster.ListRow{}
	return current, decode(row, current)
}

// check verifies the digest and parses the text.
func check(parse func([]byte) (*servicelist.List, error), version uint64, text, sha []byte) (*candidate, error) {
	sum := sha256.Sum256(text)
	if !bytes.Equal(sum[:], sha) {
		return nil, &ListError{Version: version, Problem: "the text does not match its digest"}
	}
	parsed, err := parse(text)
	if err != nil {
		return nil, &ListError{Version: version, Problem: "the text is not valid", Cause: err}
	}
	list := *parsed
	list.Version = version
	return &candidate{list: &list, sha: sha}, nil
}
