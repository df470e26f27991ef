// Package serving runs the parts of a process: its HTTP servers and what goes on beside them.
package serving

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acacialock/acacialock/internal/framing"
)

const (
	// readHeaderTimeout is above the longest time that operators allow callers for a header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than the idle time of callers and of other nodes' connections, so that they close first.
	idleTimeout = 150 * time.Second
)

// Listener is an address and what serves it.
type Listener struct {
	Name    string // in errors
	Addr    string // host:port
	Handler http.Handler
	// Limits bound what callers may send; nil: no limits.
	Limits func() framing.Limits
	// Drains tells that Shutdown waits for the requests of this listener.
	Drains bool
}

// Servers are open listeners.
type Servers struct{ all []server }

type server struct {
	Listener
	socket net.Listener
	http   *http.Server
}

// Open opens the listeners, or none of them.
func Open(listeners ...Listener) (*Servers, error) {
	s := &Servers{}
	for _, one := range listeners {
		socket, err := net.Listen("tcp", one.Addr)
		if err != nil {
			s.Close()
			return nil, eris.Wrapf(err, "open the %s listener", one.Name)
		}
		opened := server{one, framing.Listen(socket), &http.Server{
			ConnContext: framing.ConnContext, ConnState: framing.ConnState,
			Handler: one.Handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		}}
		if one.Limits != nil {
			opened.socket = framing.ListenLimited(socket, one.Limits)
		}
		s.all = append(s.all, opened)
	}
	return s, nil
}

// Parts are the servers for Run; each ends with Shutdown or Close.
func (s *Servers) Parts() []Part {
	var parts []Part
	for _, one := range s.all {
		parts = append(parts, func(context.Context) error {
			if err := one.http.Serve(one.socket); !errors.Is(err, http.ErrServerClosed) {
				return eris.Wrapf(err, "serve the %s listener", one.Name)
			}
			return nil
		})
	}
	return parts
}

// Shutdown waits for requests in flight at the listeners that drain, until ctx ends.
func (s *Servers) Shutdown(ctx context.Context) error {
	var failed []error
	for _, one := range s.all {
		if !one.Drains {
			continue
		}
		if err := one.http.Shutdown(ctx); err != nil {
			failed = append(failed, eris.Wrapf(err, "requests were in flight at the %s listener at the drain timeout", one.Name))
		}
	}
	return errors.Join(failed...)
}

// Close ends all servers at once.
func (s *Servers) Close() {
	for _, one := range s.all {
		_ = one.http.Close() // ends the use of the socket either way
		_ = one.socket.Close()
	}
}
