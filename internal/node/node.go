// Package node wires a node on a platform whose store can be followed: the callers' side, the target's side and the
// directory of members. There is no leader; each node writes the row of its own target and follows the others.
package node

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/entry"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/forward"
	"github.com/acacialock/acacialock/internal/framing"
	"github.com/acacialock/acacialock/internal/inbound"
	"github.com/acacialock/acacialock/internal/membership"
	"github.com/acacialock/acacialock/internal/peerclient"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/quarantine"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/serving"
	"github.com/acacialock/acacialock/internal/settings"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/timing"
	"github.com/acacialock/acacialock/internal/wire"
)

// Platform translates between a node and the platform that it runs on. It decides nothing.
type Platform interface {
	Store() platform.Feed
	// List tells where the service list lies.
	List() membership.ListSource
	// Callers translates the requests of callers before next serves them. service is the one of the local target.
	Callers(service string, next http.Handler) http.Handler
	// Refuse writes the header of a failure in the callers' form and returns its status.
	Refuse(header http.Header, failed *failure.Error) int
	// RequestID is the header by which callers name a request.
	RequestID() string
	// Target returns the protocol of the target with that id.
	Target(id string) inbound.TargetProtocol
	// Serves reports whether an answer of a target's health path says that the target with that id goes on to serve.
	Serves(answer *http.Response, targetID string) bool
	// CheckIns serves the announcements of the local target.
	CheckIns(to Registrar) http.Handler
	// ReadyPath is the path on the admin listener that tells whether callers may be sent to the node.
	ReadyPath() string
	// Reload takes over changed settings; later calls of List give their form of the list.
	Reload(changed *settings.Settings)
	Close()
}

const (
	// zoneCost is about the difference in the expected answer time that noise makes; calls then leave their zone for less
	// waiting only. 30 ms halved the bytes between zones on hqbw-mesh-grown without later answers (docs/measurements.md).
	zoneCost = 30 * time.Millisecond
	// callersLeave is the time that callers may go on to arrive after the node stopped being ready: two questions a second
	// apart, and one in flight.
	callersLeave = 3 * time.Second
	// targetServes is the time that a stopping node goes on to send new requests to its target, when that stays. Refusing at once
	// took each target out for 3 s of a roll. It is half of callersLeave, which a node waits anyway, and leaves 3.5 s of the
	// shortest drain timeout of the platforms, 6 s, for requests in flight.
	targetServes = 1500 * time.Millisecond
	// targetShare is the part of the drain timeout that targetServes may take at most.
	targetShare = 4
	// exitMargin is left of the drain timeout for the end of the process.
	exitMargin = 700 * time.Millisecond
	// answerMargin is left before that for the answers of calls that are given up because the node stops. It covers a
	// question to a target's node.
	answerMargin = 250 * time.Millisecond
	// leaveTimeout bounds the removal of the own row at the end.
	leaveTimeout = 500 * time.Millisecond
)

// Node is one node.
type Node struct {
	settings  *settings.InForce
	platform  Platform
	self      cluster.Member // without the number of the target's boot in its id
	view      *cluster.View
	metrics   *telemetry.Registry
	directory *membership.Directory
	peers     *peerclient.Clients
	transport *forward.Transport
	policies  *entry.Policies
	entry     *entry.Handler
	target    *localTarget
	servers   *serving.Servers
	draining  atomic.Bool
}

// New builds a node and opens its listeners.
func New(set *settings.Settings, on Platform) (*Node, error) {
	n := &Node{settings: settings.Start(set), platform: on, self: set.NewMember(), metrics: telemetry.New()}
	n.view = cluster.NewView(&cluster.Snapshot{Self: n.self})
	n.peers = peerclient.New(nil, nil)
	n.directory = membership.New(membership.Config{
		Name:    set.Name,
		Self:    n.self,
		Store:   on.Store(),
		List:    on.List(),
		View:    n.view,
		Peers:   n.peers.Kept,
		Metrics: n.metrics,
	})
	n.transport = forward.New(forward.Config{Metrics: n.metrics})
	n.policies = entry.NewPolicies(entry.PoliciesConfig{
		Self:      n.self,
		Bytes:     budget.NewBytes(budget.Limits{}, nil),
		Reach:     n.peers.Reach,
		Transport: n.transport,
		Metrics:   n.metrics,

		StayInRegion: true,
		ZoneCost:     zoneCost,
	})
	n.entry = entry.New(entry.Config{
		View:      n.view,
		Transport: n.transport,
		Policies:  n.policies,
		Attempts:  n.peers.AttemptsOnNewConnection,
		Metrics:   n.metrics,
		Refuse:    on.Refuse,
		RequestID: on.RequestID(),
	})
	n.target = &localTarget{node: n}
	opened, err := n.listen()
	if err != nil {
		return nil, err
	}
	n.servers = opened
	return n, nil
}

func (n *Node) newHandler(member cluster.Member, announced *CheckIn) *inbound.Handler {
	return inbound.New(inbound.Config{
		Self:          member,
		View:          n.view,
		TargetAddr:    n.settings.TargetAddr,
		Metrics:       n.metrics,
		Peers:         quarantine.NewPeers(n.view, n.peers.Kept),
		Protocol:      n.platform.Target(announced.TargetID),
		RequestID:     n.platform.RequestID(),
		Slots:         announced.Slots,
		OnFullSpeed:   n.target.foundFullSpeed,
		OnWrongTarget: func() { n.target.wrongTarget(announced.TargetID) },
		Cold:          announced.Cold,
		ReadAhead:     readAheadBytes,
	})
}

func (n *Node) listen() (*serving.Servers, error) {
	callers := n.platform.Callers(n.settings.Service, n.entry)
	return serving.Open(
		serving.Listener{
			Name: "entry", Addr: n.settings.EntryAddr, Limits: n.entry.CallerLimits, Drains: true,
			Handler: framing.Handler(framing.CloseWhile(&n.draining, callers), n.entry.RefuseHeader),
		},
		serving.Listener{Name: "peer", Addr: n.settings.PeerAddr, Handler: n.peerHandler(), Drains: true},
		serving.Listener{Name: "admin", Addr: n.settings.AdminAddr, Handler: n.adminHandler()},
		serving.Listener{Name: "check-in", Addr: n.settings.CheckInAddr, Handler: n.platform.CheckIns(n.target)},
	)
}

// peerHandler serves other nodes. Forwarded paths go past the mux, which would redirect paths with "//" or "..".
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	for _, service := range []rpc.TwirpServer{
		rpc.NewLoadServer(n.target),
		rpc.NewAttemptsServer(n.target),
		rpc.NewQuarantineServer(n.target),
	} {
		mux.Handle(service.PathPrefix(), service)
	}
	mux.HandleFunc("GET "+wire.StatePath, n.serveState)
	mux.Handle("GET "+wire.FollowPath, n.directory.FollowHandler())
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, wire.ForwardPath+"/") {
			n.target.ServeHTTP(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// adminHandler serves metrics, health and readiness.
func (n *Node) adminHandler() http.Handler {
	ready := func(w http.ResponseWriter, _ *http.Request) {
		if !n.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", n.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", ready)
	mux.HandleFunc("GET "+n.platform.ReadyPath(), ready)
	return mux
}

// Run serves until ctx ends, then drains. It returns nil after a complete drain.
func (n *Node) Run(ctx context.Context) error {
	klog.InfoS("started", "node", n.self.ID, "service", n.self.Service, "zone", n.self.Zone, "region", n.self.Region,
		"entry", n.settings.EntryAddr, "peer", n.settings.PeerAddr)
	parts := []serving.Part{n.directory.Run, serving.Until(n.loadTarget)}
	return serving.Run(ctx, append(parts, n.servers.Parts()...), n.drain, n.close)
}

// Snapshot is what the node knows now.
func (n *Node) Snapshot() *cluster.Snapshot { return n.view.Load() }

// Reload takes over changed settings: the drain timeout and the terms of retries at once, others at the next start.
func (n *Node) Reload(changed *settings.Settings) {
	n.settings.Take(changed)
	n.platform.Reload(changed)
	n.directory.Reparse()
}

// loadTarget serves the local target once the members are known.
func (n *Node) loadTarget(ctx context.Context) {
	select {
	case <-n.directory.Loaded():
	case <-ctx.Done():
		return
	}
	earlier := n.directory.OwnRow()
	n.target.load(earlier)
	select {
	case <-n.directory.Listed():
		n.target.resume(ctx, earlier)
	case <-ctx.Done():
	}
}

// drain serves the local target a while longer and callers until they have left, and finishes what is in flight.
func (n *Node) drain() error {
	started := time.Now()
	klog.InfoS("stopping", "node", n.self.ID, "target_left", n.target.left())
	n.draining.Store(true)
	n.directory.StopServing()
	end := started.Add(n.settings.Drain() - exitMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	n.entry.StopBy(end.Add(-answerMargin))
	if n.target.left() {
		n.leave()
	} else {
		_ = timing.Sleep(ctx, min(targetServes, n.settings.Drain()/targetShare)) // the end of ctx ends the drain below
	}
	n.target.stop()
	_ = timing.Sleep(ctx, callersLeave-time.Since(started))
	failed := n.servers.Shutdown(ctx)
	klog.InfoS("stopped", "node", n.self.ID, "after", time.Since(started).Round(time.Millisecond), "complete", failed == nil)
	return failed
}

// leave removes the node's row, which would else stay for ever.
func (n *Node) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := n.directory.Leave(ctx); err != nil {
		klog.InfoS("own row not removed", "node", n.self.ID, "err", err.Error())
	}
}

func (n *Node) close() {
	n.servers.Close()
	n.policies.Close()
	n.transport.Close()
	n.target.close()
	n.peers.Close()
	n.platform.Close()
}
