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
	targetSlots  = 9
	workHeader   = "Bench-Work"   // work of the call as a factor of the mean service time
	regionHeader = "Bench-Region" // region of the entry node
	bodyBytes    = 512
)

// target is a fake target with its node: slots, a queue by arrival, load samples and refusals.
type target struct {
	member  cluster.Member
	place   testnet.Place
	acts    *behaviour
	began   time.Time
	mean    time.Duration
	limit   int // of the queue
	bytes   *budget.ByteBudget
	server  *http.Server
	sending atomic.Int64 // picks by any entry node that have not ended here; read by the bound only

	mu       sync.Mutex
	busy     int
	queue    []chan struct{}
	service  float64 // smoothed service time in seconds
	frozen   wire.LoadSample
	isFrozen bool
}

func startTarget(member cluster.Member, acts *behaviour, began time.Time, options *options) (*target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{
		member: member, acts: acts, began: began, mean: options.Service, limit: options.Queue,
		place:   testnet.Place{Zone: member.Zone, Region: member.Region},
		bytes:   budget.NewBytes(nodeLimits, nil),
		service: options.Service.Seconds(),
	}
	t.member.PeerAddr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/call", t.call)
	mux.HandleFunc("/probe", t.probe)
	t.server = &http.Server{Handler: mux}
	go func() { _ = t.server.Serve(listener) }() // ends with Close
	return t, nil
}

func (t *target) call(w http.ResponseWriter, r *http.Request) {
	work, err := strconv.ParseFloat(r.Header.Get(workHeader), 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer t.sending.Add(-1)
	if !t.enter(r.Context()) {
		t.report(w, r)
		w.Header().Set(wire.Reason, string(failure.QueueFull))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := time.Since(t.began)
	service := time.Duration(work * t.acts.slow(now) * t.acts.speed(now) * float64(t.mean))
	select {
	case <-time.After(service):
	case <-r.Context().Done(): // cancelled; the slot is free at once
	}
	t.leave(time.Since(t.began) - now)
	t.report(w, r)
	_, _ = w.Write(make([]byte, bodyBytes)) // the entry node may have gone away
}

// enter waits for a slot; it reports false when the queue is full or the call is cancelled.
func (t *target) enter(ctx context.Context) bool {
	t.mu.Lock()
	if t.busy < targetSlots {
		t.busy++
		t.mu.Unlock()
		return true
	}
	if len(t.queue) >= t.limit {
		t.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	t.queue = append(t.queue, turn)
	t.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return t.abandon(turn)
	}
}

// abandon leaves the queue; it reports true when the slot was handed over meanwhile.
func (t *target) abandon(turn chan struct{}) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := slices.Index(t.queue, turn)
	if i < 0 {
		return true
	}
	t.queue = slices.Delete(t.queue, i, i+1)
	return false
}

// leave hands the slot to the first in the queue.
func (t *target) leave(service time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service += 0.1 * (service.Seconds() - t.service)
	if len(t.queue) == 0 {
		t.busy--
		return
	}
	close(t.queue[0])
	t.queue = t.queue[1:]
}

// sample is the load sample of the target's node; it is frozen in the target's stale phases.
func (t *target) sample() wire.LoadSample {
	t.mu.Lock()
	defer t.mu.Unlock()
	stale := within(t.acts.stale, time.Since(t.began))
	if stale && t.isFrozen {
		return t.frozen
	}
	waits := max(0, float64(t.busy+len(t.queue)+1-targetSlots)/targetSlots)
	t.frozen = wire.LoadSample{
		InFlight: t.busy,
		Queued:   len(t.queue),
		Latency:  time.Duration(t.service * (1 + waits) * float64(time.Second)),
	}
	t.isFrozen = stale
	return t.frozen
}

// report adds the load sample to the answer when the byte budget allows it.
func (t *target) report(w http.ResponseWriter, r *http.Request) {
	via := budget.Region
	if r.Header.Get(regionHeader) != t.place.Region {
		via = budget.InterRegion
	}
	text := t.sample().String()
	if t.bytes.TrySpend(budget.Sample, via, len(wire.Load)+len(text)+4) {
		w.Header().Set(wire.Load, text)
	}
}

func (t *target) probe(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(wire.Load, t.sample().String())
}
