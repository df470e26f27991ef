package membership

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/timing"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// maxClockDrift is the largest relative difference between the rates of the clocks of two machines. Linux slews a clock
	// by 0.05% at most.
	maxClockDrift = 0.01
	// clockQueryInterval is the time after which a follower reads its reader's clock again, on a check of whether it follows
	// the best reader. With maxClockDrift, the age of the list is overestimated by up to 0.3 s in that time.
	clockQueryInterval = 20 * time.Second
	// clockQueryTimeout bounds one reading of a reader's clock.
	clockQueryTimeout = time.Second
	// listReadsPerAge is the number of reads of the list in Config.MaxListAge. The age of a proof reaches twice the time
	// between two reads, as a read that ends proves only the state at which it began.
	listReadsPerAge = 4
)

// headerClock is the header with the reading of the responding node's clock in microseconds, see timing.SinceBoot.
const headerClock = "Acacialock-Clock-Us"

// listProof is the last moment for which this node can prove that the list in force was the newest one in the store. It is
// safe for concurrent use.
type listProof struct {
	at atomic.Int64 // reading of timing.SinceBoot in ns; 0: never
}

// renew records a proof for the given moment, unless a later one is known.
func (p *listProof) renew(at time.Duration) {
	for {
		known := p.at.Load()
		if int64(at) <= known || p.at.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// age returns the time since the last proof, or the greatest duration if there is none.
func (p *listProof) age(now time.Duration) time.Duration {
	at := p.at.Load()
	if at == 0 {
		return math.MaxInt64
	}
	return max(0, now-time.Duration(at))
}

// ListConfirmed returns the time since the last moment for which this node can prove that the list in force was the newest
// one in the store, itself or through a reader. It includes the time for which the machine was suspended.
func (d *Directory) ListConfirmed() time.Duration { return d.relay.proof.age(timing.SinceBoot()) }

// proofFrame is what a reader states in a frame about the age of its list.
type proofFrame struct {
	Clock int64 `json:"clock_us"` // reading of the reader's clock when the frame was built, in µs
	Age   int64 `json:"age_us"`   // age of the reader's proof at that moment, in µs
}

// confirmList records a proof that the list in force was the newest one at the given time. After the store has come back
// from an older copy, what it holds proves nothing about a later list that is in force.
func (d *Directory) confirmList(at time.Duration) {
	if !d.storeBehind.Load() {
		d.relay.proof.renew(at)
	}
}

// newProofFrame returns the statement for a frame that is built at now, or nil without a proof. It must be called before
// the tables are copied into the frame, which then holds all that the proof covers.
func (p *listProof) newProofFrame(now time.Duration) *proofFrame {
	age := p.age(now)
	if age == math.MaxInt64 {
		return nil
	}
	return &proofFrame{Clock: now.Microseconds(), Age: age.Microseconds() + 1}
}

// readerClock bounds from below the time on this node's clock at which a reader's clock had a reading. A frame may lie in
// buffers for seconds, while this node is suspended or a link is down, so the time of its arrival says nothing about its
// age. A reading of the reader's clock that answers a request was taken after the request was sent; from there on, both
// clocks advance at nearly the same rate.
type readerClock struct {
	sentAt  time.Duration // on this node's clock
	reading time.Duration // on the reader's clock, in response to the request sent at sentAt
}

// earliest returns the earliest time on this node's clock at which the reader's clock can have had the reading.
func (c readerClock) earliest(reading time.Duration) time.Duration {
	elapsed := reading - c.reading
	drift := time.Duration(float64(max(elapsed, -elapsed)) * maxClockDrift)
	return c.sentAt + elapsed - drift
}

// proven returns the time on this node's clock for which a frame proves that its list was the newest one.
func (c readerClock) proven(stated *proofFrame) time.Duration {
	built := time.Duration(stated.Clock) * time.Microsecond
	age := time.Duration(stated.Age) * time.Microsecond
	return c.earliest(built) - age - time.Duration(float64(age)*maxClockDrift)
}

// recordClock records the reading of the reader's clock in a response to a request that was sent at sentAt, if its bound is
// better than that of the reading before.
func (s *readerStream) recordClock(header http.Header, sentAt time.Duration) {
	reading, err := strconv.ParseInt(header.Get(headerClock), 10, 64)
	if err != nil {
		return // a reader of an earlier version; its frames state no age
	}
	next := readerClock{sentAt: sentAt, reading: time.Duration(reading) * time.Microsecond}
	if known := s.clock.Load(); known == nil || next.sentAt > known.earliest(next.reading) {
		s.clock.Store(&next)
	}
}

// refreshClock reads the reader's clock again if the last reading is older than clockQueryInterval. If that fails, the last
// reading holds.
func (d *Directory) refreshClock(ctx context.Context, stream *readerStream) {
	sentAt, known := timing.SinceBoot(), stream.clock.Load()
	if !d.relay.statesAge || known == nil || sentAt-known.sentAt < clockQueryInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, clockQueryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodHead, "http://"+stream.member.PeerAddr+wire.FollowPath, nil)
	if err != nil {
		klog.InfoS("clock of the reader not read", "reader", stream.member.ID, "err", err.Error())
		return
	}
	response, err := d.config.Peers.Do(request)
	if err != nil {
		klog.V(1).InfoS("clock of the reader not read", "reader", stream.member.ID, "err", err.Error())
		return
	}
	_ = response.Body.Close() // the response to HEAD has no body
	stream.recordClock(response.Header, sentAt)
}

// limitListWait shortens the long poll of the list so that its proofs stay younger than Config.MaxListAge.
func (d *Directory) limitListWait(wait time.Duration) time.Duration {
	if d.config.MaxListAge > 0 {
		return min(wait, d.config.MaxListAge/listReadsPerAge)
	}
	return wait
}

// serveClock adds the reading of this node's clock to a response.
func serveClock(w http.ResponseWriter) {
	w.Header().Set(headerClock, strconv.FormatInt(timing.SinceBoot().Microseconds(), 10))
}
