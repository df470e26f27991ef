// Package forward carries attempts from an entry node to targets' nodes over HTTP/1.1, and replaces connections that
// went silent.
package forward

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/telemetry"
)

// Defaults of Config.
const (
	DefaultDialTimeout  = 250 * time.Millisecond // four round trips between regions
	DefaultIdleTimeout  = 90 * time.Second
	DefaultIdlePerNode  = 64
	DefaultUserTimeout  = 5 * time.Second
	expectContinueLimit = 2 * time.Second
)

// DialFunc opens a connection.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// DialWithin returns a function that opens connections with dial and gives up after the timeout. Without a bound of its own
// a connection to a node that is cut off takes as long as the request that it is opened for.
func DialWithin(timeout time.Duration, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// Config configures a Transport.
type Config struct {
	// Dial opens a connection; nil uses net.Dialer with TCP_USER_TIMEOUT.
	Dial DialFunc
	// DialTimeout bounds the opening of a connection, whatever Dial is; default 250 ms.
	DialTimeout time.Duration
	// IdleTimeout closes connections that carried nothing for that long; default 90 s.
	IdleTimeout time.Duration
	// IdlePerNode is the number of idle connections kept to each node; default 64.
	IdlePerNode int
	Metrics     *telemetry.Registry
}

// Transport sends requests to nodes. Safe for concurrent use.
type Transport struct {
	config Config
	mu     sync.Mutex
	nodes  map[string]*Generation // by peer address
}

// Generation is the set of connections to one node that were opened since the last retirement.
type Generation struct {
	addr      string
	transport *http.Transport
	retired   chan struct{}
}

// Retired is closed when the generation's connections are no longer trusted.
func (g *Generation) Retired() <-chan struct{} { return g.retired }

// New returns a transport; call Close to close its idle connections.
func New(config Config) *Transport {
	if config.DialTimeout == 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = DefaultIdleTimeout
	}
	if config.IdlePerNode == 0 {
		config.IdlePerNode = DefaultIdlePerNode
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Control: setUserTimeout}).DialContext
	}
	config.Dial = DialWithin(config.DialTimeout, config.Dial)
	return &Transport{config: config, nodes: map[string]*Generation{}}
}

// Generation returns the current connections to the node at addr.
func (t *Transport) Generation(addr string) *Generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, ok := t.nodes[addr]; ok {
		return current
	}
	fresh := t.newGeneration(addr)
	t.nodes[addr] = fresh
	return fresh
}

func (t *Transport) newGeneration(addr string) *Generation {
	return &Generation{
		addr:    addr,
		retired: make(chan struct{}),
		transport: &http.Transport{
			DialContext:           t.config.Dial,
			MaxIdleConnsPerHost:   t.config.IdlePerNode,
			IdleConnTimeout:       t.config.IdleTimeout,
			ExpectContinueTimeout: expectContinueLimit,
			DisableCompression:    true,
		},
	}
}

// Retire stops the use of the generation's connections: idle ones are closed, new sends use a new generation, and
// those that wait on Retired learn of it. Retiring twice has no further effect.
func (t *Transport) Retire(old *Generation) {
	t.mu.Lock()
	current := t.nodes[old.addr] == old
	if current {
		t.nodes[old.addr] = t.newGeneration(old.addr)
		close(old.retired)
	}
	t.mu.Unlock()
	if current {
		t.config.Metrics.Counter("forward.generation-retired").Inc(1)
		old.transport.CloseIdleConnections()
	}
}

// Forget drops the connections to nodes whose address is not in keep.
func (t *Transport) Forget(keep map[string]bool) {
	t.mu.Lock()
	var dropped []*Generation
	for addr, generation := range t.nodes {
		if !keep[addr] {
			dropped = append(dropped, generation)
			delete(t.nodes, addr)
		}
	}
	t.mu.Unlock()
	for _, generation := range dropped {
		generation.transport.CloseIdleConnections()
	}
}

// Close closes idle connections. Requests in flight go on.
func (t *Transport) Close() { t.Forget(nil) }

// Sent tells how far a request got before its round trip failed.
type Sent struct {
	connected atomic.Bool
}

// Connected reports whether the request was handed to a connection; without that the node can't have received it.
func (s *Sent) Connected() bool { return s.connected.Load() }

// RoundTrip sends the request over the generation's connections. Sent is valid after RoundTrip returns.
func (g *Generation) RoundTrip(request *http.Request) (*http.Response, *Sent, error) {
	sent := &Sent{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.connected.Store(true) }}
	traced := request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := g.transport.RoundTrip(traced)
	return response, sent, err
}
