package inbound

import (
	"context"
	"net"
	"net/http"
	"time"
)

// DefaultConnections is the maximum number of connections to the target when the service list gives none.
const DefaultConnections = 260

const (
	// idleConnTimeout is below 5 s, the shortest keep-alive timeout common among servers, so that a request is rarely sent
	// on a connection that the target is closing.
	idleConnTimeout = 4 * time.Second
	// maxTargetHeaderBytes limits a response header of the target. The default of net/http, 10 MB for each connection, would
	// let a few targets that send headers without end exhaust the memory of the node.
	maxTargetHeaderBytes = 64 << 10
	// expectContinueTimeout is the time after which the body is sent to a target that ignores "Expect: 100-continue".
	expectContinueTimeout = time.Second
)

// targetTransport is the HTTP transport to the local target with its connection limit.
type targetTransport struct {
	addr        string
	connections int
	transport   *http.Transport
}

// requestConnections returns the number of connections available to requests; one of the limit is reserved for the
// sentinel.
func requestConnections(limit int) int { return max(1, limit-1) }

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// newTargetTransport returns a transport to addr with at most the given number of connections, sentinel included.
func newTargetTransport(addr string, dial dialFunc, connections int) *targetTransport {
	return &targetTransport{
		addr:        addr,
		connections: connections,
		transport: &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			MaxConnsPerHost:        requestConnections(connections),
			MaxIdleConnsPerHost:    requestConnections(connections),
			IdleConnTimeout:        idleConnTimeout,
			ExpectContinueTimeout:  expectContinueTimeout,
			MaxResponseHeaderBytes: maxTargetHeaderBytes,
		},
	}
}
