// Package framing rejects requests that declare their body length twice, with Content-Length and Transfer-Encoding.
// Two servers may disagree on where such a request ends and parse what follows as another request (request
// smuggling). net/http accepts these requests and removes the Content-Length header, so the raw header is inspected
// as it arrives.
package framing

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxHeaderBytes limits the buffered part of an incomplete header; net/http rejects longer headers.
const maxHeaderBytes = 1 << 20

var (
	headerEnd           = []byte("\r\n\r\n")
	contentLength       = []byte("\ncontent-length:")
	transferEncoding    = []byte("\ntransfer-encoding:")
	informationalPrefix = []byte("HTTP/1.1 1")
)

// NewListener wraps a listener so that the headers of requests are inspected. The server must use ConnContext and
// Handler.
func NewListener(listener net.Listener) net.Listener {
	return inspectingListener{listener, func() Limits { return Limits{} }}
}

type inspectingListener struct {
	net.Listener
	limits func() Limits
}

func (l inspectingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &inspectedConn{Conn: accepted, limits: l.limits, inHeader: true}, nil
}

// inspectedConn inspects the header of the first request and of each one that arrives after a response was written. A
// pipelined request, sent before the previous response, is not inspected.
type inspectedConn struct {
	net.Conn
	limits func() Limits

	mu       sync.Mutex
	inHeader bool
	header   []byte
	fault    Fault
	// awaitingRequest is set while no request is in progress. Data that arrives after a response has begun may be the
	// rest of a body, to which the header limits do not apply.
	awaitingRequest bool
	headerTimer     *time.Timer // runs while a header arrives
	idleTimer       *time.Timer // runs while no request is in progress
}

// Read implements net.Conn.
func (c *inspectedConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inHeader && n > 0 {
		c.inspectHeader(buffer[:n])
	}
	return n, err
}

// inspectHeader appends data to the header and checks it once it is complete. The caller holds the mutex.
func (c *inspectedConn) inspectHeader(data []byte) {
	limits := c.limits()
	if len(c.header) == 0 && c.awaitingRequest {
		c.startHeaderTimer(limits)
	}
	c.header = append(c.header, data...)
	end := bytes.Index(c.header, headerEnd)
	if end < 0 && len(c.header) < maxHeaderBytes {
		return
	}
	c.stopHeaderTimer()
	c.awaitingRequest = false
	c.fault = NoFault
	if end >= 0 {
		lower := bytes.ToLower(c.header[:end+2])
		switch {
		case bytes.Contains(lower, contentLength) && bytes.Contains(lower, transferEncoding):
			c.fault = ConflictingLengths
		case limits.MaxHeaderBytes > 0 && end+len(headerEnd) > limits.MaxHeaderBytes:
			c.fault = HeaderTooLarge
		}
	}
	c.inHeader, c.header = false, nil
}

// Write implements net.Conn.
func (c *inspectedConn) Write(data []byte) (int, error) {
	if !bytes.HasPrefix(data, informationalPrefix) {
		c.mu.Lock()
		if !c.inHeader {
			c.inHeader, c.header = true, nil
		}
		c.mu.Unlock()
	}
	return c.Conn.Write(data)
}

type connKey struct{}

// ConnContext makes the connection available to Handler. It is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Fault is the reason for rejecting a request's header.
type Fault int

// Faults. The zero value is NoFault.
const (
	NoFault            Fault = iota
	ConflictingLengths       // both Content-Length and Transfer-Encoding
	HeaderTooLarge           // longer than Limits.MaxHeaderBytes, or too many lines
	MalformedHeader          // not a request head of HTTP/1.0 or HTTP/1.1
	UnknownEncoding          // a Transfer-Encoding other than "chunked"
	UnknownExpectation       // an Expect other than "100-continue"
	NoMemory                 // valid, but the heads of requests in progress take all memory that callers may use
)

// RefuseFunc responds to a request whose header has a fault. The request holds what is known of it.
type RefuseFunc func(w http.ResponseWriter, r *http.Request, fault Fault)

// Refuser is implemented by the handlers that Handler returns. A server that parses headers itself passes faults to
// RefuseHeader instead of calling ServeHTTP.
type Refuser interface {
	RefuseHeader(w http.ResponseWriter, r *http.Request, fault Fault)
}

// Handler passes requests with a faulty header to refuse and closes their connections. next serves all other
// requests. The result implements Refuser.
func Handler(next http.Handler, refuse RefuseFunc) http.Handler { return &handler{next, refuse} }

type handler struct {
	next   http.Handler
	refuse RefuseFunc
}

// ServeHTTP implements http.Handler. On the connections of NewListener it inspects the header.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inspected, ok := r.Context().Value(connKey{}).(*inspectedConn)
	if !ok {
		h.next.ServeHTTP(w, r)
		return
	}
	fault := inspected.headerFault()
	if fault == NoFault {
		h.next.ServeHTTP(w, r)
		return
	}
	h.RefuseHeader(w, r, fault)
}

// RefuseHeader implements Refuser.
func (h *handler) RefuseHeader(w http.ResponseWriter, r *http.Request, fault Fault) {
	w.Header().Set("Connection", "close")
	h.refuse(w, r, fault)
}

func (c *inspectedConn) headerFault() Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}
