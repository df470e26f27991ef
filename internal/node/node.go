// Package node assembles a node for a platform whose store publishes changes: the entry for callers, the handlers of
// the local target and the member directory. There is no leader; each node writes the row of its own target and follows
// the rows of the others.
package node

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/allotment"
	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/callermem"
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

// Platform translates between a node and the platform on which it runs. It contains no policy of its own.
type Platform interface {
	// Store returns the store that holds the member rows and the service list.
	Store() platform.Feed
	// List returns the location of the service list in the store and its parser.
	List() membership.ListSource
	// CallerHandler translates callers' requests and passes them to next. service is the service of the local target.
	CallerHandler(service string, next http.Handler) http.Handler
	// WriteRefusal sets the response headers for a failure in the form that callers expect and returns the status.
	WriteRefusal(header http.Header, failed *failure.Error) int
	// RequestIDHeader returns the name of the header in which callers give the id of a request.
	RequestIDHeader() string
	// Protocol returns the protocol for requests to the target with the given id.
	Protocol(targetID string) inbound.TargetProtocol
	// IsServing reports whether a response from the health path comes from the target with the given id and shows
	// that it continues to serve.
	IsServing(response *http.Response, targetID string) bool
	// CheckInHandler serves the check-ins and the departure of the local target and passes them to registrar.
	CheckInHandler(registrar Registrar) http.Handler
	// ReadinessPath returns the path on the admin listener that answers 200 while callers may be sent to the node.
	ReadinessPath() string
	// Reload applies changed settings. The parser that List returns uses them from then on.
	Reload(changed *settings.Settings)
	// Close releases the platform's connections.
	Close()
}

const (
	// crossZoneCost is the advantage in expected response time that a target in another zone must have. It is about as
	// large as the noise in these estimates, so that calls leave their zone only for shorter waits. 30 ms halved the
	// bytes between zones on hqbw-mesh-grown without later responses (docs/measurements.md).
	crossZoneCost = 30 * time.Millisecond
	// rowRemovalTimeout bounds the removal of the node's own row at shutdown.
	rowRemovalTimeout = 500 * time.Millisecond
)

// Node is the node of one target: it serves callers, forwards their requests to the nodes of the chosen targets, and
// passes forwarded requests to the local target.
type Node struct {
	settings   *settings.Active
	platform   Platform
	self       cluster.Member // its ID lacks the number of the target's boot
	view       *cluster.View
	metrics    *telemetry.Registry
	directory  *membership.Directory
	peers      *peerclient.Clients
	transport  *forward.Transport
	policies   *entry.Policies
	allotments *allotment.Allotments
	entry      *entry.Handler
	target     *localTarget
	memory     *callermem.Account // what callers make the process hold
	servers    *serving.Servers
	draining   atomic.Bool

	reportedReadiness atomic.Pointer[string] // notReadyReason that was logged last
}

// New returns a node on the platform of adapter and opens its listeners. Run serves them.
func New(set *settings.Settings, adapter Platform) (*Node, error) {
	n := &Node{settings: settings.NewActive(set), platform: adapter, self: set.NewMember(), metrics: telemetry.New()}
	n.memory = callermem.NewAccount(set.CallerBounds().Memory)
	n.view = cluster.NewView(&cluster.Snapshot{Self: n.self})
	n.peers = peerclient.New(nil, nil)
	n.directory = membership.New(membership.Config{
		Name:    set.Name,
		Self:    n.self,
		Store:   adapter.Store(),
		List:    adapter.List(),
		View:    n.view,
		Peers:   n.peers.Pooled,
		Metrics: n.metrics,

		MaxListAge: set.KeyWithdrawalBound,
	})
	n.transport = forward.New(forward.Config{Metrics: n.metrics})
	n.policies = entry.NewPolicies(entry.PoliciesConfig{
		Self:           n.self,
		ByteBudget:     budget.NewByteBudget(budget.Limits{}, nil),
		CheckReachable: n.peers.CanConnect,
		Transport:      n.transport,
		Metrics:        n.metrics,

		StayInRegion: true,
		ZoneCost:     crossZoneCost,
	})
	n.allotments = allotment.New(allotment.Config{Name: set.Name, View: n.view, Peers: n.peers.Pooled, Metrics: n.metrics})
	n.entry = entry.New(entry.Config{
		View:            n.view,
		Transport:       n.transport,
		Policies:        n.policies,
		Attempts:        n.peers.AttemptsUnpooled,
		Metrics:         n.metrics,
		ReadAheadBytes:  readAheadBytes,
		WriteRefusal:    adapter.WriteRefusal,
		RequestIDHeader: adapter.RequestIDHeader(),

		ListConfirmed:      n.directory.ListConfirmed,
		KeyWithdrawalBound: set.KeyWithdrawalBound,
		Allotments:         n.allotments,
	})
	n.target = &localTarget{node: n}
	servers, err := n.listen()
	if err != nil {
		return nil, err
	}
	n.servers = servers
	return n, nil
}

func (n *Node) newHandler(member cluster.Member, checkIn *CheckIn) *inbound.Handler {
	boot := bootID{checkIn.TargetID, checkIn.StartedAt}
	return inbound.New(inbound.Config{
		Self:                   member,
		View:                   n.view,
		TargetAddr:             n.settings.TargetAddr,
		Metrics:                n.metrics,
		Peers:                  quarantine.NewPeers(n.view, n.peers.Pooled),
		Protocol:               n.platform.Protocol(checkIn.TargetID),
		RequestIDHeader:        n.platform.RequestIDHeader(),
		Slots:                  checkIn.Slots,
		OnFullSpeedConcurrency: n.target.setFullSpeed,
		TargetID:               boot.targetID,
		TargetBoot:             wire.BootDigest(boot.targetID, boot.startedAt),
		OnLeaving:              func(source string) { n.target.recordLeaving(boot, source) },
		OnOtherReport:          n.target.applyOtherReport,
		OnWrongTarget:          func() { n.target.dropResumedBoot(checkIn.TargetID) },
		RemainingWarmUp:        checkIn.RemainingWarmUp,
		WarmUpKnown:            checkIn.Sequence > 0,
		ReadAheadBytes:         readAheadBytes,
		Memory:                 n.memory,
	})
}

func (n *Node) listen() (*serving.Servers, error) {
	callers := n.platform.CallerHandler(n.settings.Service, n.entry)
	return serving.Open(
		func() { n.metrics.Counter("panic.handler").Inc(1) },
		serving.Listener{
			Name: "entry", Addr: n.settings.EntryAddr, Limits: n.entry.CallerLimits, DrainOnShutdown: true,
			Handler:    framing.Handler(framing.CloseConnectionsWhile(&n.draining, callers), n.entry.RefuseHeader),
			MayOverlap: n.entry.MayOverlap, Bounds: n.settings.CallerBounds(), Account: n.memory,
			Count: n.countEvent,
		},
		serving.Listener{
			Name: "peer", Addr: n.settings.PeerAddr, Handler: n.peerHandler(), DrainOnShutdown: true,
			MaxConnections: n.settings.MaxPeerConnections(), Count: n.countEvent,
		},
		serving.Listener{
			Name: "admin", Addr: n.settings.AdminAddr, Handler: n.adminHandler(),
			MaxHeaderBytes: serving.LocalHeaderBytes, MaxConnections: serving.LocalConnections, Count: n.countEvent,
		},
		serving.Listener{
			Name: "check-in", Addr: n.settings.CheckInAddr, Handler: n.platform.CheckInHandler(n.target),
			MaxHeaderBytes: serving.LocalHeaderBytes, MaxConnections: serving.LocalConnections, Count: n.countEvent,
		},
	)
}

// countEvent counts an event of a listener.
func (n *Node) countEvent(name string) { n.metrics.Counter(name).Inc(1) }

// peerHandler serves requests from other nodes. Forwarded paths bypass the mux, which would redirect paths that contain
// "//" or "..".
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	for _, service := range []rpc.TwirpServer{
		rpc.NewLoadServer(n.target),
		rpc.NewAttemptsServer(n.target),
		rpc.NewQuarantineServer(n.target),
	} {
		mux.Handle(service.PathPrefix(), http.MaxBytesHandler(service, rpc.MaxRequestBytes))
	}
	mux.HandleFunc("GET "+wire.StatePath, n.serveState)
	mux.Handle("GET "+wire.FollowPath, n.directory.FollowHandler())
	mux.Handle("POST "+wire.AllotmentPath, n.allotments.Handler())
	mux.Handle("POST "+wire.AllotmentLimitsPath, n.allotments.Handler())
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
		if n.reportReadiness() != "" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", n.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", ready)
	mux.HandleFunc("GET "+n.platform.ReadinessPath(), ready)
	return mux
}

// Run serves until ctx ends and then drains the node. It returns nil after a complete drain.
func (n *Node) Run(ctx context.Context) error {
	klog.InfoS("started", "node", n.self.ID, "service", n.self.Service, "zone", n.self.Zone, "region", n.self.Region,
		"entry", n.settings.EntryAddr, "peer", n.settings.PeerAddr)
	parts := []serving.Part{n.directory.Run, serving.Infallible(n.restoreTarget), serving.Infallible(n.allotments.Run)}
	return serving.Run(ctx, append(parts, n.servers.Parts()...), n.drain, n.close)
}

// Snapshot returns the node's current view of the members and the service list.
func (n *Node) Snapshot() *cluster.Snapshot { return n.view.Load() }

// Reload applies changed settings: the drain timeout and the retry budget at once, all others at the next start.
func (n *Node) Reload(changed *settings.Settings) {
	n.settings.ApplyChanges(changed)
	n.platform.Reload(changed)
	n.directory.ReparseList()
}

// restoreTarget restores the state of the local target once the members are loaded, and resumes it once the service
// list is known.
func (n *Node) restoreTarget(ctx context.Context) {
	select {
	case <-n.directory.MembersLoaded():
	case <-ctx.Done():
		return
	}
	storedRow := n.directory.PreviousOwnRow()
	n.target.restore(storedRow)
	select {
	case <-n.directory.ListInstalled():
		n.target.resume(ctx, storedRow)
	case <-ctx.Done():
	}
}

// drain takes the node out of service. It continues to send requests to the local target for a grace period, serves
// callers until they use other nodes, and waits for requests in flight. It returns an error if some did not finish in
// time.
func (n *Node) drain() error {
	started := time.Now()
	klog.InfoS("stopping", "node", n.self.ID, "target_left", n.target.departed())
	n.draining.Store(true)
	n.directory.StopRelay()
	schedule := newStopSchedule(n.settings.CurrentDrainTimeout())
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(schedule.exit))
	defer cancel()
	n.entry.EndCallsBy(started.Add(schedule.endCalls))
	if n.target.departed() {
		n.removeRow()
	} else {
		_ = timing.Sleep(ctx, schedule.drainTarget) // if ctx ends here, Shutdown below returns at once
	}
	n.target.stopServing()
	_ = timing.Sleep(ctx, schedule.closeListeners-time.Since(started))
	err := n.servers.Shutdown(ctx)
	klog.InfoS("stopped", "node", n.self.ID, "after", time.Since(started).Round(time.Millisecond), "complete", err == nil)
	return err
}

// removeRow removes the node's row. Nothing else would remove it.
func (n *Node) removeRow() {
	ctx, cancel := context.WithTimeout(context.Background(), rowRemovalTimeout)
	defer cancel()
	if err := n.directory.RemoveOwnRow(ctx); err != nil {
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
