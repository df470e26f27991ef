// Package allotment enforces the request rates of tenants over all nodes. The nodes report their counts up a tree, which
// the ranking of the members defines, and the best node of each region says which part of a tenant's demand is admitted.
// See docs/design/allotments.md.
package allotment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// reportTimeout bounds a report and its answer.
	reportTimeout = 500 * time.Millisecond
	// snapshotInterval is the time between two checks for tenants with a rate while there are none.
	snapshotInterval = time.Second
	// maxEventsPerSecond bounds the log lines about limited tenants.
	maxEventsPerSecond = 5
)

var processStart = time.Now()

// sinceStart returns the time since the process started.
func sinceStart() time.Duration { return time.Since(processStart) }

// errRefused is the error of a report that the receiver doesn't take.
var errRefused = errors.New("the node takes no reports now")

// Config configures Allotments. All fields are required.
type Config struct {
	// Name is the name of the node, which stays the same over restarts.
	Name    string
	View    *cluster.View
	Peers   *http.Client // to the peer listeners of other nodes
	Metrics *telemetry.Registry
}

// Allotments admits the requests of tenants. It implements entry.Allotments and is safe for concurrent use. While the
// service list has no tenant with a rate, it sends nothing.
type Allotments struct {
	config Config
	wake   chan struct{} // has a buffer of 1

	mu       sync.Mutex
	state    *state
	snapshot *cluster.Snapshot // that state is configured for
	logged   int               // events in the second that began at logSince
	logSince time.Duration
}

// New returns Allotments. Run sends the reports.
func New(config Config) *Allotments {
	return &Allotments{
		config: config,
		wake:   make(chan struct{}, 1),
		state:  newState(config.Name, rand.Uint64(), rand.Float64),
	}
}

// Admit implements entry.Allotments.
func (a *Allotments) Admit(tenant *servicelist.Tenant) (retryAfter time.Duration, ok bool) {
	if tenant.Rate <= 0 {
		return 0, true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := sinceBoot()
	a.refresh()
	if retryAfter, ok = a.state.admit(newTenantID(tenant.Name), tenant, now); ok {
		a.config.Metrics.Counter("allotment.admitted").Inc(1)
	} else {
		a.config.Metrics.Counter("allotment.refused").Inc(1)
	}
	if a.state.urgent() {
		a.signal()
	}
	return retryAfter, ok
}

// Return implements entry.Allotments.
func (a *Allotments) Return(tenant *servicelist.Tenant) {
	if tenant.Rate <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh()
	if a.state.giveBack(newTenantID(tenant.Name), tenant, sinceBoot()) {
		a.config.Metrics.Counter("allotment.returned").Inc(1)
	}
}

func (a *Allotments) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// refresh configures the state for the latest snapshot. The mutex is held.
func (a *Allotments) refresh() {
	snapshot := a.config.View.Load()
	if snapshot == a.snapshot {
		return
	}
	a.snapshot = snapshot
	tenants := map[tenantID]*servicelist.Tenant{}
	if snapshot.List != nil {
		for tenant := range snapshot.List.Tenants.All {
			if tenant.Rate > 0 {
				tenants[newTenantID(tenant.Name)] = tenant
			}
		}
	}
	var members []cluster.Member
	if len(tenants) > 0 {
		for _, ofService := range snapshot.Members {
			members = append(members, ofService...)
		}
	}
	a.state.configure(tenants, members, snapshot.Self)
}

// Run sends reports until ctx ends.
func (a *Allotments) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-a.wake:
		}
		reports, pause := a.poll()
		for _, sent := range reports {
			sends.Go(func() { a.send(ctx, sent) })
		}
		timer.Reset(pause)
	}
}

// poll returns the reports that are due, and the time until the next call.
func (a *Allotments) poll() (reports []outgoing, pause time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh()
	if a.state.idle() {
		return nil, snapshotInterval
	}
	now := sinceBoot()
	reports, next := a.state.poll(now)
	a.report(now)
	return reports, max(next-now, urgentInterval/10)
}

// report updates the metrics and logs what changed. The mutex is held.
func (a *Allotments) report(now time.Duration) {
	metrics := a.config.Metrics
	metrics.Gauge("allotment.limited_tenants").Update(a.state.limitedTenants())
	metrics.Counter("allotment.fallback").Inc(a.state.fallbacks)
	metrics.Counter("allotment.coordinator_changes").Inc(a.state.changes)
	a.state.fallbacks, a.state.changes = 0, 0
	if now-a.logSince >= time.Second {
		a.logged, a.logSince = 0, now
	}
	for _, event := range a.state.takeEvents() {
		if a.logged++; a.logged > maxEventsPerSecond {
			continue
		}
		if event.limited {
			klog.InfoS("tenant limited", "tenant", event.tenant, "retry_after", event.retryAfter, "alone", event.fallback)
		} else {
			klog.InfoS("tenant no longer limited", "tenant", event.tenant, "refused", event.refused)
		}
	}
}

// send sends a report and applies its answer.
func (a *Allotments) send(ctx context.Context, sent outgoing) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	body := sent.report.encode()
	a.config.Metrics.Counter("allotment.reports").Inc(1)
	a.config.Metrics.Counter("allotment.report_bytes").Inc(int64(len(body)))
	reply, err := a.exchange(ctx, sent.to.PeerAddr, body)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch now := sinceBoot(); {
	case err == nil:
		a.state.answered(sent, reply, now)
	case errors.Is(err, errRefused):
		a.state.refused(sent, now)
	default:
		a.config.Metrics.Counter("allotment.reports_failed").Inc(1)
		a.state.failed(sent, now)
	}
	a.signal()
}

// exchange sends an encoded report to a node and returns the answer.
func (a *Allotments) exchange(ctx context.Context, addr string, body []byte) (*answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+wire.AllotmentPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header["User-Agent"] = nil // each byte between regions is billed
	response, err := a.config.Peers.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // it was read
	data, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes+1))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode == http.StatusConflict:
		return nil, errRefused
	case response.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %d", response.StatusCode)
	case len(data) > maxMessageBytes:
		return nil, errMalformed
	}
	return decodeAnswer(data)
}

// Handler returns the handler of wire.AllotmentPath, which takes the reports of other nodes. It responds with 400 to a
// report that can't be decoded, and with 409 if the sender has to choose another receiver.
func (a *Allotments) Handler() http.Handler {
	return http.MaxBytesHandler(http.HandlerFunc(a.serveReport), maxMessageBytes)
}

func (a *Allotments) serveReport(w http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(w, "the report can't be read", http.StatusBadRequest)
		return
	}
	received, err := decodeReport(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	header := w.Header()
	header["Date"], header["Content-Type"] = nil, nil // each byte between regions is billed
	reply, ok := a.receive(received)
	if !ok {
		w.WriteHeader(http.StatusConflict)
		return
	}
	_, _ = w.Write(reply.encode()) // the sender notices if it doesn't arrive
}

func (a *Allotments) receive(received *report) (*answer, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh()
	reply, ok := a.state.receive(received, sinceBoot())
	if a.state.urgent() {
		a.signal()
	}
	return reply, ok
}
