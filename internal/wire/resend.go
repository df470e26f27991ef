package wire

import (
	"io"
	"net/http"
	"strings"
)

// PreventResend changes a request without a body so that net/http does not send it again by itself when a connection that was
// used before breaks ahead of the answer. By default it does so for the methods that may be repeated, and for requests with an
// idempotency key. A request of which nothing was written may still be sent again.
func PreventResend(request *http.Request) {
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		request.Body = emptyBody{}
		request.TransferEncoding = identity // without it, an empty body of unknown length is sent in chunks
	default:
		request.Body = http.NoBody
		lowercaseKeyHeaders(request.Header)
	}
}

// identity is the transfer encoding of a body that is sent as it is. It is not modified.
var identity = []string{"identity"}

// lowercaseKeyHeaders changes the case of the idempotency key headers, with which net/http would resend a request
// without a body. Header names are case-insensitive for the receiver.
func lowercaseKeyHeaders(header http.Header) {
	for _, name := range [...]string{IdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

// emptyBody is an empty body of a type unknown to net/http, which therefore treats the request as not replayable.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// WriteTo implements io.WriterTo, without which each send would allocate a buffer of 32 KiB.
func (emptyBody) WriteTo(io.Writer) (int64, error) { return 0, nil }
