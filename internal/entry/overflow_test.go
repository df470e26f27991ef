package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// fill sends requests until all slots and the given number of queue places of the node in region r are occupied, and then
// the given number of slots in the other region. The returned function waits for the answers.
func (f *fixture) fill(t *testing.T, arrived <-chan struct{}, queued, otherRegion int) (wait func()) {
	t.Helper()
	const slots = 9
	answers := make(chan error)
	sent := 0
	send := func() {
		sent++
		go func() {
			_, _, err := f.call(http.MethodPost, "/", "", strings.NewReader("x"))
			answers <- err
		}()
	}
	for range slots {
		send()
		<-arrived
	}
	for range queued {
		send()
	}
	time.Sleep(100 * time.Millisecond) // until they are queued at the node
	for range otherRegion {
		send()
		<-arrived
	}
	return func() {
		for range sent {
			assert.NilError(t, <-answers)
		}
	}
}

// Guards against calls that are refused because their region is full while another region has free slots.
func TestRefusedCallsUseFreeSlotsOfOtherRegions(t *testing.T) {
	arrived, release := make(chan struct{}, 64), make(chan struct{})
	f := newFixtureIn(t, []string{"r", "other"}, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Order") != "" {
			return
		}
		arrived <- struct{}{}
		<-release
	})
	wait := f.fill(t, arrived, 9, 0)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		response, _, err := f.call(method, "/", method, strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, f.runCount(method), int64(1))
	}
	assert.Equal(t, f.metrics.Counter("balance.orders.overflow").Count(), int64(2))
	close(release)
	wait()
}

// Guards against calls that are queued in another region, and against a refusal with the retry-after time of a region that
// the caller's next try does not reach first.
func TestOverflowedCallsAreNotQueued(t *testing.T) {
	arrived, release := make(chan struct{}, 64), make(chan struct{})
	f := newFixtureIn(t, []string{"r", "other"}, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	wait := f.fill(t, arrived, 9, 9)
	start := time.Now()
	response, _, err := f.call(http.MethodPost, "/", "o", strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(wire.Reason), string(failure.QueueFull))
	assert.Equal(t, response.Header.Get(wire.Outcome), string(failure.NotRun))
	assert.Assert(t, time.Since(start) < 4*time.Second, "the call waited for its deadline")
	assert.Equal(t, f.runCount("o"), int64(0))
	close(release)
	wait()
}
