package callermem

import "net/http"

// Approximate memory that a request in progress takes, with the copies of its head that are sent on.
const (
	requestBytes    = 24 << 10 // the request, its answer, its connection to the next node, and the goroutines that serve it
	headerLineBytes = 256      // the entries of a header line in the request, in its copies, and in the list that sorts them
)

// RequestSize returns the memory that a request in progress takes whose head has the given size and number of header lines.
func RequestSize(headBytes, headerLines int) int {
	return requestBytes + headSize(headBytes, headerLines)
}

// ForwardedSize returns the memory that a request in progress takes that another node has forwarded.
func ForwardedSize(header http.Header) int { return requestBytes + HeaderSize(header) }

// HeaderSize returns the memory that a header takes.
func HeaderSize(header http.Header) int {
	bytes, lines := 0, 0
	for name, values := range header {
		for _, value := range values {
			bytes += len(name) + len(value)
			lines++
		}
	}
	return headSize(bytes, lines)
}

func headSize(bytes, lines int) int { return 2*bytes + lines*headerLineBytes }
