package callerhttp

import (
	"io"
	"syscall"
)

// readMore waits for data and appends it to the buffer. A connection that has no unread data holds no buffer while it waits.
func (c *conn) readMore() error {
	c.makeRoom()
	if c.raw == nil {
		c.acquire()
		n, err := c.net.Read(c.buffer[c.end:])
		c.end += n
		if n > 0 {
			return nil
		}
		return err
	}
	if err := c.raw.Read(c.onRead); err != nil {
		return err
	}
	if c.result.err != nil {
		return c.result.err
	}
	if c.result.n == 0 {
		return io.EOF
	}
	return nil
}

// readArrived reads what has arrived, without waiting, and reports whether there was anything. A read that waits fails after its
// deadline although data is there, for example when the process did not run while it arrived.
func (c *conn) readArrived() bool {
	if c.raw == nil {
		return false
	}
	c.makeRoom()
	c.result.n = 0
	err := c.raw.Control(func(fd uintptr) { c.readReady(fd) })
	return err == nil && c.result.n > 0
}

// readReady reads from the descriptor without waiting. It returns false if there is nothing to read yet.
func (c *conn) readReady(fd uintptr) bool {
	c.acquire()
	n, err := syscall.Read(int(fd), c.buffer[c.end:])
	for err == syscall.EINTR {
		n, err = syscall.Read(int(fd), c.buffer[c.end:])
	}
	if err == syscall.EAGAIN {
		c.releaseEmpty()
		return false
	}
	c.result.n, c.result.err = max(n, 0), err
	c.end += max(n, 0)
	if n <= 0 {
		c.releaseEmpty()
	}
	return true
}

// acquire provides a buffer if there is none.
func (c *conn) acquire() {
	if len(c.buffer) > 0 {
		return
	}
	c.pooled = readBuffers.Get().(*[readBufferBytes]byte)
	c.buffer, c.start, c.end = c.pooled[:], 0, 0
}

// releaseEmpty gives the buffer back if it holds no unread data.
func (c *conn) releaseEmpty() {
	if c.start < c.end {
		return
	}
	if c.pooled != nil {
		readBuffers.Put(c.pooled)
	}
	c.pooled, c.buffer, c.start, c.end = nil, nil, 0, 0
}

// makeRoom moves the unread data to the start of a full buffer, or doubles the buffer.
func (c *conn) makeRoom() {
	if c.start == c.end {
		c.start, c.end = 0, 0
	}
	if c.end < len(c.buffer) || len(c.buffer) == 0 {
		return
	}
	if c.start > 0 {
		c.end = copy(c.buffer, c.buffer[c.start:c.end])
		c.start = 0
		return
	}
	larger := make([]byte, 2*len(c.buffer))
	copy(larger, c.buffer)
	if c.pooled != nil {
		readBuffers.Put(c.pooled)
		c.pooled = nil
	}
	c.buffer = larger
}
