package main

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/testnet"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	targetSlots   = 9
	workHeader    = "Bench-Work"   // work of the call as a factor of the mean service time
	regionHeader  = "Bench-Region" // region of the entry node
	responseBytes = 512
)

// target simulates a target together with its node: slots, a FIFO queue, load samples and refusals.
type target struct {
	member      cluster.Member
	place       testnet.Place
	schedule    *targetSchedule
	sliceStart  time.Time
	meanService time.Duration // mean service time of a call with work 1
	queueLimit  int           // number of queued calls at which further calls are refused
	byteBudget  *budget.ByteBudget
	server      *http.Server
	outstanding atomic.Int64 // calls sent here by the oracles and not completed yet; read by the oracles only

	mu              sync.Mutex
	busy            int
	queue           []chan struct{}
	smoothedService float64 // moving average of the service time, in seconds
	frozenSample    wire.LoadSample
	hasFrozenSample bool
}

// startTarget starts a target that listens on a free loopback port.
func startTarget(member cluster.Member, schedule *targetSchedule, sliceStart time.Time, options *options) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{
		member: member, schedule: schedule, sliceStart: sliceStart, meanService: options.Service, queueLimit: options.Queue,
		place:           testnet.Place{Zone: member.Zone, Region: member.Region},
		byteBudget:      budget.NewByteBudget(nodeLimits, nil),
		smoothedService: options.Service.Seconds(),
	}
	t.member.PeerAddr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/call", t.handleCall)
	mux.HandleFunc("/probe", t.handleProbe)
	t.server = &http.Server{Handler: mux}
	go func() { _ = t.server.Serve(listener) }() // returns when the server is closed
	return t, nil
}

// handleCall serves one call: it waits for a slot and holds it for the service time that the schedule gives.
func (t *target) handleCall(w http.ResponseWriter, r *http.Request) {
	work, err := strconv.ParseFloat(r.Header.Get(workHeader), 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer t.outstanding.Add(-1)
	if !t.acquireSlot(r.Context()) {
		t.addLoadSample(w, r)
		w.Header().Set(wire.Reason, string(failure.QueueFull))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := time.Since(t.sliceStart)
	serviceTime := time.Duration(work * t.schedule.slowdown(now) * t.schedule.jitter(now) * float64(t.meanService))
	select {
	case <-time.After(serviceTime):
	case <-r.Context().Done(): // cancelled: the slot is released immediately
	}
	t.releaseSlot(time.Since(t.sliceStart) - now)
	t.addLoadSample(w, r)
	_, _ = w.Write(make([]byte, responseBytes)) // the entry node may have closed the connection
}

// acquireSlot waits for a slot. It returns false if the queue is full or the call is cancelled.
func (t *target) acquireSlot(ctx context.Context) bool {
	t.mu.Lock()
	if t.busy < targetSlots {
		t.busy++
		t.mu.Unlock()
		return true
	}
	if len(t.queue) >= t.queueLimit {
		t.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	t.queue = append(t.queue, granted)
	t.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		return t.leaveQueue(granted)
	}
}

// leaveQueue removes a cancelled call from the queue. It returns true if the call was granted a slot in the meantime.
func (t *target) leaveQueue(granted chan struct{}) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.queue, granted)
	if i < 0 {
		return true
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	return false
}

// releaseSlot hands the slot over to the first call in the queue, or frees it, and updates the smoothed service time.
func (t *target) releaseSlot(serviceTime time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.smoothedService += 0.1 * (serviceTime.Seconds() - t.smoothedService)
	if len(t.queue) == 0 {
		t.busy--
		return
	}
	close(t.queue[0])
	t.queue = t.queue[1:]
}

// loadSample returns the load sample of the target's node. During a stale phase it returns the first sample taken in that
// phase.
func (t *target) loadSample() wire.LoadSample {
	t.mu.Lock()
	defer t.mu.Unlock()
	stale := inPhase(t.schedule.stale, time.Since(t.sliceStart))
	if stale && t.hasFrozenSample {
		return t.frozenSample
	}
	waitFactor := max(0, float64(t.busy+len(t.queue)+1-targetSlots)/targetSlots)
	t.frozenSample = wire.LoadSample{
		InFlight: t.busy,
		Queued:   len(t.queue),
		Latency:  time.Duration(t.smoothedService * (1 + waitFactor) * float64(time.Second)),
	}
	t.hasFrozenSample = stale
	return t.frozenSample
}

// addLoadSample adds the load sample to the response if the byte budget allows it.
func (t *target) addLoadSample(w http.ResponseWriter, r *http.Request) {
	link := budget.Region
	if r.Header.Get(regionHeader) != t.place.Region {
		link = budget.InterRegion
	}
	text := t.loadSample().String()
	if t.byteBudget.TrySpend(budget.Sample, link, len(wire.Load)+len(text)+4) {
		w.Header().Set(wire.Load, text)
	}
}

func (t *target) handleProbe(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(wire.Load, t.loadSample().String())
}
