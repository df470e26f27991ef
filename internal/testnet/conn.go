package testnet

import (
	"net"
	"sync"
	"time"
)

// linkDirection is one direction of the link between two regions; it transmits bytes sequentially at the rate of the link.
type linkDirection struct {
	mu     sync.Mutex
	idleAt time.Time // end of the transmission of the bytes queued so far
}

// transmit queues n bytes and returns when their transmission ends.
func (d *linkDirection) transmit(n int, bitsPerSecond float64) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if d.idleAt.Before(now) {
		d.idleAt = now
	}
	d.idleAt = d.idleAt.Add(time.Duration(float64(n) * 8 / bitsPerSecond * float64(time.Second)))
	return d.idleAt
}

// packet is a piece of data, or a read error, that is delivered at a given time.
type packet struct {
	due  time.Time
	data []byte
	err  error
}

// conn delays the bytes of both directions without limiting how many are in flight. Once silent, it discards what is
// written and delivers nothing, and its reads block until it is closed.
type conn struct {
	net.Conn
	delay               time.Duration
	rate                float64        // bits per second in each direction of the link
	writeLink, readLink *linkDirection // for written and read bytes; nil without a rate limit
	sent, received      chan packet
	unread              []byte // rest of the packet being read
	closeOnce           sync.Once
	closed              chan struct{}
	silenceOnce         sync.Once
	silent              chan struct{}
}

func newConn(raw net.Conn, delay time.Duration) *conn {
	return &conn{
		Conn:     raw,
		delay:    delay,
		sent:     make(chan packet, 256),
		received: make(chan packet, 256),
		closed:   make(chan struct{}),
		silent:   make(chan struct{}),
	}
}

func (c *conn) start() {
	go c.writeLoop()
	go c.readLoop()
}

func (c *conn) silence() { c.silenceOnce.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *conn) due(link *linkDirection, n int) time.Time {
	if link == nil {
		return time.Now().Add(c.delay)
	}
	return link.transmit(n, c.rate).Add(c.delay)
}

// Write queues a copy of data and returns. A later call returns an error of the underlying connection.
func (c *conn) Write(data []byte) (int, error) {
	if c.isSilent() {
		return len(data), nil
	}
	copied := append([]byte(nil), data...)
	select {
	case c.sent <- packet{due: c.due(c.writeLink, len(data)), data: copied}:
		return len(data), nil
	case <-c.silent:
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *conn) writeLoop() {
	for {
		select {
		case p := <-c.sent:
			time.Sleep(time.Until(p.due))
			if c.isSilent() {
				return
			}
			if _, err := c.Conn.Write(p.data); err != nil {
				_ = c.Close() // the read loop reports the failed connection
				return
			}
		case <-c.closed:
			return
		}
	}
}

func (c *conn) readLoop() {
	for {
		buffer := make([]byte, 4096)
		n, err := c.Conn.Read(buffer)
		p := packet{due: c.due(c.readLink, n), data: buffer[:n], err: err}
		select {
		case c.received <- p:
		case <-c.silent:
			return
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read reads bytes whose delay has passed.
func (c *conn) Read(data []byte) (int, error) {
	if len(c.unread) == 0 {
		if err := c.nextPacket(); err != nil {
			return 0, err
		}
	}
	n := copy(data, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// nextPacket waits for a packet with data and stores it in unread.
func (c *conn) nextPacket() error {
	select {
	case p := <-c.received:
		time.Sleep(time.Until(p.due))
		if c.isSilent() {
			<-c.closed
			return net.ErrClosed
		}
		if len(p.data) == 0 {
			return p.err
		}
		c.unread = p.data
		return nil
	case <-c.silent:
		<-c.closed
		return net.ErrClosed
	case <-c.closed:
		return net.ErrClosed
	}
}

// Close closes the connection immediately and discards the data in flight.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
