package wire

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop headers belong to one connection (RFC 9110, section 7.6.1, and older names).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the headers that belong to one connection, also those that Connection names. "Te: trailers"
// stays, since each hop here passes trailers on.
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

// RemoveHeaders removes headers by their canonical names.
func RemoveHeaders(header http.Header, names []string) {
	for _, name := range names {
		delete(header, name)
	}
}
