package callerhttp

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a crowd that pushes out an ordinary caller: replays 60 connections that each hold a head of 16 KB for ten
// seconds, beside callers that hold 4 KB for a moment or have a request in progress.
func TestCrowdOfIncompleteHeadsGoesFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	var holdings []holding
	for i := range 60 {
		holdings = append(holdings, holding{bytes: 16 << 10, since: now.Add(-10 * time.Second)})
		if i%3 == 0 {
			holdings = append(holdings, holding{bytes: 4 << 10, since: now.Add(-50 * time.Millisecond), served: true},
				holding{bytes: 1 << 20, since: now.Add(-time.Hour), placed: true})
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
				since: now.Add(-time.Duration(rapid.IntRange(0, 100).Draw(t, "age")) * time.Second),
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

// Guards against crowds beyond the bounds: the process holds no more than they allow, a request in progress is answered, and so
// is one that comes afterwards.
func TestBoundsHoldAgainstCrowds(t *testing.T) {
	const memory, connections = 64 << 10, 40
	g := newGate()
	server, addr := startServer(t, Bounds{Memory: memory, Connections: connections}, func(_ http.ResponseWriter, r *http.Request) {
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
		bytes, open := server.Held()
		assert.Assert(t, open <= connections, "%d connections", open)
		assert.Assert(t, bytes <= 2*memory, "%d bytes", bytes) // connections that send at once add theirs before others are closed
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
