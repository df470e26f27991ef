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
	maxFetchDelay = 10 * time.Second // upper bound of the delay between failed fetches
	fetchPeers    = 2                // peers of the own service to query after the leader
)

// listState holds the service list in force and the newest announced version.
type listState struct {
	starting bool              // startup is not complete; no list may be published
	current  *servicelist.List // in force; nil if none
	sha      []byte            // SHA-256 of current.Text
	wanted   wantedList        // newest announced list
	failures int               // consecutive failed fetches
}

// wantedList identifies a list that a node or the table announced.
type wantedList struct {
	version uint64
	sha     []byte // SHA-256 of the text; nil if unknown
}

// listCandidate is a fetched list whose text was verified.
type listCandidate struct {
	list *servicelist.List
	sha  []byte
}

// version returns the version of the list in force, or 0.
func (l *listState) version() uint64 {
	if l.current == nil {
		return 0
	}
	return l.current.Version
}

// newestListVersion returns the highest version that is in force or was announced to this node.
func (s *state) newestListVersion() uint64 { return max(s.list.version(), s.list.wanted.version) }

// wantedListFromRow returns the list that a row of the table announces.
func wantedListFromRow(row *cluster.ListRow) wantedList {
	sha, err := hex.DecodeString(row.SHA256)
	if err != nil {
		sha = []byte{} // matches no text
	}
	return wantedList{version: row.Version, sha: sha}
}

// scheduleListFetch schedules a fetch of an announced list if it is newer than all lists known so far.
func (s *state) scheduleListFetch(w wantedList) {
	if w.version <= s.newestListVersion() {
		return
	}
	s.list.wanted = w
	s.list.failures = 0
	if !s.list.starting {
		s.scheduleNow(taskFetch)
	}
}

// fetchList fetches the text of the wanted version from the leader, from another peer or from the object store, and
// installs it.
func (s *state) fetchList() {
	wanted := s.list.wanted
	if wanted.version <= s.list.version() || !s.beginOperation("fetch") {
		return
	}
	f := listFetch{
		wanted:         wanted,
		currentVersion: s.list.version(),
		listRow:        s.table.list,
		peers:          s.listSources(),
		parse:          s.cfg.ParseList,
		table:          s.cfg.Table,
		objects:        s.cfg.Objects,
		timeout:        s.cfg.CallTimeout,
	}
	if s.lease == nil {
		f.delay = s.randomBelow(s.cfg.StartSpread)
	}
	timeout := s.cfg.StartSpread + s.cfg.StoreTimeout + time.Duration(2*len(f.peers))*s.cfg.CallTimeout
	runInBackground(s, timeout, f.run, func(c *listCandidate, err error) {
		s.endOperation("fetch")
		if err != nil {
			s.handleFetchError(err)
			return
		}
		s.installList(c)
		s.list.starting = false
		if s.list.wanted.version > s.list.version() {
			s.scheduleNow(taskFetch)
		}
	})
}

// listSources returns the peers to fetch a list from, in order. A leader has none: it reads the object store, because
// the nodes of its zone fetch the list from it.
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

// handleFetchError logs the first of consecutive failures and schedules a retry with exponential backoff, or another
// startup attempt.
func (s *state) handleFetchError(err error) {
	s.incrementCounter("list.fetch-failed")
	s.list.failures++
	if s.list.failures == 1 {
		klog.Warningf("node %s: fetch of service list failed: %v", s.self.ID, err)
	}
	if s.list.starting {
		s.retryStartup()
		return
	}
	delay := min(s.cfg.HeartbeatInterval<<min(s.list.failures-1, 10), maxFetchDelay)
	s.scheduleAfter(taskFetch, delay/2+s.randomBelow(delay/2))
}

// installList puts a list in force. It ignores a list that is not newer, so the version in force never decreases.
func (s *state) installList(c *listCandidate) {
	if c.list.Version <= s.list.version() {
		s.incrementCounter("list.not-newer")
		return
	}
	neededBefore := s.neededServices()
	s.list.current = c.list
	s.list.sha = c.sha
	s.list.failures = 0
	s.dirty = true
	s.incrementCounter("list.installed")
	klog.Infof("node %s: service list version %d is in force", s.self.ID, c.list.Version)
	if s.lease != nil {
		s.recordOwnHeartbeat()
		return
	}
	if !slices.Equal(neededBefore, s.neededServices()) {
		for _, z := range s.zones {
			z.version = 0 // fetch the zone again: members of newly needed services may be missing
		}
	}
	s.scheduleNow(taskHeartbeat)
}

// listFetch is one attempt to fetch the text of a list. It runs in a background goroutine.
type listFetch struct {
	wanted         wantedList
	currentVersion uint64           // version in force
	listRow        *cluster.ListRow // last row read from the table; may be nil
	peers          []rpc.Control
	parse          func([]byte) (*servicelist.List, error)
	table          platform.Table
	objects        platform.Objects
	timeout        time.Duration // per peer
	// delay precedes the read of the object store. It is random, so that the nodes of a zone do not all read it at once.
	delay time.Duration
}

// run queries the peers, queries them again after the delay, and then reads the object store.
func (f *listFetch) run(ctx context.Context) (*listCandidate, error) {
	if c := f.fetchFromPeers(ctx); c != nil {
		return c, nil
	}
	if err := timing.Sleep(ctx, f.delay); err != nil {
		return nil, err
	}
	if c := f.fetchFromPeers(ctx); c != nil {
		return c, nil
	}
	return f.fetchFromObjects(ctx)
}

// fetchFromPeers returns the first valid list that a peer returns, or nil.
func (f *listFetch) fetchFromPeers(ctx context.Context) *listCandidate {
	for _, peer := range f.peers {
		if c, err := f.fetchFromPeer(ctx, peer); err == nil {
			return c
		}
	}
	return nil
}

// fetchFromPeer returns the list of one peer. It fails with *ListError if the list is older than the wanted one or does
// not match its digest.
func (f *listFetch) fetchFromPeer(ctx context.Context, peer rpc.Control) (*listCandidate, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	response, err := peer.FetchList(ctx, &rpc.FetchListRequest{NewerThan: f.currentVersion})
	if err != nil {
		return nil, err
	}
	if response.GetVersion() < f.wanted.version {
		return nil, &ListError{Version: f.wanted.version, Problem: "the peer has an older version"}
	}
	if response.GetVersion() == f.wanted.version &&
		f.wanted.sha != nil && !bytes.Equal(response.GetSha256(), f.wanted.sha) {
		return nil, &ListError{Version: f.wanted.version, Problem: "the peer's digest differs from the announced digest"}
	}
	return verifyList(f.parse, response.GetVersion(), response.GetText(), response.GetSha256())
}

// fetchFromObjects reads the current list from the object store.
func (f *listFetch) fetchFromObjects(ctx context.Context) (*listCandidate, error) {
	current, err := f.readListRow(ctx)
	if err != nil {
		return nil, err
	}
	text, err := f.objects.Get(ctx, current.Object)
	if err != nil {
		return nil, &ListError{Version: current.Version,
			Problem: "the text can't be read from the object store", Cause: err}
	}
	return verifyList(f.parse, current.Version, text, wantedListFromRow(current).sha)
}

// readListRow returns the row of the current list. It reads the table unless the wanted version's row is already known,
// as it is to a starting node and to a leader.
func (f *listFetch) readListRow(ctx context.Context) (*cluster.ListRow, error) {
	if f.listRow != nil && f.listRow.Version == f.wanted.version {
		return f.listRow, nil
	}
	row, err := getRow(ctx, f.table, cluster.CurrentListKey)
	if err != nil {
		return nil, err
	}
	if row.Version == 0 {
		return nil, &ListError{Version: f.wanted.version, Problem: "the table holds no service list"}
	}
	current := &cluster.ListRow{}
	return current, decode(row, current)
}

// verifyList checks the text of a list against its SHA-256 digest and parses it. A mismatch or an invalid text gives a
// *ListError.
func verifyList(parse func([]byte) (*servicelist.List, error), version uint64,
	text, sha []byte) (*listCandidate, error) {
	sum := sha256.Sum256(text)
	if !bytes.Equal(sum[:], sha) {
		return nil, &ListError{Version: version, Problem: "the text does not match its SHA-256 digest"}
	}
	parsed, err := parse(text)
	if err != nil {
		return nil, &ListError{Version: version, Problem: "the text is invalid", Cause: err}
	}
	list := *parsed
	list.Version = version
	return &listCandidate{list: &list, sha: sha}, nil
}
