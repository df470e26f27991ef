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

// Guards against a stop of the node that closes the connections of calls that still wait, without an answer.
func TestStopAnswersAllCalls(t *testing.T) {
	release := make(chan struct{})
	arrived := make(chan struct{}, 64)
	f := newFixture(t, 1, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	defer close(release)
	const slots, queue = 9, 9
	type ended struct {
		response *http.Response
		err      error
	}
	answers := make(chan ended)
	send := func(method string, body io.Reader) {
		response, _, err := f.call(method, "/", "", body)
		answers <- ended{response, err}
	}
	for range slots {
		go send(http.MethodPost, strings.NewReader("x")) // not cut at the target, so that no slot becomes free
	}
	for range slots {
		<-arrived
	}
	for range queue / 2 {
		go send(http.MethodPost, strings.NewReader("x"))
	}
	time.Sleep(50 * time.Millisecond) // until they wait at the target's node
	f.handler.StopBy(time.Now().Add(50 * time.Millisecond))
	outcomes := map[failure.Outcome]int{}
	for range slots + queue/2 {
		one := <-answers
		assert.NilError(t, one.err)
		outcomes[failure.Outcome(one.response.Header.Get(wire.Outcome))]++
		assert.Equal(t, one.response.Header.Get(wire.Reason), string(failure.Draining))
	}
	assert.Equal(t, outcomes[failure.Unknown], slots)
	assert.Equal(t, outcomes[failure.NotRun], queue/2, "the calls that waited are known not to have run")
}
