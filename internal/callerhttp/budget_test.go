package callerhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/framing"
)

// Guards against a crowd that pushes out an ordinary caller: replays 60 connections that each hold a head of 16 KB for ten
// seconds, beside callers that hold 4 KB for a moment or have a request in progress.
func TestCrowdOfIncompleteHeadsGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	var holdings []holding
	for i := range 60 {
		holdings = append(holdings, holding{bytes: 16 << 10, since: now.Add(-time.Minute), heldSince: now.Add(-10 * time.Second)})
		if i%3 == 0 {
			holdings = append(holdings, holding{bytes: 4 << 10, since: now.Add(-time.Minute), heldSince: now.Add(-50 * time.Millisecond), served: true},
				holding{bytes: 1 << 20, heldSince: now.Add(-time.Hour), placed: true})
		}
	}
	const excess = 40 * 16 << 10
	victims := memoryVictims(holdings, excess, now)
	assert.Equal(t, len(victims), 40)
	for _, index := range victims {
		assert.Equal(t, holdings[index].bytes, 16<<10)
	}
	assert.Equal(t, len(memoryVictims(holdings, 1<<40, now)), 80, "all but those with a request in progress")
}

// Guards against connections in use that make room for a crowd of connections without a request.
func TestConnectionsWithoutARequestGoFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	holdings := []holding{
		{placed: true, since: now.Add(-time.Hour)},
		{served: true, since: now.Add(-time.Minute)},
		{since: now.Add(-time.Second)},
		{since: now.Add(-2 * time.Second)},
		{served: true, since: now.Add(-2 * time.Minute)},
	}
	assert.DeepEqual(t, connectionVictims(holdings, 2), []int{3, 2})
	assert.DeepEqual(t, connectionVictims(holdings, 10), []int{3, 2, 4, 1})
}

// Guards against a choice that frees too little although enough could be freed, takes more connections than needed, or takes one
// with a request in progress.
func TestMemoryVictimsFreeTheExcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		holdings := rapid.SliceOf(rapid.Custom(func(t *rapid.T) holding {
			return holding{
				bytes: rapid.IntRange(0, 1000).Draw(t, "bytes"), placed: rapid.Bool().Draw(t, "placed"),
				heldSince: now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Second),
			}
		})).Draw(t, "holdings")
		excess := rapid.IntRange(1, 5000).Draw(t, "excess")
		freed, available := 0, 0
		victims := memoryVictims(holdings, int64(excess), now)
		for i, h := range holdings {
			if slices.Contains(victims, i) {
				assert.Assert(t, !h.placed)
				freed += h.bytes
			}
			if !h.placed {
				available += h.bytes
			}
		}
		assert.Assert(t, freed >= min(excess, available))
		if len(victims) > 0 {
			assert.Assert(t, freed-holdings[victims[len(victims)-1]].bytes < excess)
		}
	})
}

// Guards against requests that are refused for good after a crowd has left.
func TestRequestsFreeTheirMemory(t *testing.T) {
	g := newGate()
	const limit, connections, lines = 32 << 10, 10, 3
	server, addr := startServer(t, Bounds{Memory: limit * callermem.DefaultLimit / callermem.NewAccount(0).Share(callermem.Requests)}, func(_ http.ResponseWriter, r *http.Request) { g.pass(r) })
	large := "GET /large HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 900) + "\r\n\r\n"
	admitted := 2 * limit / callermem.RequestSize(len(large), lines)
	var readers []func() int
	for range connections {
		conn, reader := dial(t, addr)
		write(t, conn, large)
		readers = append(readers, func() int { status, _, _ := readAnswer(reader, http.MethodGet); return status })
	}
	g.awaitStarted(t, admitted)
	for end := time.Now().Add(testTimeout); server.Held().Connections > admitted; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%+v", server.Held())
	}
	g.release("/large")
	counts := map[int]int{}
	for _, read := range readers {
		counts[read()]++
	}
	assert.Equal(t, counts[http.StatusOK], admitted)
	assert.Equal(t, counts[faultStatus[framing.NoMemory]], connections-admitted)
	for end := time.Now().Add(testTimeout); server.Held().Requests != 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
}

// Guards against crowds beyond the bounds: the process holds no more than they allow, a request in progress is answered, and so
// is one that comes afterwards.
func TestBoundsHoldAgainstCrowds(t *testing.T) {
	for _, bounds := range []Bounds{{Memory: 128 << 10, Connections: 1000}, {Memory: 1 << 30, Connections: 40}} {
		g := newGate()
		server, addr := startServer(t, bounds, func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/slow" {
				g.pass(r)
			}
		})
		busy, busyReader := dial(t, addr)
		write(t, busy, get("/slow"))
		g.awaitStarted(t, 1)
		var crowd []net.Conn
		for i := range 200 {
			conn, err := net.Dial("tcp", addr)
			assert.NilError(t, err)
			crowd = append(crowd, conn)
			if i%2 == 0 {
				_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("x", 900))) // may be closed
			}
			held := server.Held()
			assert.Assert(t, held.Connections <= bounds.Connections, "%d connections", held.Connections)
		}
		for end := time.Now().Add(testTimeout); server.Held().Heads > server.account.Share(callermem.Heads); time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "%+v", server.Held())
		}
		other, reader := dial(t, addr)
		write(t, other, get("/"))
		status, _, _ := readAnswer(reader, http.MethodGet)
		assert.Equal(t, status, http.StatusOK)
		g.release("/slow")
		status, _, _ = readAnswer(busyReader, http.MethodGet)
		assert.Equal(t, status, http.StatusOK)
		for _, conn := range crowd {
			_ = conn.Close()
		}
	}
}

// Guards against buffered answers that take more memory than is counted: replays a caller that pipelines requests for large
// files, whose first answer is slow.
func TestBufferedAnswersTakeWhatIsCounted(t *testing.T) {
	const length, waiting = 400 << 10, 8
	g := newGate()
	wrote := make(chan struct{}, waiting)
	server, addr := startServer(t, Bounds{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			g.pass(r)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = w.Write(make([]byte, 1000))
		_ = http.NewResponseController(w).Flush()
		wrote <- struct{}{}
		g.pass(r)
		_, _ = w.Write(make([]byte, length-1000))
	})
	conn, reader := dial(t, addr)
	write(t, conn, get("/slow")+strings.Repeat(get("/file"), waiting))
	for range waiting {
		<-wrote
	}
	conns, _ := server.holdings()
	taken := int64(0)
	conns[0].mu.Lock()
	for _, e := range conns[0].queue {
		taken += int64(cap(e.out))
	}
	conns[0].mu.Unlock()
	assert.Equal(t, taken, server.Held().Answers-waiting*overlapBytes)
	assert.Assert(t, taken <= maxBufferedBytes)
	g.release("/file")
	g.release("/slow")
	readAnswer(reader, http.MethodGet)
	for range waiting {
		status, body, _ := readAnswer(reader, http.MethodGet)
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, len(body), length)
	}
	server.requireNothingHeld(t)
}

// Guards against answers that wait for those before them and take the memory of incomplete heads: an ordinary caller whose head
// arrives in two parts was then closed.
func TestBufferedAnswersLeaveRoomForHeads(t *testing.T) {
	const connections = 4
	g := newGate()
	server, addr := startServer(t, Bounds{Memory: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			g.pass(r)
		case "/file":
			for range 100 {
				if _, err := w.Write(make([]byte, 4<<10)); err != nil {
					return
				}
			}
		}
	})
	for range connections {
		conn, _ := dial(t, addr)
		write(t, conn, get("/slow")+get("/file"))
	}
	g.awaitStarted(t, connections)
	server.awaitFullBuffers(t, connections)
	const ordinary = 4
	var callers []net.Conn
	var readers []*bufio.Reader
	for range ordinary {
		conn, reader := dial(t, addr)
		write(t, conn, "GET / HTTP/1.1\r\n")
		callers, readers = append(callers, conn), append(readers, reader)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) { // until each has arrived or one is closed
		_, holdings := server.holdings()
		holds := slices.DeleteFunc(holdings, func(h holding) bool { return h.placed || h.bytes == 0 })
		server.mu.Lock()
		evicted := server.closures["memory"] != nil
		server.mu.Unlock()
		if len(holds) == ordinary || evicted {
			break
		}
		assert.Assert(t, time.Now().Before(end))
	}
	for i, conn := range callers {
		_, _ = io.WriteString(conn, "Host: x\r\n\r\n") // fails if the connection is closed
		status, _, _ := readAnswer(readers[i], http.MethodGet)
		assert.Equal(t, status, http.StatusOK)
	}
}

// awaitFullBuffers waits until no more answers may be buffered: on each of the connections a handler waits, or a request that may
// not be started early.
func (s *Server) awaitFullBuffers(t *testing.T, connections int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		waiting := 0
		conns, _ := s.holdings()
		for _, c := range conns {
			c.mu.Lock()
			if c.waiting > 0 || c.heldBack != nil {
				waiting++
			}
			c.mu.Unlock()
		}
		if waiting == connections {
			return
		}
		assert.Assert(t, time.Now().Before(end), "%d connections wait", waiting)
	}
}

// Guards against an ordinary caller that is closed in place of a crowd: its connection was idle for long, and its next head has just
// begun to arrive, while those of the crowd have stayed incomplete for seconds.
func TestHeadsAreHeldFromTheirFirstByte(t *testing.T) {
	server, addr := startServer(t, Bounds{}, func(http.ResponseWriter, *http.Request) {})
	conn, reader := dial(t, addr)
	write(t, conn, get("/"))
	readAnswer(reader, http.MethodGet)
	conns, _ := server.holdings()
	began := time.Now()
	conns[0].mu.Lock()
	conns[0].since = began.Add(-time.Minute)
	conns[0].mu.Unlock()
	write(t, conn, "GET / HTTP/1.1\r\n")
	for end := time.Now().Add(testTimeout); server.Held().Heads == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end))
	}
	held := conns[0].holding()
	crowd := holding{bytes: held.bytes, since: began.Add(-5 * time.Second), heldSince: began.Add(-5 * time.Second)}
	assert.DeepEqual(t, memoryVictims([]holding{held, crowd}, 1, began.Add(time.Second)), []int{1})
}
