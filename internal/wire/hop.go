package wire

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop holds the headers that apply to one connection only (RFC 9110, section 7.6.1, and older names).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the hop-by-hop headers and those listed in Connection. "Te: trailers" is kept, because every hop
// here forwards trailers.
func RemoveHopByHop(header http.Header) {
	trailers := strings.Contains(strings.ToLower(header.Get("Te")), "trailers")
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(textproto.TrimString(name))
		}
	}
	RemoveHeaders(header, hopByHop)
	if trailers {
		header.Set("Te", "trailers")
	}
}

// RemoveHeaders removes the named headers. The names must be in canonical form.
func RemoveHeaders(header http.Header, names []string) {
	for _, name := range names {
		delete(header, name)
	}
}
