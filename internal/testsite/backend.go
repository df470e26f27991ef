package testsite

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/acacialock/acacialock/platform/standin"
)

const (
	checkInInterval = 300 * time.Millisecond
	// DrainBound is how long after an acknowledged drain a request may still start to run.
	DrainBound = 2500 * time.Millisecond
)

// Run is one request that started to run at a worker.
type Run struct {
	Request, Worker string // IDs
	At              time.Time
}

// RunLog records the runs of the workers of all nodes. Safe for concurrent use.
type RunLog struct {
	sync.Mutex
	Runs []Run
	// DrainedAt maps worker IDs to the time of the first acknowledged drain or departure.
	DrainedAt map[string]time.Time
}

func (l *RunLog) recordRun(id, worker string) {
	l.Lock()
	defer l.Unlock()
	l.Runs = append(l.Runs, Run{id, worker, time.Now()})
}

func (l *RunLog) recordDrain(worker string) {
	l.Lock()
	defer l.Unlock()
	if _, ok := l.DrainedAt[worker]; !ok {
		l.DrainedAt[worker] = time.Now()
	}
}

// Backend runs the workers of one node, one at a time, on the same address.
type Backend struct {
	name, service, zone string
	addr                string // listen address
	announcedAddr       string // address in the check-ins: that of a proxy in front of addr
	checkInAddr         string
	log                 *RunLog
	client              *http.Client
	respondAs           func(w http.ResponseWriter, r *http.Request) bool // nil: the worker's own response

	// FaultMode holds the FaultMode that selects how the worker responds.
	FaultMode atomic.Int64
	// LatencyPercent is the current service time in percent of the usual one.
	LatencyPercent atomic.Int64

	mu          sync.Mutex
	boots       int
	worker      string // ID of the current boot
	workers     []*standin.Worker
	checkIns    *standin.CheckInClient
	server      *http.Server
	stop        context.CancelFunc // ends the check-ins
	startedAt   int64              // start time of the current boot by the machine's clock, Unix milliseconds
	clockOffset time.Duration      // simulated clock offset of the machine; positive is ahead
}

// FaultMode is how a worker responds to requests.
type FaultMode int64

const (
	Healthy         FaultMode = iota
	ServerError               // status 500
	Unsigned                  // response without the worker's signature
	Truncated                 // response body shorter than its Content-Length
	CloseConnection           // connection closed without a response
)

// StartWorker starts a new worker.
func (b *Backend) StartWorker() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	listener, err := listenAgain(b.addr)
	if err != nil {
		return err
	}
	b.boots++
	b.worker = b.WorkerID(b.boots)
	now := time.Now().Add(b.clockOffset).UnixMilli()
	if now == b.startedAt {
		now++ // keeps two starts within a millisecond distinguishable
	}
	b.startedAt = now
	b.checkIns = &standin.CheckInClient{
		Node: b.checkInAddr, Worker: b.worker, Service: b.service, WorkerAddr: b.announcedAddr, Zone: b.zone, Slots: 9,
		StartedAt: b.startedAt, Client: b.client,
	}
	worker := &standin.Worker{ID: b.worker, Service: b.service, ServiceTime: 15 * time.Millisecond}
	worker.Respond = b.respond
	b.workers = append(b.workers, worker)
	id := b.worker
	worker.OnRun = func(request string) { b.log.recordRun(request, id) }
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		worker.Pace.Store(b.LatencyPercent.Load())
		worker.ServeHTTP(w, r)
	})}
	go func(server *http.Server) { _ = server.Serve(listener) }(b.server) // returns after Close
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go b.sendCheckIns(ctx, b.checkIns)
	return nil
}

// rebindTimeout is far above the time from the fork to the exec of a child process.
const rebindTimeout = time.Second

// listenAgain listens on an address whose former listener was closed. A process that is started meanwhile holds a copy of that
// listener from its fork to its exec, and the address stays in use for so long.
func listenAgain(addr string) (net.Listener, error) {
	for end := time.Now().Add(rebindTimeout); ; time.Sleep(time.Millisecond) {
		listener, err := net.Listen("tcp", addr)
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return listener, err
		}
	}
}

// StepClock adds step to the clock offset of the machine; workers started later report start times by it.
func (b *Backend) StepClock(step time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clockOffset += step
}

// Boots returns the number of workers started so far; their IDs are WorkerID(1) to WorkerID(Boots()).
func (b *Backend) Boots() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.boots
}

// Workers returns the workers started so far. The last one is the current one.
func (b *Backend) Workers() []*standin.Worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.workers)
}

// WorkerID returns the ID of the worker of a boot.
func (b *Backend) WorkerID(boot int) string { return fmt.Sprintf("i-%s-%d", b.name, boot) }

// sendCheckIns sends check-ins of a ready worker at checkInInterval until ctx ends.
func (b *Backend) sendCheckIns(ctx context.Context, client *standin.CheckInClient) {
	for ctx.Err() == nil {
		client.CheckIn(ctx, standin.Ready)
		select {
		case <-time.After(checkInInterval):
		case <-ctx.Done():
		}
	}
}

// respond writes the response that the fault mode selects for a request that ran, or that of respondAs. It returns false if the
// worker is to respond normally.
func (b *Backend) respond(w http.ResponseWriter, r *http.Request) bool {
	switch FaultMode(b.FaultMode.Load()) {
	case ServerError:
		w.WriteHeader(http.StatusInternalServerError)
	case Unsigned:
		standin.RemoveSignature(w.Header())
		_, _ = w.Write([]byte("bytes that are no answer")) // the node may have closed the connection
	case Truncated:
		w.Header().Set("Content-Length", "5000")
		_, _ = w.Write([]byte("the beginning"))
		panic(http.ErrAbortHandler)
	case CloseConnection:
		panic(http.ErrAbortHandler)
	default:
		return b.respondAs != nil && b.respondAs(w, r)
	}
	return true
}

// CrashWorker stops the worker without a departure.
func (b *Backend) CrashWorker() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stop()
	_ = b.server.Close()
}

// DrainWorker reports a drain to the node or, without announceDrain, a departure, keeps serving for DrainBound plus
// serveFor, and then stops the worker.
func (b *Backend) DrainWorker(ctx context.Context, announceDrain bool, serveFor time.Duration) {
	b.mu.Lock()
	checkIns, server, worker, stop := b.checkIns, b.server, b.worker, b.stop
	b.mu.Unlock()
	stop()
	if announceDrain && checkIns.CheckIn(ctx, standin.Draining) {
		b.log.recordDrain(worker)
	}
	if !announceDrain && checkIns.Depart(ctx) {
		b.log.recordDrain(worker)
	}
	select {
	case <-time.After(DrainBound + serveFor):
	case <-ctx.Done():
	}
	if announceDrain && checkIns.Depart(ctx) {
		b.log.recordDrain(worker)
	}
	_ = server.Close()
}
