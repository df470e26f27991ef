package deployment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slots     = 9
	maxQueued = 18
	heartbeat = 1500 * time.Millisecond
	// ackTimeout is the time within which a check-in must be answered.
	ackTimeout = time.Second
	// workerIdleTimeout is the time after which a worker closes an idle connection.
	workerIdleTimeout = 10 * time.Second
)

// Run is a request that a worker began to run.
type Run struct {
	ID, Method, URI string
	Worker          *Worker
	At              time.Time
}

// Worker is an application worker on the address of its machine.
type Worker struct {
	ID string
	// Work is the time for which a request runs.
	Work time.Duration
	// Answer, unless nil, is called for each request that has run. If it returns true, it has answered in place of the worker.
	Answer func(w http.ResponseWriter, r *http.Request) bool
	// Stream, unless nil, reads and answers each request that runs in place of the worker.
	Stream   func(w http.ResponseWriter, r *http.Request)
	addr     string
	machine  *Machine
	record   *Record
	bornAt   int64
	leaving  atomic.Bool
	running  chan struct{} // one value for each slot in use
	queued   atomic.Int64
	sequence atomic.Int64
	stop     context.CancelFunc // ends the check-ins

	mu   sync.Mutex
	runs []Run
}

func newWorker(record *Record, m *Machine, addr string) (*Worker, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	worker := &Worker{
		ID: "i-" + m.Name, Work: 20 * time.Millisecond, addr: addr, machine: m, record: record,
		bornAt: time.Now().UnixMilli(), running: make(chan struct{}, slots), stop: stop,
	}
	server := &http.Server{Handler: worker, IdleTimeout: workerIdleTimeout}
	go func() { _ = server.Serve(listener) }() // until the process ends
	go worker.sendCheckIns(ctx)
	return worker, nil
}

// Runs returns the requests that began to run, in order.
func (worker *Worker) Runs() []Run {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return append([]Run(nil), worker.runs...)
}

// ServeHTTP implements http.Handler.
func (worker *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("Acacialock-Server-Load", fmt.Sprintf("%d,%d,%d,100", len(worker.running), worker.queued.Load(), slots))
	if r.URL.Path == "/health" {
		header.Set("Acacialock-Instance-Id", worker.ID)
		if worker.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Acacialock-Request-Id")
	header.Set("Acacialock-Request-Id", id)
	if expected := r.Header.Get("Acacialock-Expect-Instance"); expected != "" && expected != worker.ID {
		header.Set("Acacialock-Instance-Id", worker.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		worker.reject(w, http.StatusBadRequest)
		return
	}
	if !worker.acquireSlot(r.Context()) {
		worker.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-worker.running }()
	if worker.Stream != nil {
		worker.recordRun(id, r)
		header.Set("Acacialock-Response-Signature", "signed")
		worker.Stream(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	worker.recordRun(id, r)
	select {
	case <-time.After(worker.Work):
	case <-r.Context().Done():
		return
	}
	header.Set("Acacialock-Response-Signature", "signed")
	if worker.Answer != nil && worker.Answer(w, r) {
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %s", worker.ID, r.Method, r.RequestURI, body)
}

func (worker *Worker) reject(w http.ResponseWriter, status int) {
	w.Header().Set("Acacialock-Not-Executed", "1")
	w.WriteHeader(status)
}

// acquireSlot waits for a slot. It returns false if the queue is full or the caller left.
func (worker *Worker) acquireSlot(ctx context.Context) bool {
	defer worker.queued.Add(-1)
	if worker.queued.Add(1) > maxQueued {
		return false
	}
	select {
	case worker.running <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (worker *Worker) recordRun(id string, r *http.Request) {
	worker.mu.Lock()
	worker.runs = append(worker.runs, Run{id, r.Method, r.RequestURI, worker, time.Now()})
	worker.mu.Unlock()
	worker.record.Logf("run   %s %s %s at %s (%s)", id, r.Method, r.RequestURI, worker.ID, worker.machine.Service)
}

func (worker *Worker) sendCheckIns(ctx context.Context) {
	for ctx.Err() == nil {
		_ = worker.Send(ctx, http.MethodPut, worker.CheckIn("ready"), worker.machine.Control)
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// StopCheckIns ends the periodic check-ins.
func (worker *Worker) StopCheckIns() { worker.stop() }

// SetLeaving makes the health path answer 503, as that of a worker that leaves.
func (worker *Worker) SetLeaving() { worker.leaving.Store(true) }

// CheckIn returns the body of the worker's next check-in.
func (worker *Worker) CheckIn(state string) []byte {
	text, err := json.Marshal(map[string]any{
		"Service": worker.machine.Service, "Address": worker.addr, "Zone": worker.machine.Zone, "Version": "v1", "Slots": slots,
		"State": state, "ColdRemaining": "0ms", "Sequence": worker.sequence.Add(1), "born": worker.bornAt,
	})
	if err != nil {
		panic(err) // plain fields can be encoded
	}
	return text
}

// Departure returns the body of the worker's departure.
func (worker *Worker) Departure() []byte {
	return fmt.Appendf(nil, `{"born":%d}`, worker.bornAt)
}

// Send sends a check-in (PUT) or departure (DELETE) to a control address and returns an error unless it was acknowledged.
func (worker *Worker) Send(ctx context.Context, method string, body []byte, control string) error {
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+control+"/instances/"+worker.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode >= 300 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
