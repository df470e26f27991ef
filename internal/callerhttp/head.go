package callerhttp

import (
	"bytes"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"

	"github.com/acacialock/acacialock/internal/framing"
)

const (
	// maxEmptyLines is the number of empty lines that are skipped before a request line.
	maxEmptyLines = 4
	// maxLengthDigits keeps the value of a Content-Length below the largest int64.
	maxLengthDigits = 18
)

// headScanner finds the end of a request head in data that arrives in parts, and reads each byte once.
type headScanner struct {
	offset   int  // start of the line that is not complete
	searched int  // bytes that were searched for the end of that line
	lines    int  // complete lines
	inHead   bool // a line that is not empty was seen
}

// headBounds limit a request head.
type headBounds struct {
	bytes int // of the head, with the empty line at its end
	lines int // header lines
}

// scan continues with data, the head as far as it has arrived, and returns the length of a complete head, 0 if more data is
// needed, or a fault. Empty lines before the head belong to it.
func (s *headScanner) scan(data []byte, bounds headBounds) (length int, fault framing.Fault) {
	for {
		i := bytes.IndexByte(data[s.searched:], '\n')
		if i < 0 {
			if s.searched = len(data); len(data) >= bounds.bytes {
				return 0, framing.HeaderTooLarge
			}
			return 0, framing.NoFault
		}
		line := data[s.offset : s.searched+i]
		s.searched += i + 1
		s.offset = s.searched
		switch {
		case s.offset > bounds.bytes:
			return 0, framing.HeaderTooLarge
		case len(line) == 0 || line[len(line)-1] != '\r':
			return 0, framing.MalformedHeader
		case len(line) > 1:
			s.inHead = true
			if s.lines++; s.lines > bounds.lines+1 {
				return 0, framing.HeaderTooLarge
			}
		case s.inHead:
			return s.offset, framing.NoFault
		default:
			if s.lines++; s.lines > maxEmptyLines {
				return 0, framing.MalformedHeader
			}
		}
	}
}

// parseHead parses a complete head into request. The result equals that of http.ReadRequest, without a body and without the announced
// trailers. With a fault the request holds what was parsed before it.
func parseHead(request *http.Request, head []byte) framing.Fault {
	text := strings.TrimLeft(string(head), "\r\n") // one copy, which the strings of the request share
	request.Proto, request.ProtoMajor, request.ProtoMinor = "HTTP/1.1", 1, 1
	request.Body = http.NoBody
	line, rest, _ := strings.Cut(text, "\r\n")
	if !parseRequestLine(request, line) {
		request.URL, request.Header = &url.URL{}, http.Header{}
		return framing.MalformedHeader
	}
	if !parseHeaderLines(request, rest) || !setHost(request) {
		return framing.MalformedHeader
	}
	if fault := setLength(request); fault != framing.NoFault {
		return fault
	}
	request.Close = closesAfter(request)
	if pragma := request.Header["Pragma"]; len(pragma) > 0 && pragma[0] == "no-cache" && request.Header["Cache-Control"] == nil {
		request.Header["Cache-Control"] = []string{"no-cache"}
	}
	if expect := request.Header["Expect"]; len(expect) > 0 && expect[0] != "" && !strings.EqualFold(expect[0], "100-continue") {
		return framing.UnknownExpectation
	}
	return framing.NoFault
}

// parseRequestLine sets the method, the target and the version. The parts are separated by exactly one space each.
func parseRequestLine(request *http.Request, line string) bool {
	method, rest, _ := strings.Cut(line, " ")
	target, version, found := strings.Cut(rest, " ")
	if !found || !isToken(method) || !isTarget(target) {
		return false
	}
	switch version {
	case "HTTP/1.1":
	case "HTTP/1.0":
		request.Proto, request.ProtoMinor = version, 0
	default:
		return false
	}
	request.Method, request.RequestURI = method, target
	authority := method == http.MethodConnect && target[0] != '/'
	if authority {
		target = "http://" + target
	}
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return false
	}
	if authority {
		parsed.Scheme = ""
	}
	request.URL = parsed
	return true
}

// parseHeaderLines parses the lines after the request line, up to the empty one.
func parseHeaderLines(request *http.Request, text string) bool {
	count := strings.Count(text, "\n") - 1
	request.Header = make(http.Header, max(count, 0))
	values := make([]string, max(count, 0)) // one allocation for the first values of all names
	for {
		line, rest, _ := strings.Cut(text, "\r\n")
		if line == "" {
			return true
		}
		text = rest
		name, value, found := strings.Cut(line, ":")
		if !found || !isToken(name) {
			return false // also for a line that continues the one before, which starts with a space
		}
		value = strings.Trim(value, " \t") // not CR, which textproto.TrimString removes
		if !isHeaderValue(value) {
			return false
		}
		key := textproto.CanonicalMIMEHeaderKey(name)
		if former, ok := request.Header[key]; ok {
			request.Header[key] = append(former, value)
			continue
		}
		values[0] = value
		request.Header[key], values = values[:1:1], values[1:]
	}
}

// setHost sets the host from the request target or from the Host header, which must be given once in HTTP/1.1.
func setHost(request *http.Request) bool {
	hosts := request.Header["Host"]
	if len(hosts) > 1 || len(hosts) == 0 && request.ProtoMinor == 1 {
		return false
	}
	if len(hosts) == 1 && !isHost(hosts[0]) {
		return false
	}
	request.Host = request.URL.Host
	if request.Host == "" && len(hosts) == 1 {
		request.Host = hosts[0]
	}
	delete(request.Header, "Host")
	return true
}

// setLength sets the length of the body, or finds that it is declared twice or in a way that another server could read
// differently.
func setLength(request *http.Request) framing.Fault {
	encodings, encoded := request.Header["Transfer-Encoding"]
	lengths, sized := request.Header["Content-Length"]
	switch {
	case encoded && sized:
		return framing.ConflictingLengths
	case encoded && request.ProtoMinor == 0:
		return framing.MalformedHeader
	case encoded && (len(encodings) > 1 || !strings.EqualFold(encodings[0], "chunked")):
		return framing.UnknownEncoding
	case encoded:
		delete(request.Header, "Transfer-Encoding")
		delete(request.Header, "Trailer")
		request.TransferEncoding = []string{"chunked"}
		request.ContentLength = -1
	case sized:
		length, ok := parseLength(lengths[0])
		if !ok || len(lengths) > 1 {
			return framing.MalformedHeader
		}
		request.ContentLength = length
	}
	return framing.NoFault
}

func parseLength(text string) (int64, bool) {
	if text == "" || len(text) > maxLengthDigits || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	length, err := strconv.ParseInt(text, 10, 64)
	return length, err == nil
}

// closesAfter reports whether the caller wants its connection closed after the answer.
func closesAfter(request *http.Request) bool {
	values := request.Header["Connection"]
	if request.ProtoMinor == 0 {
		return hasToken(values, "close") || !hasToken(values, "keep-alive")
	}
	return hasToken(values, "close")
}

// hasToken reports whether one of the values, which are lists separated by commas, contains the token.
func hasToken(values []string, token string) bool {
	for _, value := range values {
		for value != "" {
			var item string
			item, value, _ = strings.Cut(value, ",")
			if strings.EqualFold(strings.Trim(item, " \t"), token) {
				return true
			}
		}
	}
	return false
}

// tokenBytes are the bytes of a token, and hostBytes those of a Host value (RFC 9110, RFC 3986).
var tokenBytes, hostBytes = byteSet("!#$%&'*+-.^_`|~"), byteSet("!$%&()*+,-.:;='[]_~")

// byteSet returns the set of letters, digits and the given bytes.
func byteSet(others string) (set [256]bool) {
	for b := range 256 {
		set[b] = 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z' || '0' <= b && b <= '9' || b < 0x80 && strings.IndexByte(others, byte(b)) >= 0
	}
	return set
}

func isToken(text string) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

func isHost(text string) bool {
	for i := range len(text) {
		if !hostBytes[text[i]] {
			return false
		}
	}
	return true
}

// isTarget reports whether the text may be a request target: not empty, without spaces and control bytes.
func isTarget(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == 0x7f {
			return false
		}
	}
	return text != ""
}

// isHeaderValue reports whether the text has no control bytes other than tabs.
func isHeaderValue(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' && text[i] != '\t' || text[i] == 0x7f {
			return false
		}
	}
	return true
}
