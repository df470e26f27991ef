package inbound

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/servicelist"
)

// withOneSlot limits a node to one request at the target.
func withOneSlot(c *Config) {
	list := newServiceList(servicelist.Limits{Slots: 1, Connections: 260, Queue: 9})
	c.View = cluster.NewView(&cluster.Snapshot{Self: c.Self, List: list})
}

// largeAnswer answers /large with more than the buffers between target and caller take, and everything else with "hello".
func largeAnswer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the body may break off
	if !strings.HasPrefix(r.URL.Path, "/large") {
		_, _ = io.WriteString(w, "hello")
		return
	}
	for range 1000 {
		if _, err := w.Write(make([]byte, 64<<10)); err != nil {
			return
		}
	}
}

// Guards against callers that stop in a body or in an answer and keep the place that others want: the others are served, a body that
// broke off gets a typed failure without a promise, and an answer that broke off does not look complete.
func TestStalledCallersLoseTheirPlace(t *testing.T) {
	node := startNode(t, startTarget(t, largeAnswer), withOneSlot)
	serve := func() {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			return poll.Compare(cmp.Equal(node.send(context.Background(), call{method: "GET", path: "/", idempotent: true}).body, "hello"))
		})
	}
	body, caller := io.Pipe()
	stalled := make(chan result)
	go func() {
		stalled <- node.send(context.Background(), call{method: "POST", path: "/", body: body, header: http.Header{"Expect": {"100-continue"}}})
	}()
	_, err := io.WriteString(caller, "the start") // returns once the target's node reads
	assert.NilError(t, err)
	serve()
	res := <-stalled
	assert.NilError(t, res.err)
	assert.Equal(t, res.reason(), failure.CallerStalled)
	assert.Equal(t, res.outcome(), failure.Unknown)
	assert.NilError(t, caller.Close())

	for _, idempotent := range []bool{true, false} {
		unread, err := node.client.Transport.RoundTrip(node.request(context.Background(), call{method: "GET", path: "/large", idempotent: idempotent}))
		assert.NilError(t, err)
		serve()
		_, err = io.Copy(io.Discard, unread.Body)
		assert.Assert(t, err != nil, "the answer that broke off looks complete")
		assert.NilError(t, unread.Body.Close())
	}
}

// Guards against forwarded requests with many header lines that take more memory than callers may use, and against their memory
// that stays counted.
func TestForwardedHeadsAreCounted(t *testing.T) {
	memory := callermem.NewAccount(8 << 20)
	entered, leave := make(chan struct{}), make(chan struct{})
	node := startNode(t, startTarget(t, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-leave
	}), func(c *Config) { c.Memory = memory })
	header := http.Header{}
	for i := range 4000 {
		header[fmt.Sprint("X", i)] = []string{""}
	}
	send := func(header http.Header) chan result {
		done := make(chan result, 1)
		go func() { done <- node.send(context.Background(), call{method: "GET", path: "/", header: header}) }()
		return done
	}
	var admitted []chan result
	for range memory.Share(callermem.Forwarded) / int64(callermem.ForwardedSize(header)) {
		admitted = append(admitted, send(header))
		<-entered
	}
	assert.Assert(t, len(admitted) > 0)
	refused := <-send(header)
	assert.NilError(t, refused.err)
	assert.Equal(t, refused.reason(), failure.CallerMemoryFull)
	assert.Equal(t, refused.outcome(), failure.NotRun)
	admitted = append(admitted, send(nil)) // an ordinary request
	<-entered
	close(leave)
	for _, done := range admitted {
		res := <-done
		assert.NilError(t, res.err)
		assert.Equal(t, res.StatusCode, http.StatusOK)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result { return poll.Compare(cmp.Equal(memory.Total(), int64(0))) })
}
