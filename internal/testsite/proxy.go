package testsite

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy passes connections on to an address and harms them on demand. Safe for concurrent use.
type Proxy struct {
	listener net.Listener
	to       string
	Delay    atomic.Int64 // of each piece of data, a time.Duration
	// SilentTo and SilentBack drop what is sent towards the target, back from it, or both; connections stay open and harmed for good.
	SilentTo, SilentBack atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// NewProxy returns a proxy on a free port.
func NewProxy(to string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, to: to, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Addr is the host:port that it listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.pass(client)
	}
}

func (p *Proxy) pass(client net.Conn) {
	target, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(client)
		return
	}
	if !p.add(client, target) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(target, client, &p.SilentTo) })
	both.Go(func() { p.copy(client, target, &p.SilentBack) })
	both.Wait()
	p.remove(client, target)
}

// copy passes one direction on until either side ends. Once harmed, a connection delivers nothing more in this direction.
func (p *Proxy) copy(to, from net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	harmed := false
	for {
		n, err := from.Read(buffer)
		harmed = harmed || silent.Load()
		if n > 0 && !harmed {
			if delay := time.Duration(p.Delay.Load()); delay > 0 {
				time.Sleep(delay)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) || harmed {
				reset(to)
				return
			}
			_ = to.Close() // the other side reads an end
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

// ResetAll resets the open connections.
func (p *Proxy) ResetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// Heal ends all harm; connections that were silenced are reset.
func (p *Proxy) Heal() {
	p.Delay.Store(0)
	wasSilent := p.SilentTo.Swap(false)
	if p.SilentBack.Swap(false) || wasSilent {
		p.ResetAll()
	}
}

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.ResetAll()
	p.mu.Lock()
	p.conns = nil
	p.mu.Unlock()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it may be closed already
	}
	_ = conn.Close()
}
