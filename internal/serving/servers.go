// Package serving runs the parts of a process: its HTTP servers and its background tasks.
package serving

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/callerhttp"
	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/framing"
	"github.com/acacialock/acacialock/internal/telemetry"
)

const (
	// readHeaderTimeout is above the longest header timeout that operators configure for callers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than the idle timeouts of callers and other nodes, so that the clients close connections first.
	idleTimeout = 150 * time.Second
)

// Bounds of listeners that few clients on the machine or its platform use: a request has a few short header lines.
const (
	LocalHeaderBytes = 32 << 10
	LocalConnections = 256
)

// Listener is the configuration of a listener and its HTTP server.
type Listener struct {
	Name    string // used in error messages
	Addr    string // host:port
	Handler http.Handler
	// Limits returns the limits on requests of callers. If set, the listener is served by internal/callerhttp, and Handler must be
	// a framing.Refuser. If nil, there are no limits, and the listener is served by net/http.
	Limits func() framing.Limits
	// Bounds, Account and MayOverlap are those of callerhttp.Config. They apply if Limits is set.
	Bounds     callerhttp.Bounds
	Account    *callermem.Account
	MayOverlap func(r *http.Request) bool
	// Count counts refusals and closed connections under a name; nil: they are not counted.
	Count func(name string)
	// MaxHeaderBytes and MaxConnections limit the size of a request's head and the open connections; 0: the default of net/http,
	// and no limit. They apply if Limits is nil.
	MaxHeaderBytes, MaxConnections int
	// DrainOnShutdown is set if Shutdown waits for the requests of this listener.
	DrainOnShutdown bool
}

// Servers is a set of HTTP servers with open listeners.
type Servers struct{ all []server }

type server struct {
	Listener
	socket net.Listener
	http   httpServer
}

// httpServer is the server of one listener: an http.Server or a callerhttp.Server.
type httpServer interface {
	Serve(listener net.Listener) error
	Shutdown(ctx context.Context) error
	Close() error
}

// Open opens all listeners. If one can't be opened, it closes the others and returns an error. onPanic is called after a
// handler has panicked.
func Open(onPanic func(), listeners ...Listener) (*Servers, error) {
	s := &Servers{}
	for _, config := range listeners {
		socket, err := net.Listen("tcp", config.Addr)
		if err != nil {
			s.Close()
			return nil, eris.Wrapf(err, "open the %s listener", config.Name)
		}
		opened := server{Listener: config, socket: socket}
		if config.Limits != nil {
			opened.http = config.newCallerServer(onPanic)
		} else {
			if config.MaxConnections > 0 {
				socket = newLimitedListener(socket, config.MaxConnections, func() { config.count("listener.refused." + config.Name) })
			}
			opened.socket = framing.NewListener(socket)
			opened.http = &http.Server{
				ConnContext: framing.ConnContext, ConnState: framing.ConnState,
				Handler: config.recoverPanics(onPanic, config.Handler.ServeHTTP), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
				MaxHeaderBytes: config.MaxHeaderBytes,
			}
		}
		s.all = append(s.all, opened)
	}
	return s, nil
}

func (l Listener) count(name string) {
	if l.Count != nil {
		l.Count(name)
	}
}

// newCallerServer returns the server of a listener for callers.
func (l Listener) newCallerServer(onPanic func()) *callerhttp.Server {
	refuser := l.Handler.(framing.Refuser)
	return callerhttp.New(callerhttp.Config{
		Handler: l.recoverPanics(onPanic, l.Handler.ServeHTTP),
		Refuse:  refuser.RefuseHeader,
		Limits:  l.Limits, Bounds: l.Bounds, Account: l.Account, MayOverlap: l.MayOverlap, Count: l.Count,
	})
}

// recoverPanics returns the handler with panics logged and counted. A panic ends only its request: the connection is
// closed without a complete response. http.ErrAbortHandler, which ends a response on purpose, passes silently.
func (l Listener) recoverPanics(onPanic func(), serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			cause := recover()
			if cause == nil {
				return
			}
			if cause != http.ErrAbortHandler {
				LogPanic("handler of the "+l.Name+" listener", cause)
				onPanic()
			}
			panic(http.ErrAbortHandler)
		}()
		serve(w, r)
	})
}

// maxStackBytes limits the part of a stack trace that is logged; the innermost frames come first.
const maxStackBytes = 4 << 10

// LogPanic logs a recovered panic with the stack of the goroutine that calls it.
func LogPanic(where string, cause any) {
	stack := debug.Stack()
	klog.ErrorS(nil, "panic recovered", "where", where, "cause", fmt.Sprint(cause),
		"stack", string(stack[:min(len(stack), maxStackBytes)]))
}

// PublishCallers updates the gauges of what callers make the process hold; see callerhttp.Server.Held.
func (s *Servers) PublishCallers(metrics *telemetry.Registry) {
	for _, srv := range s.all {
		callers, ok := srv.http.(*callerhttp.Server)
		if !ok {
			continue
		}
		held := callers.Held()
		metrics.Gauge("caller.connections").Update(int64(held.Connections))
		metrics.Gauge("caller.heads.bytes").Update(held.Heads)
		metrics.Gauge("caller.requests.bytes").Update(held.Requests)
		metrics.Gauge("caller.bodies.bytes").Update(held.Bodies)
		metrics.Gauge("caller.answers.bytes").Update(held.Answers)
		metrics.Gauge("caller.forwarded.bytes").Update(held.Forwarded)
		metrics.Gauge("caller.memory.bytes").Update(held.Memory)
	}
}

// CallerMemory returns the bytes that callers make the process hold, and their bound.
func (s *Servers) CallerMemory() (held, limit int64) {
	for _, srv := range s.all {
		if callers, ok := srv.http.(*callerhttp.Server); ok {
			of := callers.Held()
			held += of.Heads + of.Requests + of.Bodies + of.Answers + of.Forwarded
			limit += of.Memory
		}
	}
	return held, limit
}

// Parts returns the servers as parts for Run. Each ends on Shutdown or Close, regardless of its context.
func (s *Servers) Parts() []Part {
	var parts []Part
	for _, srv := range s.all {
		parts = append(parts, func(context.Context) error {
			if err := srv.http.Serve(srv.socket); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrapf(err, "serve the %s listener", srv.Name)
			}
			return nil
		})
	}
	return parts
}

// Shutdown closes the listeners that have DrainOnShutdown set and waits for their requests in flight. It fails if ctx
// ends first.
func (s *Servers) Shutdown(ctx context.Context) error {
	var errs []error
	for _, srv := range s.all {
		if !srv.DrainOnShutdown {
			continue
		}
		if err := srv.http.Shutdown(ctx); err != nil {
			errs = append(errs, eris.Wrapf(err, "requests were in flight at the %s listener at the drain timeout", srv.Name))
		}
	}
	return errors.Join(errs...)
}

// Close closes all listeners and connections at once.
func (s *Servers) Close() {
	for _, srv := range s.all {
		_ = srv.http.Close() // stops serving even if it returns an error
		_ = srv.socket.Close()
	}
}
