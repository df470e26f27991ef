// Package framing refuses requests whose body length is given in two ways, with Content-Length and Transfer-Encoding. Two
// servers may read such a request with different ends, and take what follows for another request. net/http accepts it and
// hides the one header, so the header is looked at as it arrives.
package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxHeaderBytes bounds what is kept of a header that has not ended; net/http refuses longer ones.
const maxHeaderBytes = 1 << 20

var (
	headerEnd        = []byte("\r\n\r\n")
	contentLength    = []byte("\ncontent-length:")
	transferEncoding = []byte("\ntransfer-encoding:")
	informational    = []byte("HTTP/1.1 1")
)

// Listen wraps a listener; its server must use ConnContext and Handler.
func Listen(listener net.Listener) net.Listener {
	return wrapped{listener, func() Limits { return Limits{} }}
}

type wrapped struct {
	net.Listener
	limits func() Limits
}

func (l wrapped) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, limits: l.limits, inHeader: true}, nil
}

// conn looks at the header of each request that arrives after an answer was written. A request that a caller sends before
// the answer to the one before is not looked at.
type conn struct {
	net.Conn
	limits func() Limits

	mu       sync.Mutex
	inHeader bool
	header   []byte
	fault    Fault
	// waiting tells that no request is under way. What arrives after an answer has begun may be the rest of a body, which
	// no limit of headers concerns.
	waiting bool
	late    *time.Timer // runs while a header arrives
	idle    *time.Timer // runs while no request is under way
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHeader && n > 0 {
		c.look(into[:n])
	}
	return n, err
}

// look adds bytes to the header and judges it at its end. The mutex is held.
func (c *conn) look(data []byte) {
	limits := c.limits()
	if len(c.header) == 0 && c.waiting {
		c.headerBegins(limits)
	}
	c.header = append(c.header, data...)
	end := bytes.Index(c.header, headerEnd)
	if end < 0 && len(c.header) < maxHeaderBytes {
		return
	}
	c.headerEnded()
	c.waiting = false
	c.fault = NoFault
	if end >= 0 {
		lower := bytes.ToLower(c.header[:end+2])
		switch {
		case bytes.Contains(lower, contentLength) && bytes.Contains(lower, transferEncoding):
			c.fault = TwoLengths
		case limits.HeaderBytes > 0 && end+len(headerEnd) > limits.HeaderBytes:
			c.fault = HeaderTooLarge
		}
	}
	c.inHeader, c.header = false, nil
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	if !bytes.HasPrefix(data, informational) {
		c.mu.Lock()
		if !c.inHeader {
			c.inHeader, c.header = true, nil
		}
		c.mu.Unlock()
	}
	return c.Conn.Write(data)
}

type connKey struct{}

// ConnContext is for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Fault is why a request's header is refused.
type Fault int

// Faults.
const (
	NoFault        Fault = iota
	TwoLengths           // Content-Length and Transfer-Encoding
	HeaderTooLarge       // more bytes than Limits.HeaderBytes
)

// Handler answers requests with a faulty header with refuse and closes their connection; next serves the others.
func Handler(next http.Handler, refuse func(w http.ResponseWriter, r *http.Request, fault Fault)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		looked, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		fault := looked.headerFault()
		if fault == NoFault {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		refuse(w, r, fault)
	})
}

func (c *conn) headerFault() Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}
