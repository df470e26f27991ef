package membership

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/timing"
)

// Guards against a proof of age that is younger than the truth: clocks with unrelated zero points whose rates differ, frames
// that lie in buffers for any time, and requests that take any time to arrive. A withdrawn API key would be accepted too long.
func TestProofIsNeverYoungerThanTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, limit time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(limit)).Draw(t, name))
		}
		// Times are those of the follower's clock; the reader's runs at another rate from another zero point.
		rate := 1 + maxClockDrift*0.9*rapid.Float64Range(-1, 1).Draw(t, "rate")
		zero := duration("zero", 1000*time.Hour)
		readerAt := func(at time.Duration) time.Duration { return zero + time.Duration(rate*float64(at)) }
		sentAt := time.Minute + duration("sent", time.Hour)
		clock := readerClock{sentAt: sentAt, reading: readerAt(sentAt + duration("request transit", 10*time.Second)).Truncate(time.Microsecond)}
		trueProof := sentAt + duration("proof", time.Minute)
		builtAt := trueProof + duration("age", 10*time.Second)
		var proof listProof
		proof.renew(readerAt(trueProof))
		proven := clock.proven(proof.newProofFrame(readerAt(builtAt)))
		assert.Assert(t, proven <= trueProof+2*time.Microsecond, "%v after the truth", proven-trueProof)
	})
}

// Guards against the time that a frame spends in a buffer counting as no time: the follower must see the age of what it
// knows, not the time since it received something.
func TestHeldUpFrameStaysOld(t *testing.T) {
	clock := readerClock{sentAt: 100 * time.Second, reading: 7 * time.Second}
	var follower listProof
	assert.Assert(t, follower.age(time.Hour) > time.Hour, "no proof yet")
	follower.renew(clock.proven(&proofFrame{Clock: (8 * time.Second).Microseconds(), Age: (300 * time.Millisecond).Microseconds()}))
	age := follower.age(106 * time.Second) // the frame of 101 s is read 5 s later
	assert.Assert(t, age >= 5300*time.Millisecond && age < 5400*time.Millisecond, "%v", age)
	follower.renew(100 * time.Second)
	assert.Equal(t, follower.age(106*time.Second), age, "an older proof does not replace a later one")
}

// Guards against nodes that hold an old list for the newest one after the store and all readers are out of reach, against
// proofs that don't pass through a reader, and against a long poll that lets them get too old.
func TestListConfirmedWhileStoreAnswers(t *testing.T) {
	feed := newMemoryFeed()
	putList(feed, 1)
	nodes := startZone(t, feed, "a", "b", "c")
	waitUntilFollowing(t, nodes)
	for _, node := range nodes {
		start := timing.SinceBoot()
		eventually(t, "the list is confirmed anew", func() bool { return node.directory.ListConfirmed() < timing.SinceBoot()-start })
	}
	assert.Assert(t, nodes[0].directory.limitListWait(listReadWait) <= nodes[0].directory.config.MaxListAge/listReadsPerAge)
	for _, node := range nodes {
		node.feed.unavailable.Store(true)
	}
	eventually(t, "the store is lost", nodes[0].directory.StoreLost)
	proven := nodes[1].directory.relay.proof.at.Load()
	eventually(t, "the proof gets old", func() bool { return nodes[1].directory.ListConfirmed() > time.Second })
	assert.Assert(t, nodes[1].directory.relay.proof.at.Load()-proven < int64(time.Second), "no new proof")
	reader := &readerStream{upstream: upstream{member: nodes[0].view.Load().Self}}
	old := timing.SinceBoot() - 2*clockQueryInterval
	reader.clock.Store(&readerClock{sentAt: old, reading: old})
	nodes[1].directory.refreshClock(t.Context(), reader)
	assert.Assert(t, reader.clock.Load().sentAt > old, "the clock is read again")
}

// Guards against nodes without a bound that state ages: the frames are sent twice a second to every node.
func TestNoAgeWithoutBound(t *testing.T) {
	r := newRelay()
	r.beginListRead(time.Hour)
	r.setSource(sourceStore)
	r.update(&r.list, []platform.FeedRow{{Key: "config", Version: 1}}, true, 1)
	r.proof.renew(timing.SinceBoot())
	next, _, _, ok := r.nextFrame(scopeGroup, 0, 0)
	assert.Assert(t, ok && next.Proof == nil)
	response := httptest.NewRecorder()
	r.ServeHTTP(response, httptest.NewRequest(http.MethodHead, "/", nil))
	assert.Assert(t, response.Code == http.StatusOK && response.Header().Get(headerClock) != "")
}
