package testsite

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/platform/standin"
)

const (
	checkInEvery = 300 * time.Millisecond
	// DrainBound is the time after an acknowledged drain in which a request may still begin to run.
	DrainBound = 2500 * time.Millisecond
)

// Run is one request that began to run at a worker.
type Run struct {
	Request, Worker string // ids
	At              time.Time
}

// RunLog is what the workers of all nodes ran. Safe for concurrent use.
type RunLog struct {
	sync.Mutex
	Runs []Run
	// Left holds the time of the first acknowledged drain or departure of each worker.
	Left map[string]time.Time
}

func (l *RunLog) began(id, worker string) {
	l.Lock()
	defer l.Unlock()
	l.Runs = append(l.Runs, Run{id, worker, time.Now()})
}

func (l *RunLog) acked(worker string) {
	l.Lock()
	defer l.Unlock()
	if _, ok := l.Left[worker]; !ok {
		l.Left[worker] = time.Now()
	}
}

// Backend serves the workers of one node, one after another, at one address.
type Backend struct {
	name, service, zone string
	addr                string // of the listener
	announced           string // address that the node knows, a proxy before addr
	checkInAddr         string
	log                 *RunLog
	client              *http.Client

	Mode atomic.Int64 // what the worker does with a request, a Behaviour
	Pace atomic.Int64 // time that its work takes now, in percent of the usual one

	mu        sync.Mutex
	boots     int
	worker    string // id of the present boot
	announcer *standin.Announcer
	server    *http.Server
	stop      context.CancelFunc // ends the check-ins
	born      int64
	clock     time.Duration // of the machine's time of day ahead of the real one
}

// Behaviour is how a worker answers.
type Behaviour int64

const (
	Sound    Behaviour = iota
	Failing            // 500
	Unsigned           // bytes without its signature
	CutShort           // an answer that breaks off
	Closing            // the connection ends without an answer
)

// Boot starts a new worker.
func (b *Backend) Boot() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	listener, err := net.Listen("tcp", b.addr)
	if err != nil {
		return err
	}
	b.boots++
	b.worker = b.WorkerID(b.boots)
	now := time.Now().Add(b.clock).UnixMilli()
	if now == b.born {
		now++ // two starts within a millisecond are told apart
	}
	b.born = now
	b.announcer = &standin.Announcer{
		Node: b.checkInAddr, Worker: b.worker, Service: b.service, Addr: b.announced, Zone: b.zone, Slots: 9, Born: b.born,
		Client: b.client,
	}
	worker := &standin.Worker{ID: b.worker, Service: b.service, Work: 15 * time.Millisecond}
	worker.Behave = b.behave
	id := b.worker
	worker.OnRun = func(request string) { b.log.began(request, id) }
	b.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		worker.Pace.Store(b.Pace.Load())
		worker.ServeHTTP(w, r)
	})}
	go func(server *http.Server) { _ = server.Serve(listener) }(b.server) // ends with Close
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	go b.announce(ctx, b.announcer)
	return nil
}

// StepClock moves the time of day of the machine, by which later workers say when they started.
func (b *Backend) StepClock(by time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.clock += by
}

// Boots is the number of workers started so far; their ids are WorkerID(1) and on.
func (b *Backend) Boots() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.boots
}

// WorkerID is the id of the worker of a boot.
func (b *Backend) WorkerID(boot int) string { return fmt.Sprintf("i-%s-%d", b.name, boot) }

func (b *Backend) announce(ctx context.Context, announcer *standin.Announcer) {
	for ctx.Err() == nil {
		announcer.CheckIn(ctx, standin.Ready)
		select {
		case <-time.After(checkInEvery):
		case <-ctx.Done():
		}
	}
}

// behave answers a request that ran.
func (b *Backend) behave(w http.ResponseWriter, _ *http.Request) bool {
	switch Behaviour(b.Mode.Load()) {
	case Failing:
		w.WriteHeader(http.StatusInternalServerError)
	case Unsigned:
		standin.Unsign(w.Header())
		_, _ = w.Write([]byte("bytes that are no answer")) // the node may be gone
	case CutShort:
		w.Header().Set("Content-Length", "5000")
		_, _ = w.Write([]byte("the beginning"))
		panic(http.ErrAbortHandler)
	case Closing:
		panic(http.ErrAbortHandler)
	default:
		return false
	}
	return true
}

// Crash ends the worker without a word.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stop()
	_ = b.server.Close()
}

// Release drains the worker, lets it serve on for a while, and ends it.
func (b *Backend) Release(ctx context.Context, sayDraining bool, serveOn time.Duration) {
	b.mu.Lock()
	announcer, server, worker, stop := b.announcer, b.server, b.worker, b.stop
	b.mu.Unlock()
	stop()
	if sayDraining && announcer.CheckIn(ctx, standin.Draining) {
		b.log.acked(worker)
	}
	if !sayDraining && announcer.Leave(ctx) {
		b.log.acked(worker)
	}
	select {
	case <-time.After(DrainBound + serveOn):
	case <-ctx.Done():
	}
	if sayDraining && announcer.Leave(ctx) {
		b.log.acked(worker)
	}
	_ = server.Close()
}
