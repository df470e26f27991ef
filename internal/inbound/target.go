package inbound

import (
	"context"
	"net"
	"net/http"
	"time"
)

// DefaultConnections is the limit of connections to the target without a service list.
const DefaultConnections = 260

const (
	// idleConnTimeout is below the shortest keep-alive time that is common among servers, 5 s, so that a request seldom
	// meets a connection that the target is just closing.
	idleConnTimeout = 4 * time.Second
	// expectTimeout is the time after which a body is sent to a target that ignores "Expect: 100-continue".
	expectTimeout = time.Second
)

// target is the transport to the local target under one limit of connections.
type target struct {
	addr        string
	connections int
	transport   *http.Transport
}

// requestConnections is the part of the limit that is left beside the sentinel's connection.
func requestConnections(limit int) int { return max(1, limit-1) }

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

func newTarget(addr string, dial dialFunc, connections int) *target {
	return &target{
		addr:        addr,
		connections: connections,
		transport: &http.Transport{
			DialContext:           dial,
			DisableCompression:    true,
			MaxConnsPerHost:       requestConnections(connections),
			MaxIdleConnsPerHost:   requestConnections(connections),
			IdleConnTimeout:       idleConnTimeout,
			ExpectContinueTimeout: expectTimeout,
		},
	}
}
