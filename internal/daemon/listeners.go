package daemon

import (
	"net/http"
	"strings"

	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/framing"
	"github.com/acacialock/acacialock/internal/inbound"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/serving"
	"github.com/acacialock/acacialock/internal/wire"
)

// listen opens the entry, peer and admin listeners.
func (d *Daemon) listen() (*serving.Servers, error) {
	return serving.Open(
		func() { d.metrics.Counter("panic.handler").Inc(1) },
		serving.Listener{
			Name: "entry", Addr: d.settings.EntryAddr, Limits: d.entry.CallerLimits, DrainOnShutdown: true,
			Handler:    framing.Handler(framing.CloseConnectionsWhile(&d.draining, d.entry), d.entry.RefuseHeader),
			MayOverlap: d.entry.MayOverlap, Bounds: d.settings.CallerBounds(), Account: d.memory,
			Count: d.countEvent,
		},
		serving.Listener{
			Name: "peer", Addr: d.settings.PeerAddr, Handler: d.peerHandler(), DrainOnShutdown: true,
			MaxConnections: d.settings.MaxPeerConnections(), Count: d.countEvent,
		},
		serving.Listener{
			Name: "admin", Addr: d.settings.AdminAddr, Handler: d.adminHandler(),
			MaxHeaderBytes: serving.LocalHeaderBytes, MaxConnections: serving.LocalConnections, Count: d.countEvent,
		},
	)
}

// countEvent counts an event of a listener.
func (d *Daemon) countEvent(name string) { d.metrics.Counter(name).Inc(1) }

// peerHandler returns the handler for requests of other nodes. Forwarded requests bypass the mux, which would redirect paths
// with "//" or "..".
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	services := []rpc.TwirpServer{
		rpc.NewControlServer(d.control),
		rpc.NewLoadServer(d.inbound),
		rpc.NewAttemptsServer(d.inbound),
		rpc.NewQuarantineServer(d.inbound),
		rpc.NewKeysServer(d.keys),
	}
	for _, service := range services {
		mux.Handle(service.PathPrefix(), http.MaxBytesHandler(d.metering.meterResponses(service), rpc.MaxRequestBytes))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		switch {
		case strings.HasPrefix(request.URL.Path, wire.ForwardPath+"/") && !d.ready.Load():
			d.refuseStarting(w)
		case strings.HasPrefix(request.URL.Path, wire.ForwardPath+"/"):
			d.inbound.ServeHTTP(w, request)
		case strings.HasPrefix(request.URL.Path, wire.RelayPath+"/"):
			d.serveRelay(w, request)
		default:
			mux.ServeHTTP(w, request)
		}
	})
}

// maxRelayedBody is the size of the largest body that a relayed request keeps.
const maxRelayedBody = 64 << 10

// serveRelay serves a keyed call of another node, whose memory counts like that of a forwarded request. Whether an earlier call with
// its key ran is unknown when it is refused.
func (d *Daemon) serveRelay(w http.ResponseWriter, request *http.Request) {
	size := int64(callermem.ForwardedSize(request.Header)) + min(max(request.ContentLength, 0), maxRelayedBody)
	if !d.memory.Reserve(callermem.Forwarded, size) {
		refusal := failure.New(failure.CallerMemoryFull, failure.Unknown, "the requests of callers take all memory that they may use")
		d.metrics.CountRefusal("entry", refusal.Reason)
		inbound.WriteRefusal(w, refusal)
		return
	}
	defer d.memory.Release(callermem.Forwarded, size)
	d.entry.ServeRelay(w, request)
}

// refuseStarting refuses a forwarded request because the node is starting. The request was not run, so the sender may retry
// it at another target.
func (d *Daemon) refuseStarting(w http.ResponseWriter) {
	refusal := failure.New(failure.Starting, failure.NotRun, "the node is starting")
	d.metrics.CountRefusal("target", refusal.Reason)
	inbound.WriteRefusal(w, refusal)
}
