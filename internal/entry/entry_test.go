package entry

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/forward"
	"github.com/acacialock/acacialock/internal/inbound"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// TestMain fixes the seed of the property tests; -rapid.seed chooses another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204") // the flag exists because rapid is imported
	goleak.VerifyTestMain(m)
}

// silentNet dials connections that can be made silent: after silence is called, those open at that time discard what is
// written and return no more data.
type silentNet struct {
	mu    sync.Mutex
	conns []*silentConn
	wrap  func(net.Conn) net.Conn // applied to new connections; nil: none
}

// silentConn is a connection of a silentNet.
type silentConn struct {
	net.Conn
	silent chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (s *silentNet) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if s.wrap != nil {
		conn = s.wrap(conn)
	}
	wrapped := &silentConn{Conn: conn, silent: make(chan struct{}), closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, wrapped)
	return wrapped, nil
}

// silence makes all open connections silent and returns their number.
func (s *silentNet) silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		close(conn.silent)
	}
	count := len(s.conns)
	s.conns = nil
	return count
}

func (c *silentConn) Write(data []byte) (int, error) {
	select {
	case <-c.silent:
		return len(data), nil
	default:
		return c.Conn.Write(data)
	}
}

func (c *silentConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	select {
	case <-c.silent:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

func (c *silentConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// fixture is an entry node and the nodes it sends to, with one target each, all in this process.
type fixture struct {
	handler *Handler
	network *silentNet
	metrics *telemetry.Registry
	entry   *httptest.Server
	targets []*httptest.Server
	runs    sync.Map // order → *atomic.Int64
	// unreachable is set while new connections to the nodes fail, including those that query or fence attempts.
	unreachable atomic.Bool
}

// newFixture starts the given number of nodes in the region of the entry node.
func newFixture(t *testing.T, nodes int, target http.HandlerFunc) *fixture {
	t.Helper()
	return newFixtureIn(t, slices.Repeat([]string{"r"}, nodes), target)
}

// newFixtureIn starts one node for each element of regions; the entry node is in region r.
func newFixtureIn(t *testing.T, regions []string, target http.HandlerFunc) *fixture {
	t.Helper()
	return newFixtureWithRules(t, regions, nil, target)
}

// newFixtureWithRules is newFixtureIn with a service list that has rules.
func newFixtureWithRules(t *testing.T, regions []string, rules []*servicelist.Rule, target http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{network: &silentNet{}, metrics: telemetry.New()}
	service := &servicelist.Service{
		Name: "orders", Timeout: 5 * time.Second, Limits: servicelist.Limits{Slots: 9, Connections: 260, Queue: 9},
		Retry: servicelist.Retry{BudgetPercent: 10, HedgePercent: 5},
	}
	snapshot := &cluster.Snapshot{
		Self:    cluster.Member{ID: "entry@1", Service: "entry", Zone: "a", Region: "r"},
		List:    &servicelist.List{Version: 1, Services: map[string]*servicelist.Service{"orders": service}, Measuring: servicelist.Measuring{RegionBytesPerSecond: 14000, LinkBytesPerSecond: 1000}},
		Members: map[string][]cluster.Member{},
	}
	if len(rules) > 0 {
		snapshot.List.Rules = servicelist.NewRuleSet(rules)
	}
	for i, region := range regions {
		self := cluster.Member{ID: fmt.Sprintf("n%d@1", i), Service: "orders", Zone: "a", Region: region}
		snapshot.Members["orders"] = append(snapshot.Members["orders"], f.startNode(t, self, snapshot, target))
	}
	transport := forward.New(forward.Config{Dial: f.network.dial, Metrics: f.metrics})
	policies := NewPolicies(PoliciesConfig{
		Self: snapshot.Self, ByteBudget: budget.NewByteBudget(budget.Limits{}, nil), Transport: transport, Metrics: f.metrics,
		CheckReachable: func(context.Context, cluster.Member) bool { return !f.unreachable.Load() },
		StayInRegion:   true,
	})
	unpooledClient := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	f.handler = New(Config{
		View:      cluster.NewView(snapshot),
		Transport: transport,
		Policies:  policies,
		Attempts: func(addr string) rpc.Attempts {
			if f.unreachable.Load() {
				addr = "127.0.0.1:1" // nothing listens there
			}
			return rpc.NewAttemptsProtobufClient("http://"+addr, unpooledClient)
		},
		Metrics: f.metrics,
	})
	f.entry = httptest.NewServer(f.handler)
	t.Cleanup(func() {
		f.entry.Close()
		policies.Close()
		transport.Close()
	})
	return f
}

func (f *fixture) startNode(t *testing.T, self cluster.Member, snapshot *cluster.Snapshot, target http.HandlerFunc) cluster.Member {
	t.Helper()
	backend := httptest.NewServer(f.countRuns(target))
	f.targets = append(f.targets, backend)
	nodeSnapshot := *snapshot
	nodeSnapshot.Self = self
	node := inbound.New(inbound.Config{Self: nodeSnapshot.Self, View: cluster.NewView(&nodeSnapshot), TargetAddr: backend.Listener.Addr().String(), Metrics: f.metrics})
	attemptsServer := rpc.NewAttemptsServer(node)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, wire.ForwardPath) {
			node.ServeHTTP(w, r)
			return
		}
		attemptsServer.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		server.CloseClientConnections() // silent connections are never closed otherwise
		server.Close()
		node.Close()
		backend.Close()
	})
	member := nodeSnapshot.Self
	member.PeerAddr = server.Listener.Addr().String()
	return member
}

// countRuns counts the runs of each order at all targets.
func (f *fixture) countRuns(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if order := r.Header.Get("X-Order"); order != "" {
			count, _ := f.runs.LoadOrStore(order, &atomic.Int64{})
			count.(*atomic.Int64).Add(1)
		}
		next(w, r)
	}
}

func (f *fixture) runCount(order string) int64 {
	count, ok := f.runs.Load(order)
	if !ok {
		return 0
	}
	return count.(*atomic.Int64).Load()
}

func (f *fixture) call(method, path, order string, body io.Reader) (*http.Response, string, error) {
	request, err := http.NewRequest(method, f.entry.URL+path, body)
	if err != nil {
		return nil, "", err
	}
	request.Host = "orders"
	request.Header.Set("X-Order", order)
	response, err := f.entry.Client().Do(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func answerOrder(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(5 * time.Millisecond)
	fmt.Fprint(w, "order="+r.Header.Get("X-Order"))
}

// Guards against one timeout per silent connection, orders that run twice and answers for another caller, when all pooled
// connections to the nodes go silent at once.
func TestSilentConnectionsCostOneDetectionPerNode(t *testing.T) {
	const nodes, calls = 2, 12
	f := newFixture(t, nodes, answerOrder)
	f.sendCalls(t, "warm", calls)
	silent := f.network.silence()
	assert.Assert(t, silent >= 4, "only %d pooled connections", silent)
	f.sendCalls(t, "after", calls)
	retired := f.metrics.Counter("forward.generation-retired").Count()
	assert.Assert(t, retired >= 1 && retired <= nodes, "%d generations were retired", retired)
}

// sendCalls sends orders concurrently, half of them idempotent, and checks the answer and the runs of each.
func (f *fixture) sendCalls(t *testing.T, prefix string, count int) {
	t.Helper()
	var wait sync.WaitGroup
	for i := range count {
		wait.Go(func() {
			method := []string{http.MethodGet, http.MethodPost}[i%2]
			order := fmt.Sprintf("%s-%d", prefix, i)
			response, body, err := f.call(method, "/", order, strings.NewReader("x"))
			if err != nil {
				t.Errorf("order %s: %v", order, err)
				return
			}
			refusedSafely := method == http.MethodPost && response.Header.Get(wire.Outcome) == "not-run" && f.runCount(order) == 0
			if body != "order="+order && !refusedSafely {
				t.Errorf("order %s: %d %s", order, response.StatusCode, body)
			}
			if method == http.MethodPost && f.runCount(order) > 1 {
				t.Errorf("order %s ran %d times", order, f.runCount(order))
			}
		})
	}
	wait.Wait()
}

// Guards against a truncated answer that the caller takes for complete.
func TestTruncatedAnswerAbortsTheCallersConnection(t *testing.T) {
	f := newFixture(t, 1, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/sized" {
			w.Header().Set("Content-Length", "1000")
		}
		fmt.Fprint(w, "first part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	for _, path := range []string{"/sized", "/chunked"} {
		response, body, err := f.call(http.MethodGet, path, "", nil)
		if err == nil {
			assert.Assert(t, response.StatusCode != http.StatusOK, "%s: a truncated answer looked complete: %q", path, body)
		}
	}
}

// Guards against a small streamed body that can't be resent after a node that refuses has read it: the node of a dead
// target refuses only after it has the body.
func TestSmallStreamedBodyIsResent(t *testing.T) {
	f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fmt.Fprint(w, string(body))
	})
	f.targets[0].Close()
	for i := range 30 {
		order := fmt.Sprint("small-", i)
		response, body, err := f.call(http.MethodPost, "/", order, io.MultiReader(strings.NewReader("first "), strings.NewReader(order)))
		assert.NilError(t, err)
		assert.Equal(t, body, "first "+order, "%v", response.Header)
		assert.Equal(t, f.runCount(order), int64(1))
	}
}

// Guards against a request body that is replayed in part: a large streamed body that a node with a full queue refuses must
// reach another node in full, or the call must be refused.
func TestLargeStreamedBodyIsSentInFullOrRefused(t *testing.T) {
	f := newFixture(t, 3, func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(w, n)
	})
	const size = 300 << 10
	var wait sync.WaitGroup
	for i := range 80 {
		wait.Go(func() {
			order := fmt.Sprint("large-", i)
			response, body, err := f.call(http.MethodPost, "/", order, io.MultiReader(strings.NewReader(strings.Repeat("x", size))))
			if err != nil {
				t.Errorf("%s: %v", order, err)
				return
			}
			if response.StatusCode == http.StatusOK && body != fmt.Sprint(size) {
				t.Errorf("%s: the target got %s of %d bytes", order, body, size)
			}
			if response.Header.Get(wire.Outcome) == "not-run" && f.runCount(order) != 0 || f.runCount(order) > 1 {
				t.Errorf("%s: outcome %q, but the target ran it %d times", order, response.Header.Get(wire.Outcome), f.runCount(order))
			}
		})
	}
	wait.Wait()
}
