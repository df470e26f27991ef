package main

import (
	"context"
	"net"
	"sync"
	"time"
)

const (
	zoneDelay   = time.Millisecond      // one way, between availability zones
	regionDelay = 30 * time.Millisecond // one way, between regions
	// linkBitsPerSecond is the paid link's rate in each direction.
	linkBitsPerSecond = 30e6
)

// place is where an entry node or a target is.
type place struct{ zone, region string }

func delayBetween(a, b place) time.Duration {
	switch {
	case a.region != b.region:
		return regionDelay
	case a.zone != b.zone:
		return zoneDelay
	}
	return 0
}

// lane is one direction of the link between regions: bytes leave one after the other at the link's rate.
type lane struct {
	mu    sync.Mutex
	free  time.Time
	bytes int64
}

// leave returns when n bytes handed over now have left.
func (l *lane) leave(n int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) * 8 / linkBitsPerSecond * float64(time.Second)))
	l.bytes += int64(n)
	return l.free
}

// link joins two regions; nil lanes have no rate limit.
type link struct{ out, back lane }

// dialer opens connections that are delayed as the distance demands.
type dialer struct {
	from, to place
	link     *link
}

func (d dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	delay := delayBetween(d.from, d.to)
	if delay == 0 {
		return conn, nil
	}
	time.Sleep(2 * delay) // the handshake's round trip
	delayed := &delayedConn{Conn: conn, delay: delay, closed: make(chan struct{})}
	delayed.sent = make(chan packet, 256)
	delayed.received = make(chan packet, 256)
	if d.from.region != d.to.region {
		delayed.out, delayed.back = &d.link.out, &d.link.back
	}
	go delayed.writeLoop()
	go delayed.readLoop()
	return delayed, nil
}

type packet struct {
	due  time.Time
	data []byte
	err  error
}

// delayedConn delivers bytes in both directions after the delay without limiting how many are under way.
type delayedConn struct {
	net.Conn
	delay          time.Duration
	out, back      *lane // nil without a rate limit
	sent, received chan packet
	rest           []byte // of the packet being read
	closing        sync.Once
	closed         chan struct{}
}

func (c *delayedConn) due(via *lane, n int) time.Time {
	if via == nil {
		return time.Now().Add(c.delay)
	}
	return via.leave(n).Add(c.delay)
}

// Write hands the bytes over and returns; an error shows at a later call.
func (c *delayedConn) Write(data []byte) (int, error) {
	copied := append([]byte(nil), data...)
	select {
	case c.sent <- packet{due: c.due(c.out, len(data)), data: copied}:
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *delayedConn) writeLoop() {
	for {
		select {
		case next := <-c.sent:
			time.Sleep(time.Until(next.due))
			if _, err := c.Conn.Write(next.data); err != nil {
				_ = c.Close() // the reader reports the broken connection
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *delayedConn) readLoop() {
	for {
		buffer := make([]byte, 4096)
		n, err := c.Conn.Read(buffer)
		next := packet{due: c.due(c.back, n), data: buffer[:n], err: err}
		select {
		case c.received <- next:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read returns bytes that have arrived.
func (c *delayedConn) Read(data []byte) (int, error) {
	if len(c.rest) == 0 {
		select {
		case next := <-c.received:
			time.Sleep(time.Until(next.due))
			if len(next.data) == 0 {
				return 0, next.err
			}
			c.rest = next.data
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	n := copy(data, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Close closes the connection at once.
func (c *delayedConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
