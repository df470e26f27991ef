package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// Guards against a node that stops and closes the connections of calls in progress without a response.
func TestStopAnswersAllCalls(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 64)
	f := newFixture(t, 1, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	defer close(release)
	const slots, queue = 9, 9
	type answer struct {
		response *http.Response
		err      error
	}
	answers := make(chan answer)
	send := func(method string, body io.Reader) {
		response, _, err := f.call(method, "/", "", body)
		answers <- answer{response, err}
	}
	for range slots {
		go send(http.MethodPost, strings.NewReader("x")) // not cancelled at the target, so that no slot becomes free
	}
	for range slots {
		<-arrived
	}
	for range queue / 2 {
		go send(http.MethodPost, strings.NewReader("x"))
	}
	time.Sleep(50 * time.Millisecond) // until they are queued at the target's node
	f.handler.EndCallsBy(time.Now().Add(50 * time.Millisecond))
	outcomes := map[failure.Outcome]int{}
	for range slots + queue/2 {
		got := <-answers
		assert.NilError(t, got.err)
		outcomes[failure.Outcome(got.response.Header.Get(wire.Outcome))]++
		assert.Equal(t, got.response.Header.Get(wire.Reason), string(failure.Draining))
	}
	assert.Equal(t, outcomes[failure.Unknown], slots)
	assert.Equal(t, outcomes[failure.NotRun], queue/2, "the queued calls must be reported as not run")
}
