package inbound

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/quarantine"
	"github.com/acacialock/acacialock/internal/rpc"
)

func serveHello(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "hello") }

// crashCluster is a set of nodes of one service, each with a target that can crash.
type crashCluster struct {
	nodes   []*testNode
	targets []*crashTarget
	members []cluster.Member
}

func startCrashCluster(t *testing.T, size int, pause time.Duration) *crashCluster {
	c := &crashCluster{}
	for range size {
		target := startCrashTarget(t, pause, serveHello)
		node := startNode(t, target.addr, nil)
		c.targets = append(c.targets, target)
		c.nodes = append(c.nodes, node)
		c.members = append(c.members, node.self)
	}
	for _, node := range c.nodes {
		c.publishMembers(node)
	}
	return c
}

// publishMembers publishes the members of the cluster to the node's view.
func (c *crashCluster) publishMembers(node *testNode) {
	snapshot := *node.view.Load()
	snapshot.Members = map[string][]cluster.Member{service: c.members}
	node.view.Publish(&snapshot)
}

func (c *crashCluster) crashes() int {
	total := 0
	for _, target := range c.targets {
		total += int(target.crashes.Load())
	}
	return total
}

// openIdleConns leaves every node with idle connections to its target.
func (c *crashCluster) openIdleConns() {
	var group sync.WaitGroup
	for _, node := range c.nodes {
		for range 3 {
			group.Go(func() { node.send(context.Background(), call{method: "GET", path: "/", idempotent: true}) })
		}
	}
	group.Wait()
}

// Guards against a request that crashes a third target when its caller keeps resending it through different nodes, one
// at a time or in concurrent copies, and against targets that refuse other requests because of it. The targets restart
// at once or after a pause, and one node starts after the crashes.
func TestCrashingRequestIsRefusedAfterTwoCrashes(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		for _, copies := range []int{1, 2, 12} {
			t.Run(fmt.Sprintf("pause %v, %d copies", pause, copies), func(t *testing.T) {
				c := startCrashCluster(t, 4, pause)
				c.openIdleConns()
				bad := call{method: "POST", path: "/crash?lot=1"}
				if copies > 2 { // copies that arrive before the first crash is recorded can all crash a target
					c.nodes[0].send(context.Background(), bad)
				}
				for round := range 6 {
					var group sync.WaitGroup
					for i := range copies {
						group.Go(func() { c.nodes[(round+i)%len(c.nodes)].send(context.Background(), bad) })
					}
					group.Wait()
					c.openIdleConns()
				}
				assert.Equal(t, c.crashes(), 2)
				late := startNode(t, c.targets[0].addr, nil)
				c.publishMembers(late)
				late.FetchSuspects(context.Background())
				for _, node := range append(c.nodes, late) {
					refused := node.send(context.Background(), bad)
					assert.Equal(t, refused.reason(), failure.Quarantined)
					assert.Equal(t, refused.outcome(), failure.NotRun)
					node.awaitTarget(t)
				}
			})
		}
	}
}

// Guards against a harmless request that remains a suspect after it ran concurrently with one that crashed the target,
// and against a single connection closed by a handler that is mistaken for a crash.
func TestHarmlessSuspectIsCleared(t *testing.T) {
	reached := make(chan struct{}, 1)
	target := startCrashTarget(t, 20*time.Millisecond, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			reached <- struct{}{}
			time.Sleep(100 * time.Millisecond)
		case "/abort":
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, "hello")
	})
	node := startNode(t, target.addr, nil)
	ctx := context.Background()
	aborted := node.send(ctx, call{method: "POST", path: "/abort"})
	assert.Equal(t, aborted.reason(), failure.TargetConnectionBroke)
	assert.Equal(t, aborted.outcome(), failure.Unknown)
	assert.Equal(t, node.guard.Store().Revision(), uint64(0))

	var group sync.WaitGroup
	group.Go(func() {
		broken := node.send(ctx, call{method: "GET", path: "/slow", idempotent: true})
		assert.Check(t, broken.reason() == failure.TargetConnectionBroke)
	})
	<-reached
	node.send(ctx, call{method: "GET", path: "/crash", idempotent: true})
	group.Wait()
	assert.Equal(t, target.crashes.Load(), int64(1))

	node.awaitTarget(t)
	for range 2 {
		group.Go(func() {
			response := node.send(ctx, call{method: "GET", path: "/slow", idempotent: true})
			assert.Check(t, response.body == "hello", response.body)
		})
		<-reached
	}
	group.Wait()
	values := node.config.Metrics.Values()
	assert.Equal(t, values["quarantine.crashes"], int64(1))
	assert.Equal(t, values["quarantine.cleared"], int64(1))
}

// slowPeers simulates nodes that respond slowly to a share.
type slowPeers struct {
	quarantine.Peers
	answered atomic.Bool
}

func (p *slowPeers) Share(context.Context, []*rpc.Suspect) {
	time.Sleep(50 * time.Millisecond)
	p.answered.Store(true)
}

// Guards against a caller that gets its response, and may resend the request, before the other nodes know the suspect;
// against an exchange that hangs after a crash of the target until the caller sends the rest of its body; and against
// an unreachable target that is reported as if it might have run the request.
func TestSuspectsAreSharedBeforeTheResponse(t *testing.T) {
	var entered sync.WaitGroup
	entered.Add(2)
	target := startCrashTarget(t, -1, func(_ http.ResponseWriter, r *http.Request) {
		entered.Done()
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	peers := &slowPeers{}
	node := startNode(t, target.addr, func(c *Config) { c.Peers = peers })
	reader, writer := io.Pipe()
	defer writer.Close()
	var group sync.WaitGroup
	for _, body := range []io.Reader{nil, reader} {
		group.Go(func() {
			broken := node.send(context.Background(), call{method: "POST", path: "/", body: body})
			assert.Check(t, broken.reason() == failure.TargetConnectionBroke && peers.answered.Load())
			assert.Check(t, broken.outcome() == failure.Unknown)
		})
	}
	entered.Wait()
	target.kill(nil)
	group.Wait()
	refused := node.send(context.Background(), call{method: "PUT", path: "/"})
	assert.Equal(t, refused.reason(), failure.TargetUnreachable)
	assert.Equal(t, refused.outcome(), failure.NotRun)
	assert.Equal(t, node.LoadSample().InFlight, 0)
}

// Guards against a hanging target whose requests never become suspects, and against a call that outlives its deadline
// during the upload. The target accepts two connections, for the request and the sentinel, and no more.
func TestUnresponsiveTargetCountsAsCrashed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 1) }))
	assert.NilError(t, err)
	node := startNode(t, listener.Addr().String(), nil)
	stalled, writer := io.Pipe()
	defer writer.Close()
	late := node.send(context.Background(),
		call{method: "POST", path: "/", body: stalled, timeout: 100 * time.Millisecond})
	assert.Equal(t, late.reason(), failure.DeadlineExceeded)
	assert.Equal(t, late.outcome(), failure.Unknown)
	assert.Equal(t, node.config.Metrics.Values()["quarantine.crashes"], int64(1))
}
