package callerhttp

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/framing"
)

var testBounds = headBounds{bytes: 1000, lines: 20}

// readHead scans data in parts of the given size and parses the head.
func readHead(data []byte, part int) (request *http.Request, length int, fault framing.Fault) {
	var scanner headScanner
	request = &http.Request{}
	for end := min(part, len(data)); ; end = min(end+part, len(data)) {
		length, fault = scanner.scan(data[:end], testBounds)
		if fault != framing.NoFault {
			return request, length, fault
		}
		if length > 0 {
			return request, length, parseHead(request, data[:length])
		}
		if end == len(data) {
			return request, 0, framing.NoFault
		}
	}
}

// malformedHeads maps heads that two servers may read differently, and those beyond the limits, to their fault.
var malformedHeads = map[string]framing.Fault{
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":          framing.ConflictingLengths,
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\ncontent-length: 0\r\n\r\n":          framing.ConflictingLengths,
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n":                   framing.MalformedHeader,
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1, 1\r\n\r\n":                                     framing.MalformedHeader,
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\n":                                       framing.MalformedHeader,
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n":                                       framing.MalformedHeader,
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0x1\r\n\r\n":                                      framing.MalformedHeader,
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length:\r\n\r\n":                                          framing.MalformedHeader,
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n":                     framing.MalformedHeader,
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":                         framing.UnknownEncoding,
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n": framing.UnknownEncoding,
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity\r\n\r\n":                              framing.UnknownEncoding,
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding:\r\n\r\n":                                       framing.UnknownEncoding,
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: \vchunked\r\n\r\n":                             framing.MalformedHeader,
	"POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n":                               framing.MalformedHeader,
	"POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 1\r\n\r\n":                                       framing.MalformedHeader,
	"POST / HTTP/1.1\r\nHost: x\r\nExpect: more\r\n\r\n":                                             framing.UnknownExpectation,
	"GET / HTTP/1.1\r\nHost: x\r\n folded: 1\r\n\r\n":                                                framing.MalformedHeader,
	"GET / HTTP/1.1\r\n Host: x\r\n\r\n":                                                             framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n\tc\r\n\r\n":                                               framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\n: b\r\n\r\n":                                                       framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\nA\r\n\r\n":                                                         framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\nA b: c\r\n\r\n":                                                    framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\nA\x00: c\r\n\r\n":                                                  framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\nA: c\x00\r\n\r\n":                                                  framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\nA: c\x7f\r\n\r\n":                                                  framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n":                                                        framing.MalformedHeader,
	"GET / HTTP/1.1\nHost: x\n\n":                                                                    framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\nA: b\rContent-Length: 1\r\n\r\n":                                   framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\r\n\r\n":                                                            framing.MalformedHeader,
	"GET / HTTP/1.1\r\n\r\n":                                                                         framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\nHost: x\r\n\r\n":                                                   framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x y\r\n\r\n":                                                            framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x/y\r\n\r\n":                                                            framing.MalformedHeader,
	"GET  / HTTP/1.1\r\nHost: x\r\n\r\n":                                                             framing.MalformedHeader,
	"GET / HTTP/1.1 \r\nHost: x\r\n\r\n":                                                             framing.MalformedHeader,
	"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n":                                                           framing.MalformedHeader,
	"GET /\t HTTP/1.1\r\nHost: x\r\n\r\n":                                                            framing.MalformedHeader,
	"GET a HTTP/1.1\r\nHost: x\r\n\r\n":                                                              framing.MalformedHeader,
	"GET /%zz HTTP/1.1\r\nHost: x\r\n\r\n":                                                           framing.MalformedHeader,
	"G@T / HTTP/1.1\r\nHost: x\r\n\r\n":                                                              framing.MalformedHeader,
	" / HTTP/1.1\r\nHost: x\r\n\r\n":                                                                 framing.MalformedHeader,
	"GET /\r\nHost: x\r\n\r\n":                                                                       framing.MalformedHeader,
	"GET / HTTP/2.0\r\nHost: x\r\n\r\n":                                                              framing.MalformedHeader,
	"GET / HTTP/1.2\r\nHost: x\r\n\r\n":                                                              framing.MalformedHeader,
	"GET / http/1.1\r\nHost: x\r\n\r\n":                                                              framing.MalformedHeader,
	"\r\n\r\n\r\n\r\n\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n":                                          framing.MalformedHeader,
	"\nGET / HTTP/1.1\r\nHost: x\r\n\r\n":                                                            framing.MalformedHeader,
	"GET / HTTP/1.1\r\nHost: x\r\nA: " + strings.Repeat("b", 1000) + "\r\n\r\n":                      framing.HeaderTooLarge,
	"GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\r\n", 20) + "\r\n":                          framing.HeaderTooLarge,
	"GET /" + strings.Repeat("b", 1000):                                                              framing.HeaderTooLarge,
}

// Guards against heads that two servers may read differently, and against faults that depend on how a head is split into
// parts.
func TestMalformedHeads(t *testing.T) {
	for head, want := range malformedHeads {
		for _, part := range []int{len(head), 1, 2, 7} {
			_, _, fault := readHead([]byte(head), part)
			assert.Check(t, fault == want, "%q in parts of %d bytes: fault %d, want %d", head, part, fault, want)
		}
	}
}

// validHeads are accepted; a fuzz test starts from them.
var validHeads = []string{
	"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
	"\r\n\r\nGET /a%2Fb?c=%20#d HTTP/1.1\r\nhost: x:80\r\nX-a: 1\r\nx-A:\t2 \r\nEmpty:\r\n\r\n",
	"POST http://y/a HTTP/1.1\r\nHost: x\r\nContent-Length: 12\r\nConnection: a, close\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\nPragma: no-cache\r\nExpect: 100-Continue\r\n\r\n",
	"OPTIONS * HTTP/1.1\r\nHost: [::1]:80\r\nA: \xff\r\n\r\n",
	"CONNECT x:80 HTTP/1.1\r\nHost: x:80\r\n\r\n",
	"GET / HTTP/1.0\r\nConnection: Keep-Alive\r\n\r\n",
	"GET / HTTP/1.0\r\n\r\n",
}

// requireEqual fails the test if the accepted head is not what http.ReadRequest reads.
func requireEqual(t *testing.T, head []byte, got *http.Request) {
	t.Helper()
	want, err := http.ReadRequest(bufio.NewReader(io.MultiReader(bytes.NewReader(bytes.TrimLeft(head, "\r\n")), strings.NewReader(""))))
	assert.NilError(t, err, "%q was accepted", head)
	assert.Equal(t, got.Method, want.Method)
	assert.Assert(t, reflect.DeepEqual(got.URL, want.URL), "%q", head)
	assert.Equal(t, got.URL.EscapedPath(), want.URL.EscapedPath())
	assert.Equal(t, got.RequestURI, want.RequestURI)
	assert.Equal(t, got.Proto, want.Proto)
	assert.Equal(t, got.ProtoMinor, want.ProtoMinor)
	assert.DeepEqual(t, got.Header, want.Header)
	assert.Equal(t, got.Host, want.Host)
	assert.Equal(t, got.ContentLength, want.ContentLength)
	assert.DeepEqual(t, got.TransferEncoding, want.TransferEncoding)
	assert.Equal(t, got.Close, want.Close)
}

// Guards against requests that the handlers see differently from before: what is accepted is parsed as net/http parses it.
func TestValidHeads(t *testing.T) {
	for _, head := range validHeads {
		for _, part := range []int{len(head), 1} {
			got, length, fault := readHead([]byte(head+"GET"), part)
			assert.Equal(t, fault, framing.NoFault, "%q", head)
			assert.Equal(t, length, len(head))
			requireEqual(t, []byte(head), got)
		}
	}
}

// FuzzHead guards against heads that are accepted and that net/http reads differently, or with another end.
func FuzzHead(f *testing.F) {
	for _, head := range validHeads {
		f.Add([]byte(head))
	}
	for head := range malformedHeads {
		f.Add([]byte(head))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, length, fault := readHead(data, max(len(data), 1))
		split, splitLength, splitFault := readHead(data, 1)
		assert.Equal(t, fault == framing.NoFault, splitFault == framing.NoFault, "%q", data)
		if fault != framing.NoFault || length == 0 {
			return
		}
		assert.Equal(t, splitLength, length)
		assert.DeepEqual(t, split.Header, got.Header)
		requireEqual(t, data[:length], got)
	})
}
