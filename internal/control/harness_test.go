package control

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"flag"
	"fmt"
	"io"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/control/controltest"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/timing"
)

func TestMain(m *testing.M) {
	// With GOMAXPROCS > 1 the runtime of the race detector sometimes aborts in synctest bubbles with many goroutines
	// ("CHECK failed: tsan_rtl.cpp:346" or SIGSEGV in internal/synctest.Run, go1.26.8).
	runtime.GOMAXPROCS(1)
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m)
}

var errRefused = errors.New("connection refused")

// testSystem runs several nodes in one process on the virtual clock of package synctest.
type testSystem struct {
	store             *controltest.Store
	mu                sync.Mutex
	processes         map[string]*process                     // by peer address
	delay             func(from, to string) time.Duration     // one-way latency; negative: the call is lost
	corruptLists      bool                                    // peers return corrupted list texts
	paused            sync.WaitGroup                          // pauses in progress
	started           int                                     // processes started so far, for ids and random seeds
	onRosterConfirmed func(p *process, v uint64, t time.Time) // called by OnRosterConfirmed of each node
}

// process is one run of a node; its id has a new incarnation.
type process struct {
	system *testSystem
	member cluster.Member
	node   *Node
	view   *cluster.View
	cancel context.CancelFunc
	done   chan struct{}
}

func newTestSystem() *testSystem {
	s := &testSystem{store: controltest.NewStore(), processes: map[string]*process{}}
	s.delay = func(string, string) time.Duration { return time.Millisecond }
	s.onRosterConfirmed = func(*process, uint64, time.Time) {}
	return s
}

func (s *testSystem) setDelay(delay func(from, to string) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// parseTestList returns a list of the services front and stock for any text. front depends on stock unless the text is
// "alone".
func parseTestList(text []byte) (*servicelist.List, error) {
	front := &servicelist.Service{Name: "front"}
	if string(text) != "alone" {
		front.DependsOn = []string{"stock"}
	}
	services := map[string]*servicelist.Service{"front": front, "stock": {Name: "stock"}}
	return &servicelist.List{Text: text, Services: services}, nil
}

// listText returns the text of a service list version.
func listText(version uint64) string { return fmt.Sprintf("list %d", version) }

// accept stores a service list version in the same way as the operator command.
func (s *testSystem) accept(version uint64) error { return s.acceptText(version, listText(version)) }

func (s *testSystem) acceptText(version uint64, text string) error {
	ctx := context.Background()
	sum := sha256.Sum256([]byte(text))
	name := fmt.Sprintf("%s%020d", cluster.ListObjectPrefix, version)
	if err := s.store.Objects().Put(ctx, name, []byte(text)); err != nil {
		return err
	}
	row := cluster.ListRow{Version: version, Object: name, SHA256: hex.EncodeToString(sum[:])}
	return s.put(cluster.CurrentListKey, encode(row))
}

// put replaces a row, or creates it.
func (s *testSystem) put(key string, value []byte) error {
	ctx := context.Background()
	old, err := getRow(ctx, s.store.Table(), key)
	if err != nil {
		return err
	}
	_, err = s.store.Table().Commit(ctx, []platform.Write{{Key: key, IfVersion: old.Version, Value: value}})
	return err
}

// startNode starts a new process of the named node. The peer address is the node name, so it is the same after a
// restart.
func (s *testSystem) startNode(name, service, zone string, seeds ...string) *process {
	s.mu.Lock()
	s.started++
	incarnation := s.started
	s.mu.Unlock()
	member := cluster.Member{
		ID:       fmt.Sprintf("%s@%d", name, incarnation),
		Service:  service,
		Zone:     zone,
		Region:   "region",
		PeerAddr: name,
	}
	p := &process{system: s, member: member,
		view: cluster.NewView(&cluster.Snapshot{Self: member}), done: make(chan struct{})}
	node, err := New(Config{
		Self:              member,
		Seeds:             seeds,
		Table:             s.store.Table(),
		Objects:           s.store.Objects(),
		ParseList:         parseTestList,
		Client:            func(addr string) rpc.Control { return testClient{s, name, addr} },
		View:              p.view,
		Metrics:           telemetry.New(),
		OnRosterConfirmed: func(v uint64, t time.Time) { s.onRosterConfirmed(p, v, t) },
		Seed:              uint64(incarnation),
	})
	if err != nil {
		panic(err)
	}
	p.node = node
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	s.mu.Lock()
	s.processes[name] = p
	s.mu.Unlock()
	go func() {
		defer close(p.done)
		_ = node.Run(ctx) // Run returns nil
	}()
	return p
}

// kill stops the process without announcing a departure.
func (p *process) kill() {
	p.system.mu.Lock()
	if p.system.processes[p.member.PeerAddr] == p {
		delete(p.system.processes, p.member.PeerAddr)
	}
	p.system.mu.Unlock()
	p.cancel()
	<-p.done
}

// pause blocks the control goroutine for d; calls to the node wait or time out. Several pauses of a process run one
// after another.
func (p *process) pause(d time.Duration) {
	p.system.paused.Go(func() {
		// The error of a stopped node is ignored.
		_, _ = query(context.Background(), p.node, func(*state) bool { time.Sleep(d); return true })
	})
}

func (s *testSystem) runningProcesses() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var running []*process
	for _, name := range sortedKeys(s.processes) {
		running = append(running, s.processes[name])
	}
	return running
}

func (s *testSystem) stop() {
	for _, p := range s.runningProcesses() {
		p.kill()
	}
}

// leaders returns the processes that consider themselves the holder of the zone's lease.
func (s *testSystem) leaders(zone string) []*process {
	var found []*process
	for _, p := range s.runningProcesses() {
		if p.member.Zone == zone && p.node.Status().Leader {
			found = append(found, p)
		}
	}
	return found
}

// memberNamed returns the member with the given node name in the process's snapshot.
func (p *process) memberNamed(name string) (cluster.Member, bool) {
	for _, members := range p.view.Load().Members {
		for _, m := range members {
			if memberName(m.ID) == name {
				return m, true
			}
		}
	}
	return cluster.Member{}, false
}

// eventually polls on the virtual clock until holds returns true. It fails the test after limit.
func eventually(t rapid.TB, limit time.Duration, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not met within %s: %s", limit, condition)
		}
	}
}

// testClient is an in-process rpc.Control client for calls from one node to another.
type testClient struct {
	system   *testSystem
	from, to string
}

// handler is an rpc.Control method of a Node.
type handler[A, B any] func(*Node, context.Context, A) (B, error)

// callNode calls a method of the node at c.to with the latency between the two nodes.
func callNode[A, B any](ctx context.Context, c testClient, request A, call handler[A, B]) (B, error) {
	var zero B
	c.system.mu.Lock()
	latency := c.system.delay(c.from, c.to)
	c.system.mu.Unlock()
	if latency < 0 {
		<-ctx.Done()
		return zero, ctx.Err()
	}
	if err := timing.Sleep(ctx, latency); err != nil {
		return zero, err
	}
	c.system.mu.Lock()
	p := c.system.processes[c.to]
	c.system.mu.Unlock()
	if p == nil {
		return zero, errRefused
	}
	response, err := call(p.node, ctx, request)
	if err != nil {
		return zero, err
	}
	return response, timing.Sleep(ctx, latency)
}

func (c testClient) Heartbeat(ctx context.Context, r *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	return callNode(ctx, c, r, (*Node).Heartbeat)
}

func (c testClient) Announce(ctx context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	return callNode(ctx, c, r, (*Node).Announce)
}

func (c testClient) FetchList(ctx context.Context, r *rpc.FetchListRequest) (*rpc.FetchListResponse, error) {
	response, err := callNode(ctx, c, r, (*Node).FetchList)
	c.system.mu.Lock()
	defer c.system.mu.Unlock()
	if err == nil && c.system.corruptLists {
		response.Text = append([]byte("damaged "), response.Text...)
	}
	return response, err
}

func (c testClient) FetchMembers(ctx context.Context, r *rpc.FetchMembersRequest) (*rpc.FetchMembersResponse, error) {
	return callNode(ctx, c, r, (*Node).FetchMembers)
}

// rapidTB hides the Deadline method of testing.T, which rapid can't use inside a synctest bubble.
type rapidTB struct{ rapid.TB }
