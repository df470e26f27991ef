// Package daemon assembles a node from its roles: control, entry, target side and key ownership.
package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/control"
	"github.com/acacialock/acacialock/internal/entry"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/forward"
	"github.com/acacialock/acacialock/internal/inbound"
	"github.com/acacialock/acacialock/internal/keys"
	"github.com/acacialock/acacialock/internal/peerclient"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/quarantine"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/serving"
	"github.com/acacialock/acacialock/internal/settings"
	"github.com/acacialock/acacialock/internal/telemetry"
)

// minDrainDuration is the minimum time between the start of a drain and the close of the listeners. During that time, nodes
// that missed the announcement receive a refusal instead of a closed connection.
const minDrainDuration = 3 * time.Second

// Timeouts of the handover of keys and of leaving the membership. They are separate, so that a handover that gets no
// response doesn't prevent the node from leaving the membership.
const (
	handoverTimeout = 15 * time.Second
	leaveTimeout    = 5 * time.Second
)

// Daemon is one node.
type Daemon struct {
	settings  *settings.Active
	options   Options
	self      cluster.Member
	view      *cluster.View
	metrics   *telemetry.Registry
	metering  *metering
	peers     *peerclient.Clients
	control   *control.Node
	keys      *keys.Service
	inbound   *inbound.Handler
	entry     *entry.Handler
	policies  *entry.Policies
	transport *forward.Transport
	memory    *callermem.Account // what callers make the process hold
	servers   *serving.Servers
	draining  atomic.Bool
	// ready is set once control is ready and the suspect requests known to other nodes have been loaded. Until then,
	// forwarded requests are refused, since a request that crashes targets would otherwise crash each new instance.
	ready atomic.Bool
}

// Options replaces dependencies of a node. The zero value is for use in production.
type Options struct {
	// Dial opens connections to other nodes and to the platform; nil uses net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// New returns a node with open listeners, which Run serves. It fails if the settings of a role are invalid or a listener
// can't be opened.
func New(set *settings.Settings, options Options) (*Daemon, error) {
	d := &Daemon{settings: settings.NewActive(set), options: options, self: set.NewMember(), metrics: telemetry.New()}
	d.memory = callermem.NewAccount(set.CallerBounds().Memory)
	d.view = cluster.NewView(&cluster.Snapshot{Self: d.self})
	d.metering = &metering{byteBudget: budget.NewByteBudget(defaultLimits, nil), view: d.view}
	d.peers = peerclient.New(options.Dial, func(next http.RoundTripper) http.RoundTripper {
		d.metering.next = next
		return d.metering
	})
	client := platform.NewClient(platform.Config{
		Addr:             set.PlatformAddr,
		TryTimeout:       set.PlatformTryTimeout,
		OperationTimeout: set.PlatformOperationTimeout,
		Dial:             options.Dial,
		Metrics:          d.metrics,
	})
	for _, build := range []func(*platform.Client) error{d.newTargetSide, d.newControl, d.newEntry} {
		if err := build(client); err != nil {
			return nil, err
		}
	}
	servers, err := d.listen()
	if err != nil {
		return nil, eris.Wrap(err, "open listeners")
	}
	d.servers = servers
	return d, nil
}

// keyedAttempts provides the keyed attempts of the target side to the key service.
type keyedAttempts struct{ inbound *inbound.Handler }

func (k keyedAttempts) KeyedAttempts() []keys.KeyedAttempt {
	inboundAttempts := k.inbound.KeyedAttempts()
	attempts := make([]keys.KeyedAttempt, len(inboundAttempts))
	for i, attempt := range inboundAttempts {
		attempts[i] = keys.KeyedAttempt{
			Key:         attempt.Key,
			Fingerprint: attempt.Fingerprint,
			Attempt:     attempt.Attempt[:],
			Owner:       attempt.Owner,
			Version:     attempt.RosterVersion,
			Age:         attempt.Age,
			State:       attempt.State,
			Answer:      attempt.Answer,
		}
	}
	return attempts
}

// keyGate resolves the circular dependency between the target side, which checks with the key service before a dispatch, and
// the key service, which reads the target side's attempts.
type keyGate struct{ daemon *Daemon }

func (g keyGate) Check(service, key, owner string, rosterVersion uint64) (time.Time, *failure.Error) {
	return g.daemon.keys.Check(service, key, owner, rosterVersion)
}

func (d *Daemon) newTargetSide(client *platform.Client) error {
	d.inbound = inbound.New(inbound.Config{
		Self:            d.self,
		View:            d.view,
		TargetAddr:      d.settings.TargetAddr,
		Metrics:         d.metrics,
		KeyGate:         keyGate{d},
		Peers:           quarantine.NewPeers(d.view, d.peers.Pooled),
		HealthPath:      d.settings.TargetHealthPath,
		AllowLoadSample: d.metering.chargeSample,
		Memory:          d.memory,
	})
	service, err := keys.New(keys.Config{
		Self:    d.self,
		View:    d.view,
		Table:   client,
		Metrics: d.metrics,
		Keys:    d.peers.Keys,
		Runner:  keyedAttempts{d.inbound},
	})
	d.keys = service
	return err
}

func (d *Daemon) newKeysClient(client *platform.Client) *keys.Client {
	return keys.NewClient(keys.ClientConfig{Self: d.self, View: d.view, Table: client, Keys: d.peers.Keys})
}

func (d *Daemon) newControl(client *platform.Client) error {
	node, err := control.New(control.Config{
		Self:              d.self,
		Seeds:             d.settings.Seeds,
		EntryServices:     d.settings.EntryServices,
		Table:             client,
		Objects:           client.Objects(),
		ParseList:         servicelist.Parse,
		Client:            d.peers.Control,
		View:              d.view,
		Metrics:           d.metrics,
		OnRosterConfirmed: d.keys.ConfirmRoster,
		Refusals:          d.refusals,
		Seed:              randomSeed(),
	})
	d.control = node
	return err
}

func (d *Daemon) newEntry(client *platform.Client) error {
	d.transport = forward.New(forward.Config{Dial: d.options.Dial, Metrics: d.metrics})
	d.policies = entry.NewPolicies(entry.PoliciesConfig{
		Self:           d.self,
		Probe:          d.peers.Probe,
		CheckReachable: d.peers.CanConnect,
		ByteBudget:     d.metering.byteBudget,
		Transport:      d.transport,
		Metrics:        d.metrics,
	})
	d.entry = entry.New(entry.Config{
		View:      d.view,
		Transport: d.transport,
		Policies:  d.policies,
		Attempts:  d.peers.AttemptsUnpooled,
		Keys:      d.newKeysClient(client),
		Metrics:   d.metrics,
	})
	return nil
}

// Run serves until ctx ends, then drains and leaves the membership. It returns nil after a complete drain, and an error if
// requests were still in flight at the drain timeout or a part of the node failed.
func (d *Daemon) Run(ctx context.Context) error {
	klog.Infof("node %s serves service %s: entry %s, peers %s, admin %s", d.self.ID, d.self.Service,
		d.settings.EntryAddr, d.settings.PeerAddr, d.settings.AdminAddr)
	parts := []serving.Part{
		d.control.Run,
		serving.Infallible(d.keys.Run),
		serving.Infallible(d.inbound.WatchHealth),
		serving.Infallible(d.refreshPeriodically),
		serving.Infallible(d.markReadyAfterStart),
	}
	return serving.Run(ctx, append(parts, d.servers.Parts()...), d.drain, d.close)
}

// readyPollInterval is the interval at which markReadyAfterStart checks whether control is ready.
const readyPollInterval = 20 * time.Millisecond

// markReadyAfterStart waits until control is ready, loads the suspects known to other nodes, and then admits forwarded
// requests.
func (d *Daemon) markReadyAfterStart(ctx context.Context) {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for !d.control.Status().Ready {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	d.inbound.FetchSuspects(ctx)
	d.ready.Store(true)
}

// refreshInterval bounds how long a node without calls uses outdated budgets.
const refreshInterval = time.Second

// refreshPeriodically updates the policies from the current snapshot and publishes gauges, every refreshInterval until ctx
// ends.
func (d *Daemon) refreshPeriodically(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		d.policies.Update(d.view.Load())
		d.metering.publish(d.metrics)
		d.servers.PublishCallers(d.metrics)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Reload applies a changed drain timeout at once. Other settings take effect at the next start.
func (d *Daemon) Reload(changed *settings.Settings) {
	d.settings.ApplyChanges(changed)
}

// drain refuses new requests, waits for those in flight, hands over keys and leaves the membership. It fails if requests are
// still in flight at the drain timeout.
func (d *Daemon) drain() error {
	klog.Infof("node %s is draining", d.self.ID)
	started := time.Now()
	d.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.CurrentDrainTimeout())
	defer cancel()
	go d.control.SetDraining()
	drained := d.inbound.Drain(ctx)
	if err := runWithTimeout(handoverTimeout, d.keys.Leave); err != nil {
		klog.Warningf("node %s left without handing over all keys: %v", d.self.ID, err)
	}
	if err := runWithTimeout(leaveTimeout, d.control.Leave); err != nil {
		klog.Warningf("node %s left without notifying a leader: %v", d.self.ID, err)
	}
	time.Sleep(minDrainDuration - time.Since(started))
	if err := d.servers.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "requests were still in flight at the drain timeout")
	}
	return eris.Wrap(drained, "requests were still in flight at the drain timeout")
}

func runWithTimeout(timeout time.Duration, work func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return work(ctx)
}

func (d *Daemon) close() {
	d.servers.Close()
	d.policies.Close()
	d.transport.Close()
	d.inbound.Close()
	d.peers.Close()
}

// refusals returns the number of refusals since the start, which heartbeats report.
func (d *Daemon) refusals() uint64 { return uint64(d.metrics.SumPrefix("refusal.")) }

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // crypto/rand.Read never fails
	return binary.LittleEndian.Uint64(seed[:])
}
