// Package testnet adds the users' network to loopback connections, for tests and benchmarks: delays between availability
// zones and regions, the rate of the link between regions, cuts, and connections that go silent.
package testnet

import (
	"context"
	"net"
	"sync"
	"time"
)

// Delays and rate of the users' network.
const (
	ZoneDelay         = time.Millisecond      // one way, between availability zones
	RegionDelay       = 30 * time.Millisecond // one way, between regions
	LinkBitsPerSecond = 30e6                  // of the link between regions, each way
)

// Place is where a process runs.
type Place struct{ Region, Zone string }

// Network knows where each address is. Safe for concurrent use.
type Network struct {
	mu     sync.Mutex
	places map[string]Place // by listening address
	lanes  map[[2]string]*lane
	cut    func(a, b Place) bool
	conns  map[*conn][2]Place
}

// New returns a network without cuts.
func New() *Network {
	return &Network{
		places: map[string]Place{},
		lanes:  map[[2]string]*lane{},
		cut:    func(Place, Place) bool { return false },
		conns:  map[*conn][2]Place{},
	}
}

// Put says where a listening address is. Unknown addresses are near everyone and never cut off.
func (n *Network) Put(addr string, place Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[addr] = place
}

// Cut makes the connections between places for which cut holds silent, for good, and keeps new ones from opening until
// Heal.
func (n *Network) Cut(cut func(a, b Place) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	n.silence(cut)
}

// Heal lets new connections open again.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = func(Place, Place) bool { return false }
}

// Silence makes the open connections between places for which chosen holds silent; new ones work. It returns their
// number.
func (n *Network) Silence(chosen func(a, b Place) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silence(chosen)
}

func (n *Network) silence(chosen func(a, b Place) bool) int {
	count := 0
	for c, ends := range n.conns {
		if chosen(ends[0], ends[1]) || chosen(ends[1], ends[0]) {
			c.silence()
			delete(n.conns, c)
			count++
		}
	}
	return count
}

// Between is true for two places in different regions.
func Between(a, b Place) bool { return a.Region != b.Region }

// Bytes returns the bytes that crossed from one region to another so far.
func (n *Network) Bytes(from, to string) int64 {
	n.mu.Lock()
	way := n.lanes[[2]string{from, to}]
	n.mu.Unlock()
	if way == nil {
		return 0
	}
	way.mu.Lock()
	defer way.mu.Unlock()
	return way.bytes
}

// Dialer returns the function with which a process at a place opens connections.
func (n *Network) Dialer(from Place) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		return n.dial(ctx, from, network, addr)
	}
}

func (n *Network) dial(ctx context.Context, from Place, network, addr string) (net.Conn, error) {
	to, delay, cut := n.way(from, addr)
	if cut {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * delay) // the handshake's round trip
	opened := newConn(raw, delay)
	n.register(opened, from, to)
	opened.start()
	return opened, nil
}

// way returns the place of an address, the one-way delay and whether the way is cut.
func (n *Network) way(from Place, addr string) (Place, time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to, known := n.places[addr]
	if !known {
		return from, 0, false
	}
	cut := n.cut(from, to) || n.cut(to, from)
	return to, Delay(from, to), cut
}

// Delay is the one-way delay between two places.
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

func (n *Network) register(opened *conn, from, to Place) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if from.Region != to.Region {
		opened.rate = LinkBitsPerSecond
		opened.out, opened.back = n.lane(from.Region, to.Region), n.lane(to.Region, from.Region)
	}
	n.conns[opened] = [2]Place{from, to}
	if n.cut(from, to) || n.cut(to, from) {
		opened.silence()
	}
}

func (n *Network) lane(from, to string) *lane {
	name := [2]string{from, to}
	if n.lanes[name] == nil {
		n.lanes[name] = &lane{}
	}
	return n.lanes[name]
}
