package callermem

import "net/http"

// Approximate memory that a request in progress takes, with the copies of its head that are sent on.
const (
	requestBytes    = 8 << 10 // the request, its context, its answer, and the goroutines that serve it
	headerLineBytes = 256     // the entries of a header line in the request, in its copies, and in the list that sorts them
)

// RequestSize returns the memory that a request takes whose head has the given size and number of header lines.
func RequestSize(headBytes, headerLines int) int {
	return requestBytes + 2*headBytes + headerLines*headerLineBytes
}

// HeaderSize returns the memory that a request with this header takes.
func HeaderSize(header http.Header) int {
	bytes, lines := 0, 0
	for name, values := range header {
		for _, value := range values {
			bytes += len(name) + len(value)
			lines++
		}
	}
	return RequestSize(bytes, lines)
}
