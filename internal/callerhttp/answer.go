package callerhttp

import (
	"fmt"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// answerBufferBytes is the size of the buffer in which an answer's header and the start of its body are collected, so that
	// small answers need one write.
	answerBufferBytes = 4 << 10
	// maxUnsizedBytes is the size of the largest body without a length that is held back until its handler returns, so that
	// its length can be announced.
	maxUnsizedBytes = 2 << 10
	sniffedBytes    = 512 // of a body, from which http.DetectContentType finds its type
)

var answerBuffers = sync.Pool{New: func() any { return new([answerBufferBytes]byte) }}

var newlineToSpace = strings.NewReplacer("\n", " ", "\r", " ")

// answer is the state of an answer that is written. Only the goroutine of its handler uses it.
type answer struct {
	header     http.Header
	status     int // 0: not set yet
	pooled     *[answerBufferBytes]byte
	buffer     []byte   // bytes to send: the header, and the body so far
	bodyStart  int      // of the part of the body in buffer that has no header or chunk line yet
	length     int64    // of the body; -1: unknown
	written    int64    // bytes of the body
	trailers   []string // names of the announced trailers
	sniff      bool     // the type of the body is found from its first bytes
	began      bool     // the header is complete
	chunked    bool
	parts      [3][]byte // that are sent together
	closes     bool      // the handler or the protocol wants the connection closed
	fullDuplex bool
}

// release gives the buffer back.
func (a *answer) release() {
	if a.pooled != nil {
		answerBuffers.Put(a.pooled)
	}
	a.pooled, a.buffer = nil, nil
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header {
	if e.answer.header == nil {
		e.answer.header = http.Header{}
	}
	return e.answer.header
}

// WriteHeader implements http.ResponseWriter. It takes the header as it is now; the connection is decided on later.
func (e *exchange) WriteHeader(status int) {
	if status < 100 || status > 999 {
		panic(fmt.Sprintf("invalid status %d", status))
	}
	a := &e.answer
	if a.status != 0 {
		return
	}
	if a.buffer == nil {
		a.pooled = answerBuffers.Get().(*[answerBufferBytes]byte)
		a.buffer = a.pooled[:0]
	}
	if status < 200 && status != http.StatusSwitchingProtocols {
		e.writeInformational(status)
		return
	}
	a.status = status
	a.closes = hasToken(a.header["Connection"], "close")
	a.trailers = announcedTrailers(a.header["Trailer"])
	a.setLength()
	a.appendStatusLine(e.request.ProtoMinor, status)
	_, typed := a.header["Content-Type"]
	a.sniff = !typed && a.header.Get("Content-Encoding") == ""
	a.appendHeader()
	if _, dated := a.header["Date"]; !dated {
		a.buffer = append(a.buffer, "Date: "...)
		a.buffer = time.Now().UTC().AppendFormat(a.buffer, http.TimeFormat)
		a.buffer = append(a.buffer, "\r\n"...)
	}
	a.bodyStart = len(a.buffer)
}

// writeInformational sends an answer that precedes the final one.
func (e *exchange) writeInformational(status int) {
	a := &e.answer
	if e.request.ProtoMinor == 0 {
		return
	}
	a.appendStatusLine(1, status)
	a.appendHeader()
	a.buffer = append(a.buffer, "\r\n"...)
	_ = e.conn.send(e, append(a.parts[:0], a.buffer)) // a failure is seen when the final answer is sent
	a.buffer = a.buffer[:0]
}

// setLength takes the length from the header. An invalid one is dropped.
func (a *answer) setLength() {
	values := a.header["Content-Length"]
	if len(values) == 0 {
		return
	}
	if length, ok := parseLength(values[0]); ok && len(values) == 1 && a.status != http.StatusNoContent {
		a.length = length
		return
	}
	delete(a.header, "Content-Length")
}

func (a *answer) appendStatusLine(minor, status int) {
	a.buffer = append(a.buffer, "HTTP/1."...)
	a.buffer = append(a.buffer, byte('0'+minor), ' ')
	a.buffer = strconv.AppendInt(a.buffer, int64(status), 10)
	a.buffer = append(a.buffer, ' ')
	a.buffer = append(a.buffer, http.StatusText(status)...)
	a.buffer = append(a.buffer, "\r\n"...)
}

// appendHeader appends the header lines without those that the server decides on.
func (a *answer) appendHeader() {
	for name, values := range a.header {
		if name == "Connection" || name == "Transfer-Encoding" || strings.HasPrefix(name, http.TrailerPrefix) || !isToken(name) || a.isTrailer(name) {
			continue
		}
		a.appendLines(name, values)
	}
}

func (a *answer) isTrailer(name string) bool {
	for _, trailer := range a.trailers {
		if trailer == name {
			return true
		}
	}
	return false
}

// appendLines appends one line for each value. Line breaks in values become spaces, so that a value can't end its line.
func (a *answer) appendLines(name string, values []string) {
	for _, value := range values {
		if strings.ContainsAny(value, "\r\n") {
			value = newlineToSpace.Replace(value)
		}
		a.buffer = append(a.buffer, name...)
		a.buffer = append(a.buffer, ": "...)
		a.buffer = append(a.buffer, textproto.TrimString(value)...)
		a.buffer = append(a.buffer, "\r\n"...)
	}
}

// announcedTrailers returns the canonical names in the values of Trailer.
func announcedTrailers(values []string) (names []string) {
	for _, value := range values {
		for name := range strings.SplitSeq(value, ",") {
			name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if isToken(name) && name != "Content-Length" && name != "Transfer-Encoding" && name != "Trailer" {
				names = append(names, name)
			}
		}
	}
	return names
}

// allowsBody reports whether the status permits a body.
func (a *answer) allowsBody() bool {
	return a.status >= 200 && a.status != http.StatusNoContent && a.status != http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (e *exchange) Write(data []byte) (int, error) {
	a := &e.answer
	if a.status == 0 {
		e.WriteHeader(http.StatusOK)
	}
	if len(data) == 0 {
		return 0, nil
	}
	if !a.allowsBody() {
		return 0, http.ErrBodyNotAllowed
	}
	if a.written += int64(len(data)); a.length >= 0 && a.written > a.length {
		return 0, http.ErrContentLength
	}
	if !a.began {
		if a.length < 0 && len(a.buffer)-a.bodyStart+len(data) <= maxUnsizedBytes {
			a.buffer = append(a.buffer, data...)
			return len(data), nil
		}
		e.begin(data, false)
	}
	switch {
	case e.request.Method == http.MethodHead:
	case len(a.buffer)+len(data) <= answerBufferBytes-len("1000\r\n\r\n"):
		a.buffer = append(a.buffer, data...)
	default:
		if err := e.flush(data); err != nil {
			return 0, err
		}
	}
	return len(data), nil
}

// WriteString implements io.StringWriter.
func (e *exchange) WriteString(text string) (int, error) { return e.Write([]byte(text)) }

// Flush implements http.Flusher.
func (e *exchange) Flush() { _ = e.FlushError() }

// FlushError sends what was written so far. It is meant for http.ResponseController.
func (e *exchange) FlushError() error {
	if e.answer.status == 0 {
		e.WriteHeader(http.StatusOK)
	}
	if !e.answer.began {
		e.begin(nil, false)
	}
	return e.flush(nil)
}

// begin completes the header, which comes before the part of the body in the buffer. next is the part of the body that
// follows. If last is set, the body is complete.
func (e *exchange) begin(next []byte, last bool) {
	a := &e.answer
	a.began = true
	if e.body != nil && !a.fullDuplex && !e.body.discard() {
		a.closes = true
	}
	if e.body != nil {
		e.awaitsContinue() // the answer begins, so the caller is not asked for the body any more
	}
	var lines [160]byte
	tail := lines[:0]
	body := a.buffer[a.bodyStart:]
	if a.sniff && len(body)+len(next) > 0 {
		first := append(body[:len(body):len(body)], next[:min(len(next), sniffedBytes)]...)
		tail = appendLine(tail, "Content-Type", http.DetectContentType(first))
	}
	tail = e.appendLength(tail, len(body), last)
	a.closes = a.closes || e.request.Close
	switch {
	case e.conn.announceClose(e, a.closes):
		tail = appendLine(tail, "Connection", "close")
	case e.request.ProtoMinor == 0:
		tail = appendLine(tail, "Connection", "keep-alive")
	}
	tail = append(tail, "\r\n"...)
	if e.request.Method == http.MethodHead {
		a.buffer = a.buffer[:a.bodyStart]
	}
	size := len(a.buffer)
	a.buffer = append(a.buffer, tail...)
	copy(a.buffer[a.bodyStart+len(tail):], a.buffer[a.bodyStart:size])
	copy(a.buffer[a.bodyStart:], tail)
	a.bodyStart += len(tail)
}

// appendLength appends the line that tells where the body ends, if the header does not.
func (e *exchange) appendLength(tail []byte, size int, last bool) []byte {
	a := &e.answer
	isHead := e.request.Method == http.MethodHead
	switch {
	case a.length >= 0 || !a.allowsBody():
	case last && len(a.trailers) == 0 && !a.hasPrefixedTrailers():
		a.length = int64(size)
		if !isHead || size > 0 {
			tail = appendLine(tail, "Content-Length", strconv.Itoa(size))
		}
	case e.request.ProtoMinor == 0:
		a.closes = true
	default:
		a.chunked = !isHead
		tail = appendLine(tail, "Transfer-Encoding", "chunked")
	}
	return tail
}

func (a *answer) hasPrefixedTrailers() bool {
	for name := range a.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			return true
		}
	}
	return false
}

func appendLine(to []byte, name, value string) []byte {
	to = append(to, name...)
	to = append(to, ": "...)
	to = append(to, value...)
	return append(to, "\r\n"...)
}

// flush sends the buffer and then data, as one chunk if the answer is chunked.
func (e *exchange) flush(data []byte) error {
	a := &e.answer
	if a.chunked {
		a.frameChunk(len(data))
	}
	parts := a.parts[:0]
	if len(a.buffer) > 0 {
		parts = append(parts, a.buffer)
	}
	if len(data) > 0 {
		parts = append(parts, data)
		if a.chunked {
			parts = append(parts, crlf)
		}
	}
	a.buffer, a.bodyStart = a.buffer[:0], 0
	if len(parts) == 0 {
		return nil
	}
	return e.conn.send(e, parts)
}

var crlf = []byte("\r\n")

// frameChunk makes the body in the buffer, with the following bytes, a chunk. If none follow, the chunk is complete.
func (a *answer) frameChunk(following int) {
	size := len(a.buffer) - a.bodyStart
	if size+following == 0 {
		return
	}
	var digits [18]byte
	line := append(strconv.AppendInt(digits[:0], int64(size+following), 16), "\r\n"...)
	end := len(a.buffer)
	a.buffer = append(a.buffer, line...)
	copy(a.buffer[a.bodyStart+len(line):], a.buffer[a.bodyStart:end])
	copy(a.buffer[a.bodyStart:], line)
	if following == 0 {
		a.buffer = append(a.buffer, "\r\n"...)
	}
	a.bodyStart = len(a.buffer)
}

// finishAnswer sends the rest of the answer. It returns false if the answer is shorter than announced or can't be sent.
func (e *exchange) finishAnswer() bool {
	a := &e.answer
	defer a.release()
	if a.status == 0 {
		e.WriteHeader(http.StatusOK)
	}
	if !a.began {
		e.begin(nil, true)
	}
	if a.chunked {
		a.frameChunk(0)
		a.buffer = append(a.buffer, "0\r\n"...)
		a.appendTrailers()
		a.buffer = append(a.buffer, "\r\n"...)
		a.bodyStart = len(a.buffer)
		a.chunked = false
	}
	if a.allowsBody() && e.request.Method != http.MethodHead && a.length >= 0 && a.written != a.length {
		return false
	}
	return e.flush(nil) == nil
}

// appendTrailers appends the announced trailers and those with http.TrailerPrefix.
func (a *answer) appendTrailers() {
	for _, name := range a.trailers {
		a.appendLines(name, a.header[name])
	}
	for key, values := range a.header {
		if name, found := strings.CutPrefix(key, http.TrailerPrefix); found && isToken(name) {
			a.appendLines(name, values)
		}
	}
}
