package testnet

import (
	"net"
	"sync"
	"time"
)

// lane is one direction of the link between regions: bytes leave one after the other at the link's rate.
type lane struct {
	mu    sync.Mutex
	free  time.Time
	bytes int64
}

// leave returns when n bytes handed over now have left.
func (l *lane) leave(n int, bitsPerSecond float64) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) * 8 / bitsPerSecond * float64(time.Second)))
	l.bytes += int64(n)
	return l.free
}

type packet struct {
	due  time.Time
	data []byte
	err  error
}

// conn delivers bytes in both directions after a delay without limiting how many are under way. A silent one swallows
// what is written and delivers nothing until it is closed.
type conn struct {
	net.Conn
	delay          time.Duration
	rate           float64 // bits per second of the lanes
	out, back      *lane   // nil without a rate limit
	sent, received chan packet
	rest           []byte // of the packet being read
	closing        sync.Once
	closed         chan struct{}
	silencing      sync.Once
	silent         chan struct{}
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

func (c *conn) silence() { c.silencing.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *conn) due(via *lane, n int) time.Time {
	if via == nil {
		return time.Now().Add(c.delay)
	}
	return via.leave(n, c.rate).Add(c.delay)
}

// Write hands the bytes over and returns; an error shows at a later call.
func (c *conn) Write(data []byte) (int, error) {
	if c.isSilent() {
		return len(data), nil
	}
	copied := append([]byte(nil), data...)
	select {
	case c.sent <- packet{due: c.due(c.out, len(data)), data: copied}:
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
		case next := <-c.sent:
			time.Sleep(time.Until(next.due))
			if c.isSilent() {
				return
			}
			if _, err := c.Conn.Write(next.data); err != nil {
				_ = c.Close() // the reader reports the broken connection
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
		next := packet{due: c.due(c.back, n), data: buffer[:n], err: err}
		select {
		case c.received <- next:
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

// Read returns bytes that have arrived.
func (c *conn) Read(data []byte) (int, error) {
	if len(c.rest) == 0 {
		if err := c.next(); err != nil {
			return 0, err
		}
	}
	n := copy(data, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// next waits for a packet with bytes.
func (c *conn) next() error {
	select {
	case next := <-c.received:
		time.Sleep(time.Until(next.due))
		if c.isSilent() {
			<-c.closed
			return net.ErrClosed
		}
		if len(next.data) == 0 {
			return next.err
		}
		c.rest = next.data
		return nil
	case <-c.silent:
		<-c.closed
		return net.ErrClosed
	case <-c.closed:
		return net.ErrClosed
	}
}

// Close closes the connection at once.
func (c *conn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
