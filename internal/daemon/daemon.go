// Package daemon wires the roles of one node: control, entry, the target's side and key ownership.
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

// lameDuck is the least time between the start of a drain and the end of the listeners. Nodes that missed the
// announcement are still refused in that time instead of finding a closed connection.
const lameDuck = 3 * time.Second

// Bounds of the handover of keys and of the departure from the membership. Each has its own, so that a handover without
// an answer doesn't keep the node from leaving the membership.
const (
	handoverTimeout = 15 * time.Second
	leaveTimeout    = 5 * time.Second
)

// Daemon is one node.
type Daemon struct {
	settings  *settings.InForce
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
	servers   *serving.Servers
	draining  atomic.Bool
	// ready is set once control is ready and the suspects that other nodes know were taken over. Forwarded requests are
	// refused before, or a request that crashes targets would take down each new instance.
	ready atomic.Bool
}

// Options changes what a node is built from; the zero value is for use in production.
type Options struct {
	// Dial opens connections to other nodes and to the platform; nil uses net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// New builds a node and opens its listeners.
func New(set *settings.Settings, options Options) (*Daemon, error) {
	d := &Daemon{settings: settings.Start(set), options: options, self: set.NewMember(), metrics: telemetry.New()}
	d.view = cluster.NewView(&cluster.Snapshot{Self: d.self})
	d.metering = &metering{bytes: budget.NewBytes(defaultLimits, nil), view: d.view}
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
	opened, err := d.listen()
	if err != nil {
		return nil, eris.Wrap(err, "open listeners")
	}
	d.servers = opened
	return d, nil
}

// keyedAttempts lists the target side's keyed attempts for key ownership.
type keyedAttempts struct{ inbound *inbound.Handler }

func (k keyedAttempts) KeyedAttempts() []keys.KeyedAttempt {
	listed := k.inbound.KeyedAttempts()
	attempts := make([]keys.KeyedAttempt, len(listed))
	for i, one := range listed {
		attempts[i] = keys.KeyedAttempt{
			Key:         one.Key,
			Fingerprint: one.Fingerprint,
			Attempt:     one.Attempt[:],
			Owner:       one.Owner,
			Version:     one.RosterVersion,
			Age:         one.Age,
			State:       one.State,
			Answer:      one.Answer,
		}
	}
	return attempts
}

// keyGate breaks the cycle between the target's side, which asks key ownership before a dispatch, and key ownership,
// which lists the target side's attempts.
type keyGate struct{ daemon *Daemon }

func (g keyGate) Check(service, key, owner string, rosterVersion uint64) (time.Time, *failure.Error) {
	return g.daemon.keys.Check(service, key, owner, rosterVersion)
}

func (d *Daemon) newTargetSide(client *platform.Client) error {
	d.inbound = inbound.New(inbound.Config{
		Self:       d.self,
		View:       d.view,
		TargetAddr: d.settings.TargetAddr,
		Metrics:    d.metrics,
		Gate:       keyGate{d},
		Peers:      quarantine.NewPeers(d.view, d.peers.Kept),
		HealthPath: d.settings.TargetHealthPath,
		MaySample:  d.metering.sample,
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
		Self:            d.self,
		Seeds:           d.settings.Seeds,
		EntryServices:   d.settings.EntryServices,
		Table:           client,
		Objects:         client.Objects(),
		ParseList:       servicelist.Parse,
		Client:          d.peers.Control,
		View:            d.view,
		Metrics:         d.metrics,
		OnRosterVersion: d.keys.ConfirmRoster,
		Refusals:        d.refusals,
		Seed:            randomSeed(),
	})
	d.control = node
	return err
}

func (d *Daemon) newEntry(client *platform.Client) error {
	d.transport = forward.New(forward.Config{Dial: d.options.Dial, Metrics: d.metrics})
	d.policies = entry.NewPolicies(entry.PoliciesConfig{
		Self:      d.self,
		Probe:     d.peers.Probe,
		Reach:     d.peers.Reach,
		Bytes:     d.metering.bytes,
		Transport: d.transport,
		Metrics:   d.metrics,
	})
	d.entry = entry.New(entry.Config{
		View:      d.view,
		Transport: d.transport,
		Policies:  d.policies,
		Attempts:  d.peers.AttemptsOnNewConnection,
		Keys:      d.newKeysClient(client),
		Metrics:   d.metrics,
	})
	return nil
}

// Run serves until ctx ends, then drains and leaves. It returns nil after a complete drain.
func (d *Daemon) Run(ctx context.Context) error {
	klog.Infof("node %s serves service %s: entry %s, peers %s, admin %s", d.self.ID, d.self.Service,
		d.settings.EntryAddr, d.settings.PeerAddr, d.settings.AdminAddr)
	parts := []serving.Part{
		d.control.Run,
		serving.Until(d.keys.Run),
		serving.Until(d.inbound.WatchHealth),
		serving.Until(d.refresh),
		serving.Until(d.becomeReady),
	}
	return serving.Run(ctx, append(parts, d.servers.Parts()...), d.drain, d.close)
}

// readyPoll is the interval at which the start is checked for its end.
const readyPoll = 20 * time.Millisecond

// becomeReady admits forwarded requests once the start is complete.
func (d *Daemon) becomeReady(ctx context.Context) {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !d.control.Status().Ready {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	d.inbound.TakeOverSuspects(ctx)
	d.ready.Store(true)
}

// refreshInterval bounds how long a node without calls goes on with older budgets.
const refreshInterval = time.Second

// refresh takes over new snapshots and publishes gauges until ctx ends.
func (d *Daemon) refresh(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		d.policies.Update(d.view.Load())
		d.metering.publish(d.metrics)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Reload takes over a changed drain timeout at once; other settings take effect at the next start.
func (d *Daemon) Reload(changed *settings.Settings) {
	d.settings.Take(changed)
}

// drain refuses new work, finishes what is in flight, hands keys over and leaves.
func (d *Daemon) drain() error {
	klog.Infof("node %s drains", d.self.ID)
	started := time.Now()
	d.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain())
	defer cancel()
	go d.control.SetDraining()
	drained := d.inbound.Drain(ctx)
	if err := within(handoverTimeout, d.keys.Leave); err != nil {
		klog.Warningf("node %s left without handing over all keys: %v", d.self.ID, err)
	}
	if err := within(leaveTimeout, d.control.Leave); err != nil {
		klog.Warningf("node %s left without telling a leader: %v", d.self.ID, err)
	}
	time.Sleep(lameDuck - time.Since(started))
	if err := d.servers.Shutdown(ctx); err != nil {
		return eris.Wrap(err, "requests were still in flight at the drain timeout")
	}
	return eris.Wrap(drained, "requests were still in flight at the drain timeout")
}

// within runs work with a time limit.
func within(limit time.Duration, work func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
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

// refusals is the total of refusals since the start, for the heartbeat.
func (d *Daemon) refusals() uint64 { return uint64(d.metrics.Sum("refusal.")) }

func randomSeed() uint64 {
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // crypto/rand.Read never fails
	return binary.LittleEndian.Uint64(seed[:])
}
