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

// fill sends requests until every slot and place in the queue of the node in region r is taken, and those slots of the other
// region that are asked for.
func (f *fixture) fill(t *testing.T, arrived <-chan struct{}, queued, elsewhere int) (ended func()) {
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
	time.Sleep(100 * time.Millisecond) // until they wait at the node
	for range elsewhere {
		send()
		<-arrived
	}
	return func() {
		for range sent {
			assert.NilError(t, <-answers)
		}
	}
}

// Guards against calls that are refused in a region which has no room while another region has free slots.
func TestCallsRefusedByTheirRegionUseFreeSlotsElsewhere(t *testing.T) {
	arrived, release := make(chan struct{}, 64), make(chan struct{})
	f := newFixtureIn(t, []string{"r", "other"}, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Order") != "" {
			return
		}
		arrived <- struct{}{}
		<-release
	})
	ended := f.fill(t, arrived, 9, 0)
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		response, _, err := f.call(method, "/", method, strings.NewReader("x"))
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, f.ran(method), int64(1))
	}
	assert.Equal(t, f.metrics.Counter("balance.orders.overflow").Count(), int64(2))
	close(release)
	ended()
}

// Guards against calls that take places in the queue of another region, and against an answer that names the time to come
// back of a region that the caller's next try does not meet first.
func TestCallsOfAnotherRegionDoNotWaitThere(t *testing.T) {
	arrived, release := make(chan struct{}, 64), make(chan struct{})
	f := newFixtureIn(t, []string{"r", "other"}, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	ended := f.fill(t, arrived, 9, 9)
	began := time.Now()
	response, _, err := f.call(http.MethodPost, "/", "o", strings.NewReader("x"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get(wire.Reason), string(failure.QueueFull))
	assert.Equal(t, response.Header.Get(wire.Outcome), string(failure.NotRun))
	assert.Assert(t, time.Since(began) < 4*time.Second, "it waited for its deadline")
	assert.Equal(t, f.ran("o"), int64(0))
	close(release)
	ended()
}
