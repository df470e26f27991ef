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

func sayHello(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "hello") }

// crashCluster is nodes of one service, each with a target that can die.
type crashCluster struct {
	nodes   []*node
	targets []*crashTarget
	members []cluster.Member
}

func startCrashCluster(t *testing.T, size int, pause time.Duration) *crashCluster {
	c := &crashCluster{}
	for range size {
		target := startCrashTarget(t, pause, sayHello)
		one := startNode(t, target.addr, nil)
		c.targets = append(c.targets, target)
		c.nodes = append(c.nodes, one)
		c.members = append(c.members, one.self)
	}
	for _, one := range c.nodes {
		c.introduce(one)
	}
	return c
}

// introduce lets the node know the members.
func (c *crashCluster) introduce(one *node) {
	snapshot := *one.view.Load()
	snapshot.Members = map[string][]cluster.Member{service: c.members}
	one.view.Publish(&snapshot)
}

func (c *crashCluster) crashes() int {
	total := 0
	for _, target := range c.targets {
		total += int(target.crashes.Load())
	}
	return total
}

// warm lets every node have idle connections to its target.
func (c *crashCluster) warm() {
	var group sync.WaitGroup
	for _, one := range c.nodes {
		for range 3 {
			group.Go(func() { one.send(context.Background(), call{method: "GET", path: "/", idempotent: true}) })
		}
	}
	group.Wait()
}

// Guards against a request that takes down a third target when its caller sends it again for ever through any node,
// after each answer or in copies that arrive together at different targets, and against targets that refuse other
// requests because of it. The targets are back at once or after a pause, and a node starts after the crashes.
func TestCrashingRequestTakesDownTwoTargets(t *testing.T) {
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		for _, copies := range []int{1, 2, 12} {
			t.Run(fmt.Sprintf("pause %v, %d copies", pause, copies), func(t *testing.T) {
				c := startCrashCluster(t, 4, pause)
				c.warm()
				bad := call{method: "POST", path: "/crash?lot=1"}
				if copies > 2 { // copies that come before the first mark are bounded by their number only
					c.nodes[0].send(context.Background(), bad)
				}
				for round := range 6 {
					var group sync.WaitGroup
					for i := range copies {
						group.Go(func() { c.nodes[(round+i)%len(c.nodes)].send(context.Background(), bad) })
					}
					group.Wait()
					c.warm()
				}
				assert.Equal(t, c.crashes(), 2)
				late := startNode(t, c.targets[0].addr, nil)
				c.introduce(late)
				late.TakeOverSuspects(context.Background())
				for _, one := range append(c.nodes, late) {
					refused := one.send(context.Background(), bad)
					assert.Equal(t, refused.reason(), failure.Quarantined)
					assert.Equal(t, refused.outcome(), failure.NotRun)
					one.awaitTarget(t)
				}
			})
		}
	}
}

// Guards against a harmless request that stays a suspect after it ran beside one that crashed the target, and against a
// single connection closed by a handler that is taken for a crash.
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
	one := startNode(t, target.addr, nil)
	ctx := context.Background()
	aborted := one.send(ctx, call{method: "POST", path: "/abort"})
	assert.Equal(t, aborted.reason(), failure.TargetBroke)
	assert.Equal(t, aborted.outcome(), failure.Unknown)
	assert.Equal(t, one.guard.Store().Changes(), uint64(0))

	var group sync.WaitGroup
	group.Go(func() {
		broken := one.send(ctx, call{method: "GET", path: "/slow", idempotent: true})
		assert.Check(t, broken.reason() == failure.TargetBroke)
	})
	<-reached
	one.send(ctx, call{method: "GET", path: "/crash", idempotent: true})
	group.Wait()
	assert.Equal(t, target.crashes.Load(), int64(1))

	one.awaitTarget(t)
	for range 2 {
		group.Go(func() {
			answer := one.send(ctx, call{method: "GET", path: "/slow", idempotent: true})
			assert.Check(t, answer.body == "hello", answer.body)
		})
		<-reached
	}
	group.Wait()
	values := one.config.Metrics.Values()
	assert.Equal(t, values["quarantine.crashes"], int64(1))
	assert.Equal(t, values["quarantine.cleared"], int64(1))
}

// slowPeers stands for nodes that take time to answer a share.
type slowPeers struct {
	quarantine.Peers
	answered atomic.Bool
}

func (p *slowPeers) Share(context.Context, []*rpc.Suspect) {
	time.Sleep(50 * time.Millisecond)
	p.answered.Store(true)
}

// Guards against a caller that gets its answer, and may send the request again, before the other nodes know the suspect;
// against an exchange that hangs until the caller sends the rest of its body when the target dies; and against a dead
// target that is reported as if it had run something.
func TestSuspectsAreSharedBeforeTheAnswer(t *testing.T) {
	var entered sync.WaitGroup
	entered.Add(2)
	target := startCrashTarget(t, -1, func(_ http.ResponseWriter, r *http.Request) {
		entered.Done()
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	peers := &slowPeers{}
	one := startNode(t, target.addr, func(c *Config) { c.Peers = peers })
	reader, writer := io.Pipe()
	defer writer.Close()
	var group sync.WaitGroup
	for _, body := range []io.Reader{nil, reader} {
		group.Go(func() {
			broken := one.send(context.Background(), call{method: "POST", path: "/", body: body})
			assert.Check(t, broken.reason() == failure.TargetBroke && peers.answered.Load())
			assert.Check(t, broken.outcome() == failure.Unknown)
		})
	}
	entered.Wait()
	target.die(nil)
	group.Wait()
	refused := one.send(context.Background(), call{method: "PUT", path: "/"})
	assert.Equal(t, refused.reason(), failure.TargetUnreachable)
	assert.Equal(t, refused.outcome(), failure.NotRun)
	assert.Equal(t, one.Sample().InFlight, 0)
}

// Guards against a target that hangs and whose requests are never suspected: it accepts two connections, for the request
// and the sentinel, and no further connect. Guards also against a call that outlives its deadline in the upload.
func TestHangingTargetIsTakenForDead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 1) }))
	assert.NilError(t, err)
	one := startNode(t, listener.Addr().String(), nil)
	stalled, writer := io.Pipe()
	defer writer.Close()
	late := one.send(context.Background(),
		call{method: "POST", path: "/", body: stalled, timeout: 100 * time.Millisecond})
	assert.Equal(t, late.reason(), failure.DeadlineExceeded)
	assert.Equal(t, late.outcome(), failure.Unknown)
	assert.Equal(t, one.config.Metrics.Values()["quarantine.crashes"], int64(1))
}
