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
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/timing"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// reportTimeout bounds a report and its answer.
	reportTimeout = 400 * time.Millisecond
	// snapshotInterval is the time between two checks for tenants with a rate while there are none.
	snapshotInterval = time.Second
	// maxEventsPerSecond bounds the log lines about limited tenants.
	maxEventsPerSecond = 5
)

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
	now := timing.SinceBoot()
	a.refreshList()
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
	a.refreshList()
	if a.state.giveBack(newTenantID(tenant.Name), timing.SinceBoot()) {
		a.config.Metrics.Counter("allotment.returned").Inc(1)
	}
}

func (a *Allotments) signal() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// refreshList configures the state if the service list has changed. Changes of the members wait for the next report, so that
// requests don't wait for the ranking of many members. The mutex is held.
func (a *Allotments) refreshList() {
	if a.snapshot == nil || a.snapshot.List != a.config.View.Load().List {
		a.refresh()
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
	wasIdle := a.state.idle()
	a.state.configure(tenants, members, snapshot.Self)
	if wasIdle && !a.state.idle() {
		a.signal() // until the first answer, the node admits its own part only
	}
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
	now := timing.SinceBoot()
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
	if sent.link == nil {
		a.sendLimits(ctx, sent)
		return
	}
	body := sent.report.encode()
	a.config.Metrics.Counter("allotment.reports").Inc(1)
	a.config.Metrics.Counter("allotment.report_bytes").Inc(int64(len(body)))
	reply, err := a.exchange(ctx, sent.addr+wire.AllotmentPath, body)
	a.mu.Lock()
	defer a.mu.Unlock()
	switch now := timing.SinceBoot(); {
	case err == nil:
		a.state.answered(sent, reply, now)
	case errors.Is(err, errRefused):
		a.state.refused(sent, now)
	case errors.Is(err, syscall.ECONNREFUSED):
		a.config.Metrics.Counter("allotment.reports_failed").Inc(1)
		a.state.receiverGone(sent, now)
	default:
		a.config.Metrics.Counter("allotment.reports_failed").Inc(1)
		a.state.failed(sent, now)
	}
	a.signal()
}

// sendLimits sends limits to a node that reports to this one. If they don't arrive, the node learns them with the answer to
// its next report.
func (a *Allotments) sendLimits(ctx context.Context, sent outgoing) {
	a.config.Metrics.Counter("allotment.pushes").Inc(1)
	if _, err := a.exchange(ctx, sent.addr+wire.AllotmentLimitsPath, sent.limits.encode()); err != nil {
		a.config.Metrics.Counter("allotment.pushes_failed").Inc(1)
	}
}

// exchange sends an encoded message to a URL without scheme and returns the answer.
func (a *Allotments) exchange(ctx context.Context, url string, body []byte) (*answer, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(body))
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

// Handler returns the handler of wire.AllotmentPath, which takes the reports of other nodes, and of wire.AllotmentLimitsPath,
// which takes the limits from the node to which this one reports. It responds with 400 to a message that can't be decoded,
// and with 409 to a report whose sender has to choose another receiver.
func (a *Allotments) Handler() http.Handler {
	return http.MaxBytesHandler(http.HandlerFunc(a.serveMessage), maxMessageBytes)
}

func (a *Allotments) serveMessage(w http.ResponseWriter, request *http.Request) {
	data, err := io.ReadAll(request.Body)
	if err != nil {
		http.Error(w, "the message can't be read", http.StatusBadRequest)
		return
	}
	receive := a.receive
	if request.URL.Path == wire.AllotmentLimitsPath {
		receive = a.receiveLimits
	}
	reply, err := receive(data)
	header := w.Header()
	header["Date"], header["Content-Type"] = nil, nil // each byte between regions is billed
	switch {
	case errors.Is(err, errRefused):
		w.WriteHeader(http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		_, _ = w.Write(reply.encode()) // the sender notices if it doesn't arrive
	}
}

// receive applies an encoded report.
func (a *Allotments) receive(data []byte) (*answer, error) {
	received, err := decodeReport(data)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh()
	reply, ok := a.state.receive(received, timing.SinceBoot())
	if a.state.urgent() {
		a.signal()
	}
	if !ok {
		return nil, errRefused
	}
	return reply, nil
}

// receiveLimits applies an encoded push.
func (a *Allotments) receiveLimits(data []byte) (*answer, error) {
	told, err := decodePush(data)
	if err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh()
	a.state.receivePush(told, timing.SinceBoot())
	if a.state.urgent() {
		a.signal()
	}
	return &answer{}, nil
}
