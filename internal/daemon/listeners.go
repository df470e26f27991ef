package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/framing"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	readHeaderTimeout = 10 * time.Second
	// serverIdleTimeout is longer than the clients' idle time, so that the client closes idle connections first.
	serverIdleTimeout = 150 * time.Second
)

// listeners are the node's three HTTP servers.
type listeners struct {
	entry, peer, admin listener
	draining           atomic.Bool
}

type listener struct {
	socket net.Listener
	server *http.Server
}

func (d *Daemon) listen() (*listeners, error) {
	opened := &listeners{}
	bind := []struct {
		to      *listener
		addr    string
		handler http.Handler
	}{
		{&opened.entry, d.settings.EntryAddr, framing.Handler(framing.CloseWhile(&opened.draining, d.entry), d.entry.RefuseHeader)},
		{&opened.peer, d.settings.PeerAddr, d.peerHandler()},
		{&opened.admin, d.settings.AdminAddr, d.adminHandler(opened)},
	}
	for _, one := range bind {
		socket, err := net.Listen("tcp", one.addr)
		if err != nil {
			opened.close()
			return nil, err
		}
		one.to.socket = framing.Listen(socket)
		if one.to == &opened.entry {
			one.to.socket = framing.ListenLimited(socket, d.entry.CallerLimits)
		}
		one.to.server = &http.Server{ConnState: framing.ConnState, Handler: one.handler, ConnContext: framing.ConnContext, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout}
	}
	return opened, nil
}

func (l *listeners) all() []*listener { return []*listener{&l.entry, &l.peer, &l.admin} }

// serve runs the servers until close or shutdown.
func (l *listeners) serve(group *errgroup.Group) {
	for _, one := range l.all() {
		group.Go(func() error {
			if err := one.server.Serve(one.socket); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
}

func (l *listeners) drainEntry() { l.draining.Store(true) }

// shutdown waits for requests in flight at the entry and peer listeners.
func (l *listeners) shutdown(ctx context.Context) error {
	return errors.Join(l.entry.server.Shutdown(ctx), l.peer.server.Shutdown(ctx))
}

func (l *listeners) close() {
	for _, one := range l.all() {
		if one.server != nil {
			_ = one.server.Close() // ends the process's use of the socket either way
		}
		if one.socket != nil {
			_ = one.socket.Close()
		}
	}
}

// peerHandler serves other nodes. Forwarded paths go past the mux, which would redirect paths with "//" or "..".
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
		mux.Handle(service.PathPrefix(), d.metering.serve(service))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		switch {
		case strings.HasPrefix(request.URL.Path, wire.ForwardPath+"/") && !d.ready.Load():
			d.refuseStarting(w)
		case strings.HasPrefix(request.URL.Path, wire.ForwardPath+"/"):
			d.inbound.ServeHTTP(w, request)
		case strings.HasPrefix(request.URL.Path, wire.RelayPath+"/"):
			d.entry.ServeRelay(w, request)
		default:
			mux.ServeHTTP(w, request)
		}
	})
}

// refuseStarting refuses a forwarded request, which another target may run.
func (d *Daemon) refuseStarting(w http.ResponseWriter) {
	refused := failure.New(failure.Starting, failure.NotRun, "the node is starting")
	d.metrics.Refused("target", refused.Reason)
	w.Header().Set(wire.Reason, string(refused.Reason))
	w.Header().Set(wire.Outcome, string(refused.Outcome))
	w.WriteHeader(refused.Status())
}
