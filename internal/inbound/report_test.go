package inbound

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/testlog"
	"github.com/acacialock/acacialock/internal/wire"
)

// startLimitedNode starts a node whose target states the value that header holds as its limit.
func startLimitedNode(t *testing.T, limit *atomic.Value, status int, change func(*Config)) *testNode {
	return startNode(t, startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		if text, _ := limit.Load().(string); text != "" {
			w.Header().Set(wire.TargetLimit, text)
		}
		w.WriteHeader(status)
	}), change)
}

// Guards against a limit that only successful responses can name.
func TestLimitIsReadFromEveryStatus(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNoContent, http.StatusNotFound, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusGatewayTimeout} {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost} {
			var limit atomic.Value
			limit.Store("2.5")
			node := startLimitedNode(t, &limit, status, nil)
			got := node.send(context.Background(), call{method: method, path: "/", idempotent: method != http.MethodPost})
			assert.NilError(t, got.err)
			assert.Equal(t, node.RateLimit().Rate, 2.5, "%s %d", method, status)
			state, err := wire.ParseTargetState(got.Header.Get(wire.TargetStatus))
			assert.NilError(t, err)
			assert.Equal(t, state.Limit, 2.5)
		}
	}
}

// Guards against a malformed limit that ends the process or the limit in force, takes the target out of use, or is logged for
// each response.
func TestInvalidLimits(t *testing.T) {
	log := testlog.Capture(t)
	var limit atomic.Value
	node := startLimitedNode(t, &limit, http.StatusOK, nil)
	send := func() result {
		return node.send(context.Background(), call{method: http.MethodGet, path: "/", idempotent: true})
	}
	invalid := []string{"-1", "NaN", "Inf", "1e309", "0x10", "+5", "5 6", "x", strings.Repeat("9", 32<<10)}
	for _, text := range invalid {
		limit.Store(text)
		assert.Equal(t, send().StatusCode, http.StatusOK, "%.20q", text)
		assert.Equal(t, node.RateLimit().Rate, 0.0)
	}
	assert.Equal(t, node.config.Metrics.Counter("target.report-invalid").Count(), int64(len(invalid)))
	assert.Assert(t, len(log.Lines(`"report of the target not usable"`)) <= 2, "one line a second at most")
	limit.Store("1000")
	assert.Equal(t, send().StatusCode, http.StatusOK)
	limit.Store("x")
	time.Sleep(10 * time.Millisecond) // for 10 requests at the rate in force
	assert.Equal(t, send().StatusCode, http.StatusOK)
	assert.Equal(t, node.RateLimit().Rate, 1000.0, "an invalid limit does not end the one in force")
	limit.Store(strings.Repeat("9", 2*maxTargetHeaderBytes))
	for range 3 {
		send()
	}
	limit.Store("")
	assert.Equal(t, send().StatusCode, http.StatusOK, "the target is in use again")
}

// Guards against a restarted node that sends requests to a target beyond the limit, or while it leaves, because only other
// nodes still know what the target said; and against statements about an earlier target of the same address.
func TestStatementsAreAdoptedFromOtherNodes(t *testing.T) {
	boot := wire.BootDigest("i-1", 7)
	var leaving atomic.Int64
	var limit atomic.Value
	node := startLimitedNode(t, &limit, http.StatusOK, func(config *Config) {
		config.TargetID, config.TargetBoot = "i-1", boot
		config.OnLeaving = func(string) { leaving.Add(1) }
	})
	send := func(state wire.TargetState) result {
		return node.send(context.Background(), call{
			method: http.MethodGet, path: "/", idempotent: true, header: http.Header{wire.TargetStatus: {state.String()}},
		})
	}
	assert.Equal(t, send(wire.TargetState{Limit: 0.5, Leaving: true, Boot: wire.BootDigest("i-1", 6)}).StatusCode, http.StatusOK)
	assert.Equal(t, leaving.Load(), int64(0))
	got := send(wire.TargetState{Limit: 0.5, Age: 100 * time.Millisecond, Boot: boot})
	assert.Equal(t, got.StatusCode, http.StatusOK, "the target itself was heard since")
	fresh := startLimitedNode(t, &limit, http.StatusOK, func(config *Config) {
		config.TargetID, config.TargetBoot = "i-1", boot
		config.OnLeaving = func(string) { leaving.Add(1) }
	})
	node = fresh
	got = send(wire.TargetState{Limit: 0.5, Leaving: true, Age: 100 * time.Millisecond, Boot: boot})
	assert.Equal(t, got.reason(), failure.TargetLimited)
	assert.Equal(t, got.outcome(), failure.NotRun)
	assert.Equal(t, leaving.Load(), int64(1))
	assert.Assert(t, strings.Contains(got.Header.Get(wire.TargetStatus), fmt.Sprint(0.5)), "it passes the limit on")
}
