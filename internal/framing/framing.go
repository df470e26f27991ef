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
func Listen(listener net.Listener) net.Listener { return wrapped{listener} }

type wrapped struct{ net.Listener }

func (l wrapped) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted, inHeader: true}, nil
}

// conn looks at the header of each request that arrives after an answer was written. A request that a caller sends before
// the answer to the one before is not looked at.
type conn struct {
	net.Conn

	mu        sync.Mutex
	inHeader  bool
	header    []byte
	ambiguous bool
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
	c.header = append(c.header, data...)
	end := bytes.Index(c.header, headerEnd)
	if end < 0 && len(c.header) < maxHeaderBytes {
		return
	}
	if end >= 0 {
		lower := bytes.ToLower(c.header[:end+2])
		c.ambiguous = bytes.Contains(lower, contentLength) && bytes.Contains(lower, transferEncoding)
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

// Handler answers ambiguous requests with refuse and closes their connection; next serves the others.
func Handler(next http.Handler, refuse func(w http.ResponseWriter, r *http.Request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		looked, ok := r.Context().Value(connKey{}).(*conn)
		if !ok || !looked.isAmbiguous() {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		refuse(w, r)
	})
}

func (c *conn) isAmbiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ambiguous
}
