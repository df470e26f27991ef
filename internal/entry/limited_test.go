package entry

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Guards against calls that fail, or use up the retry budget, while some targets have room and most name limits; and against
// calls that try one limited target after another when none has room.
func TestCallsFindTargetsWithRoom(t *testing.T) {
	var mu sync.Mutex
	limited := map[string]bool{}
	atMost := 5
	f := newFixture(t, 7, func(w http.ResponseWriter, r *http.Request) {
		addr := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		mu.Lock()
		defer mu.Unlock()
		if len(limited) < atMost {
			limited[addr] = true
		}
		if limited[addr] {
			w.Header().Set(wire.TargetLimit, "0.1")
		}
	})
	for i := range 200 {
		response, _, err := f.call(http.MethodPost, "/", fmt.Sprint(i), strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK, "%d: %s", i, response.Header.Get(wire.Reason))
	}
	mu.Lock()
	assert.Equal(t, len(limited), 5)
	atMost = 7
	mu.Unlock()
	moves := f.metrics.Counter("move.target-limited").Count
	for refused := 0; refused < 5; {
		before := moves()
		response, _, err := f.call(http.MethodPost, "/", "all", strings.NewReader("x"))
		assert.NilError(t, err)
		if response.StatusCode == http.StatusOK {
			continue
		}
		assert.Equal(t, response.Header.Get(wire.Reason), string(failure.TargetLimited))
		assert.Equal(t, response.Header.Get(wire.Outcome), string(failure.NotRun))
		if refused++; refused > 1 { // by the first refusal all members are known to be limited
			assert.Equal(t, moves(), before)
		}
		after, err := strconv.Atoi(response.Header.Get("Retry-After"))
		assert.NilError(t, err)
		assert.Assert(t, after >= 1 && after <= 11, "%d s", after)
	}
	assert.Equal(t, f.metrics.Counter("retry.denied.budget").Count(), int64(0))
}
