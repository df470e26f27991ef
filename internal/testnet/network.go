// Package testnet simulates the users' network on loopback connections, for tests and benchmarks: delays between
// availability zones and regions, the bandwidth of the link between regions, partitions, and connections that go silent.
package testnet

import (
	"context"
	"net"
	"sync"
	"time"
)

// Delays and bandwidth of the users' network.
const (
	ZoneDelay         = time.Millisecond      // one way, between availability zones
	RegionDelay       = 30 * time.Millisecond // one way, between regions
	LinkBitsPerSecond = 30e6                  // of the link between regions, each way
)

// Place is the location of a process.
type Place struct{ Region, Zone string }

// Network maps listening addresses to places and opens connections between places. Safe for concurrent use.
type Network struct {
	mu            sync.Mutex
	places        map[string]Place             // by listening address
	links         map[[2]string]*linkDirection // by source and destination region
	isPartitioned func(a, b Place) bool        // reports whether two places are partitioned
	conns         map[*conn][2]Place           // dialing and listening place of each connection
}

// New returns a network without partitions.
func New() *Network {
	return &Network{
		places:        map[string]Place{},
		links:         map[[2]string]*linkDirection{},
		isPartitioned: func(Place, Place) bool { return false },
		conns:         map[*conn][2]Place{},
	}
}

// SetPlace sets the place of a listening address. Connections to an address without a place have no delay and are not
// subject to partitions.
func (n *Network) SetPlace(addr string, place Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[addr] = place
}

// Partition permanently silences the connections between places for which isPartitioned returns true, and blocks new ones
// until Heal. It replaces the function of an earlier call.
func (n *Network) Partition(isPartitioned func(a, b Place) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isPartitioned = isPartitioned
	n.silence(isPartitioned)
}

// Heal lets new connections open again. Connections that were silenced stay silent.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isPartitioned = func(Place, Place) bool { return false }
}

// Silence permanently silences the open connections between places for which match returns true, and returns their number.
// New connections are not affected.
func (n *Network) Silence(match func(a, b Place) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silence(match)
}

func (n *Network) silence(match func(a, b Place) bool) int {
	count := 0
	for c, ends := range n.conns {
		if match(ends[0], ends[1]) || match(ends[1], ends[0]) {
			c.silence()
			delete(n.conns, c)
			count++
		}
	}
	return count
}

// InDifferentRegions reports whether two places are in different regions.
func InDifferentRegions(a, b Place) bool { return a.Region != b.Region }

// Dialer returns a dial function for a process at a place. A dial across a partition blocks until ctx is done.
func (n *Network) Dialer(from Place) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return n.dial(ctx, from, network, addr)
	}
}

func (n *Network) dial(ctx context.Context, from Place, network, addr string) (net.Conn, error) {
	to, delay, partitioned := n.route(from, addr)
	if partitioned {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * delay) // round trip of the TCP handshake
	c := newConn(raw, delay)
	n.register(c, from, to)
	c.start()
	return c, nil
}

// route returns the place of an address, the one-way delay, and whether the two places are partitioned.
func (n *Network) route(from Place, addr string) (Place, time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, known := n.places[addr]
	if !known {
		return from, 0, false
	}
	partitioned := n.isPartitioned(from, to) || n.isPartitioned(to, from)
	return to, Delay(from, to), partitioned
}

// Delay returns the one-way delay between two places.
func Delay(a, b Place) time.Duration {
	switch {
	case a.Region != b.Region:
		return RegionDelay
	case a.Zone != b.Zone:
		return ZoneDelay
	default:
		return 0
	}
}

func (n *Network) register(c *conn, from, to Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from.Region != to.Region {
		c.rate = LinkBitsPerSecond
		c.writeLink, c.readLink = n.linkDirection(from.Region, to.Region), n.linkDirection(to.Region, from.Region)
	}
	n.conns[c] = [2]Place{from, to}
	if n.isPartitioned(from, to) || n.isPartitioned(to, from) {
		c.silence()
	}
}

func (n *Network) linkDirection(from, to string) *linkDirection {
	key := [2]string{from, to}
	if n.links[key] == nil {
		n.links[key] = &linkDirection{}
	}
	return n.links[key]
}
