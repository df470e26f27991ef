package callerhttp

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/acacialock/acacialock/internal/callermem"
)

// minAheadBytes is the size of the first buffer for a body that is read ahead. It grows as the body arrives.
const minAheadBytes = 4 << 10

// ReadAhead reads the whole body, whose length must be known, before the request is sent on. The memory is taken as the body
// arrives and counted until the request ends. Until ReadAhead returns, the connection is closed if others need its memory or its
// place, like one whose head is incomplete. The error is that of ctx, callermem.ErrFull or that of the connection.
func (b *body) ReadAhead(ctx context.Context) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, http.ErrBodyReadAfterClose
	}
	if b.err != nil {
		return nil, b.err
	}
	length := int(b.remaining)
	if c := b.exchange.conn; c.end-c.start < length {
		defer c.beginReadAhead(ctx, b.exchange)()
	}
	var data []byte
	for b.err == nil {
		if len(data) == cap(data) {
			size := min(max(2*cap(data), minAheadBytes), length)
			if !b.ReserveBody(size - cap(data)) {
				b.err = callermem.ErrFull // the rest of the body is not read any more
				return nil, callermem.ErrFull
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, _ := b.read(data[len(data):cap(data)]) // the error is kept in err
		data = data[:len(data)+n]
	}
	switch {
	case b.err == io.EOF:
		return data, nil
	case ctx.Err() != nil:
		return nil, ctx.Err()
	default:
		return nil, b.err
	}
}

// ReserveBody counts bytes of the body that are kept until the request ends, unless callers would make the process hold too much.
func (b *body) ReserveBody(bytes int) bool {
	e := b.exchange
	if !e.conn.server.account.Reserve(callermem.Bodies, int64(bytes)) {
		return false
	}
	e.bodyBytes.Add(int64(bytes))
	return true
}

// beginReadAhead lets the connection be closed for others, and makes reads of the body fail once ctx ends. The result ends both.
func (c *conn) beginReadAhead(ctx context.Context, e *exchange) (end func()) {
	c.setAwaitsBody(e, true)
	stop := context.AfterFunc(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if e.awaitsBody {
			c.setDeadline(longPast)
		}
	})
	return func() {
		stop()
		c.setAwaitsBody(e, false)
	}
}

// setAwaitsBody records whether the connection may be closed for others because the body of e has not arrived.
func (c *conn) setAwaitsBody(e *exchange, awaits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.awaitsBody, e.awaitsBodySince = awaits, time.Now()
}
