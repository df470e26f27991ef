// Package forward sends attempts from an entry node to the nodes of targets over HTTP/1.1, and replaces connections
// that have gone silent.
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

// Defaults of Config. DefaultUserTimeout is the TCP_USER_TIMEOUT of connections opened by the default Dial on Linux.
const (
	DefaultDialTimeout         = 250 * time.Millisecond // four round trips between regions
	DefaultIdleTimeout         = 90 * time.Second
	DefaultMaxIdleConnsPerNode = 64
	DefaultUserTimeout         = 5 * time.Second
	expectContinueTimeout      = 2 * time.Second
	// maxResponseHeaderBytes is above what a node forwards from its target: eight informational responses and a final one
	// of 64 KiB each. A target with longer headers thus fails at its own node, and that node is not blamed.
	maxResponseHeaderBytes = 1 << 20
)

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// WithDialTimeout returns a function that opens connections with dial and fails after the timeout. Without this bound,
// opening a connection to an unreachable node takes as long as the deadline of the request that needs it.
func WithDialTimeout(timeout time.Duration, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// Config configures a Transport.
type Config struct {
	// Dial opens a connection; nil uses a net.Dialer with TCP_USER_TIMEOUT.
	Dial DialFunc
	// DialTimeout limits the time to open a connection, including with a custom Dial; default 250 ms.
	DialTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed; default 90 s.
	IdleTimeout time.Duration
	// MaxIdleConnsPerNode is the number of idle connections kept open to each node; default 64.
	MaxIdleConnsPerNode int
	// Metrics receives the count of retired generations; nil discards it.
	Metrics *telemetry.Registry
}

// Transport sends requests to nodes. It is safe for concurrent use.
type Transport struct {
	config      Config
	mu          sync.Mutex
	generations map[string]*Generation // by peer address
}

// Generation is the set of connections to one node that were opened since the last call of Retire.
type Generation struct {
	addr      string
	transport *http.Transport
	retired   chan struct{}
}

// Retired returns a channel that is closed when the connections of the generation are no longer trusted to work.
func (g *Generation) Retired() <-chan struct{} { return g.retired }

// New returns a transport. Close closes its idle connections.
func New(config Config) *Transport {
	if config.DialTimeout == 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = DefaultIdleTimeout
	}
	if config.MaxIdleConnsPerNode == 0 {
		config.MaxIdleConnsPerNode = DefaultMaxIdleConnsPerNode
	}
	if config.Metrics == nil {
		config.Metrics = telemetry.New()
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Control: setUserTimeout}).DialContext
	}
	config.Dial = WithDialTimeout(config.DialTimeout, config.Dial)
	return &Transport{config: config, generations: map[string]*Generation{}}
}

// Generation returns the current generation of connections to the node at addr and creates it if necessary.
func (t *Transport) Generation(addr string) *Generation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current, ok := t.generations[addr]; ok {
		return current
	}
	created := t.newGeneration(addr)
	t.generations[addr] = created
	return created
}

func (t *Transport) newGeneration(addr string) *Generation {
	return &Generation{
		addr:    addr,
		retired: make(chan struct{}),
		transport: &http.Transport{
			DialContext:            t.config.Dial,
			MaxIdleConnsPerHost:    t.config.MaxIdleConnsPerNode,
			IdleConnTimeout:        t.config.IdleTimeout,
			ExpectContinueTimeout:  expectContinueTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
	}
}

// Retire stops the use of the generation's connections: idle ones are closed, later requests use a new generation,
// and the channel returned by Retired is closed. Retiring a generation again has no effect.
func (t *Transport) Retire(old *Generation) {
	t.mu.Lock()
	isCurrent := t.generations[old.addr] == old
	if isCurrent {
		t.generations[old.addr] = t.newGeneration(old.addr)
		close(old.retired)
	}
	t.mu.Unlock()
	if isCurrent {
		t.config.Metrics.Counter("forward.generation-retired").Inc(1)
		old.transport.CloseIdleConnections()
	}
}

// RetainOnly closes idle connections to nodes whose address is not in keep and drops their generations.
func (t *Transport) RetainOnly(keep map[string]bool) {
	t.mu.Lock()
	var removed []*Generation
	for addr, generation := range t.generations {
		if !keep[addr] {
			removed = append(removed, generation)
			delete(t.generations, addr)
		}
	}
	t.mu.Unlock()
	for _, generation := range removed {
		generation.transport.CloseIdleConnections()
	}
}

// Close closes idle connections. Requests in flight continue.
func (t *Transport) Close() { t.RetainOnly(nil) }

// SendStatus records how far a request got before its round trip failed.
type SendStatus struct {
	gotConn atomic.Bool
}

// GotConn reports whether the request obtained a connection. If it did not, the node cannot have received it.
func (s *SendStatus) GotConn() bool { return s.gotConn.Load() }

// RoundTrip sends the request over the connections of the generation. The returned SendStatus is final and never nil,
// even if the error is not nil.
func (g *Generation) RoundTrip(request *http.Request) (*http.Response, *SendStatus, error) {
	sendStatus := &SendStatus{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sendStatus.gotConn.Store(true) }}
	traced := request.WithContext(httptrace.WithClientTrace(request.Context(), trace))
	response, err := g.transport.RoundTrip(traced)
	return response, sendStatus, err
}
