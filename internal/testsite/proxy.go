package testsite

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards TCP connections to a target address and injects delays, silence and resets. Safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	Delay    atomic.Int64 // added before each write, in nanoseconds
	// DropToTarget and DropFromTarget discard data towards and from the target. A connection that lost data stays open but
	// delivers nothing more in that direction, even after Heal.
	DropToTarget, DropFromTarget atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewProxy starts a proxy to a target address on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Addr returns the proxy's listen address as host:port.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // the listener was closed
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	if !p.add(client, target) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { p.copy(target, client, &p.DropToTarget) })
	directions.Go(func() { p.copy(client, target, &p.DropFromTarget) })
	directions.Wait()
	p.remove(client, target)
}

// copy forwards one direction until either side closes. After data was dropped once, it forwards nothing more.
func (p *Proxy) copy(dst, src net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	dropped := false
	for {
		n, err := src.Read(buffer)
		dropped = dropped || drop.Load()
		if n > 0 && !dropped {
			if delay := time.Duration(p.Delay.Load()); delay > 0 {
				time.Sleep(delay)
			}
			if _, err := dst.Write(buffer[:n]); err != nil {
				reset(src)
				return
			}
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) || dropped {
				reset(dst)
				return
			}
			_ = dst.Close() // the other side reads EOF
			return
		}
	}
}

func (p *Proxy) add(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		for _, conn := range conns {
			reset(conn)
		}
		return false
	}
	for _, conn := range conns {
		p.conns[conn] = true
	}
	return true
}

func (p *Proxy) remove(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(p.conns, conn)
	}
}

// ResetAll resets all open connections.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// Heal removes the delay and stops dropping data; if data was being dropped, it resets all open connections.
func (p *Proxy) Heal() {
	p.Delay.Store(0)
	wasDropping := p.DropToTarget.Swap(false)
	if p.DropFromTarget.Swap(false) || wasDropping {
		p.ResetAll()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetAll()
	p.mu.Lock()
	p.conns = nil
	p.mu.Unlock()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may be closed already
	}
	_ = conn.Close()
}
