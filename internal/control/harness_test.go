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
	// With several threads the race detector's runtime aborts in some runs of synctest bubbles with many goroutines
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

// world is a system of nodes in one process that runs on the virtual clock of package synctest.
type world struct {
	store  *controltest.Store
	mu     sync.Mutex
	procs  map[string]*proc                     // by peer address
	delay  func(from, to string) time.Duration  // before a call arrives; negative: it never does
	bad    bool                                 // peers give damaged texts of lists
	paused sync.WaitGroup                       // pauses that have not ended
	made   int                                  // processes started, for ids and seeds
	onRow  func(p *proc, v uint64, t time.Time) // OnRosterVersion
}

// proc is one process of a node.
type proc struct {
	world  *world
	member cluster.Member
	node   *Node
	view   *cluster.View
	cancel context.CancelFunc
	done   chan struct{}
}

func newWorld() *world {
	w := &world{store: controltest.NewStore(), procs: map[string]*proc{}}
	w.delay = func(string, string) time.Duration { return time.Millisecond }
	w.onRow = func(*proc, uint64, time.Time) {}
	return w
}

func (w *world) setDelay(delay func(from, to string) time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = delay
}

// parseTestList gives each text the services front and stock; front depends on stock unless the text is "alone".
func parseTestList(text []byte) (*servicelist.List, error) {
	front := &servicelist.Service{Name: "front"}
	if string(text) != "alone" {
		front.DependsOn = []string{"stock"}
	}
	services := map[string]*servicelist.Service{"front": front, "stock": {Name: "stock"}}
	return &servicelist.List{Text: text, Services: services}, nil
}

func listText(version uint64) string { return fmt.Sprintf("list %d", version) }

// accept stores a service list version as the operator's command does.
func (w *world) accept(version uint64) error { return w.acceptText(version, listText(version)) }

func (w *world) acceptText(version uint64, text string) error {
	ctx := context.Background()
	sum := sha256.Sum256([]byte(text))
	name := fmt.Sprintf("%s%020d", cluster.ListObjectPrefix, version)
	if err := w.store.Objects().Put(ctx, name, []byte(text)); err != nil {
		return err
	}
	row := cluster.ListRow{Version: version, Object: name, SHA256: hex.EncodeToString(sum[:])}
	return w.put(cluster.CurrentListKey, encode(row))
}

// put replaces a row.
func (w *world) put(key string, value []byte) error {
	ctx := context.Background()
	old, err := getRow(ctx, w.store.Table(), key)
	if err != nil {
		return err
	}
	_, err = w.store.Table().Commit(ctx, []platform.Write{{Key: key, IfVersion: old.Version, Value: value}})
	return err
}

// start runs a new process of the named node; the address stays the same over restarts.
func (w *world) start(name, service, zone string, seeds ...string) *proc {
	w.mu.Lock()
	w.made++
	made := w.made
	w.mu.Unlock()
	member := cluster.Member{
		ID:       fmt.Sprintf("%s@%d", name, made),
		Service:  service,
		Zone:     zone,
		Region:   "region",
		PeerAddr: name,
	}
	p := &proc{world: w, member: member, view: cluster.NewView(&cluster.Snapshot{Self: member}), done: make(chan struct{})}
	node, err := New(Config{
		Self:            member,
		Seeds:           seeds,
		Table:           w.store.Table(),
		Objects:         w.store.Objects(),
		ParseList:       parseTestList,
		Client:          func(addr string) rpc.Control { return link{w, name, addr} },
		View:            p.view,
		Metrics:         telemetry.New(),
		OnRosterVersion: func(v uint64, t time.Time) { w.onRow(p, v, t) },
		Seed:            uint64(made),
	})
	if err != nil {
		panic(err)
	}
	p.node = node
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	w.mu.Lock()
	w.procs[name] = p
	w.mu.Unlock()
	go func() {
		defer close(p.done)
		_ = node.Run(ctx) // Run returns nil
	}()
	return p
}

// kill ends the process without a farewell.
func (p *proc) kill() {
	p.world.mu.Lock()
	if p.world.procs[p.member.PeerAddr] == p {
		delete(p.world.procs, p.member.PeerAddr)
	}
	p.world.mu.Unlock()
	p.cancel()
	<-p.done
}

// pause stops the control goroutine for d; calls to the node wait or time out. Pauses of one node add up.
func (p *proc) pause(d time.Duration) {
	p.world.paused.Go(func() {
		_, _ = ask(context.Background(), p.node, func(*state) bool { time.Sleep(d); return true }) // a stopped node stays so
	})
}

func (w *world) all() []*proc {
	w.mu.Lock()
	defer w.mu.Unlock()
	var procs []*proc
	for _, name := range sortedKeys(w.procs) {
		procs = append(procs, w.procs[name])
	}
	return procs
}

func (w *world) stop() {
	for _, p := range w.all() {
		p.kill()
	}
}

// leaders returns the processes that believe that they hold the zone's lease.
func (w *world) leaders(zone string) []*proc {
	var found []*proc
	for _, p := range w.all() {
		if p.member.Zone == zone && p.node.Status().Leader {
			found = append(found, p)
		}
	}
	return found
}

// sees returns the member with that name in the process's snapshot.
func (p *proc) sees(name string) (cluster.Member, bool) {
	for _, members := range p.view.Load().Members {
		for _, m := range members {
			if memberName(m.ID) == name {
				return m, true
			}
		}
	}
	return cluster.Member{}, false
}

// eventually waits on the virtual clock until the condition holds.
func eventually(t rapid.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// link is the network from one node to another.
type link struct {
	w        *world
	from, to string
}

type handler[A, B any] func(*Node, context.Context, A) (B, error)

func reach[A, B any](ctx context.Context, l link, request A, call handler[A, B]) (B, error) {
	var none B
	l.w.mu.Lock()
	wait := l.w.delay(l.from, l.to)
	l.w.mu.Unlock()
	if wait < 0 {
		<-ctx.Done()
		return none, ctx.Err()
	}
	if err := timing.Sleep(ctx, wait); err != nil {
		return none, err
	}
	l.w.mu.Lock()
	p := l.w.procs[l.to]
	l.w.mu.Unlock()
	if p == nil {
		return none, errRefused
	}
	answer, err := call(p.node, ctx, request)
	if err != nil {
		return none, err
	}
	return answer, timing.Sleep(ctx, wait)
}

func (l link) Heartbeat(ctx context.Context, r *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	return reach(ctx, l, r, (*Node).Heartbeat)
}

func (l link) Announce(ctx context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	return reach(ctx, l, r, (*Node).Announce)
}

func (l link) FetchList(ctx context.Context, r *rpc.FetchListRequest) (*rpc.FetchListResponse, error) {
	answer, err := reach(ctx, l, r, (*Node).FetchList)
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if err == nil && l.w.bad {
		answer.Text = append([]byte("damaged "), answer.Text...)
	}
	return answer, err
}

func (l link) FetchMembers(ctx context.Context, r *rpc.FetchMembersRequest) (*rpc.FetchMembersResponse, error) {
	return reach(ctx, l, r, (*Node).FetchMembers)
}

// virtual hides the test's deadline, which rapid can't read inside a synctest bubble.
type virtual struct{ rapid.TB }
