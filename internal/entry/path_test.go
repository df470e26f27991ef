package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/servicelist"
)

// pathSite is a fixture with the rules /lots/ and /lots/archive/, whose targets answer with the request target that they got.
type pathSite struct {
	*fixture
	conn   net.Conn
	reader *bufio.Reader
}

func newPathSite(t *testing.T) *pathSite {
	t.Helper()
	rule := func(name, prefix string, idempotent bool) *servicelist.Rule {
		return &servicelist.Rule{
			Name: name, Host: "orders", Prefix: prefix, Idempotent: idempotent, Timeout: 5 * time.Second, MaxAttempts: 1,
			Split: []servicelist.Share{{Service: "orders", Weight: 1}},
		}
	}
	rules := []*servicelist.Rule{rule("purchase", "/lots/", false), rule("archive", "/lots/archive/", true), rule("other", "//", false)}
	s := &pathSite{fixture: newFixtureWithRules(t, []string{"r"}, rules, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, r.RequestURI)
	})}
	conn, err := net.Dial("tcp", s.entry.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	s.conn, s.reader = conn, bufio.NewReader(conn)
	return s
}

// send sends a request with the request target to the entry and returns the status and the target that the service got.
func (s *pathSite) send(t rapid.TB, target string) (int, string) {
	t.Helper()
	_, err := fmt.Fprintf(s.conn, "POST %s HTTP/1.1\r\nHost: orders\r\nContent-Length: 1\r\n\r\nx", target)
	assert.NilError(t, err)
	response, err := http.ReadResponse(s.reader, nil)
	assert.NilError(t, err)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(text)
}

// rule returns the name of the rule under which the entry places a request with the request target, or "", and whether it may
// overlap with others of its connection.
func (s *pathSite) rule(t rapid.TB, target string) (string, bool) {
	t.Helper()
	request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST " + target + " HTTP/1.1\r\nHost: orders\r\n\r\n")))
	assert.NilError(t, err)
	mayOverlap := s.handler.MayOverlap(request)
	c, failed := s.handler.newCall(request, false)
	if failed != nil {
		return "", mayOverlap
	}
	return c.rule.Name, mayOverlap
}

// Guards against a rule that is found by a decoded path while the target gets another form of it, which ran purchases twice, and
// against bytes that net/http escapes on the way.
func TestPathIsMatchedAndSentByteForByte(t *testing.T) {
	s := newPathSite(t)
	for _, c := range []struct{ target, rule, sent string }{
		{"/lots/archive/7", "archive", ""},
		{"/lots/archive%2F7", "purchase", ""},
		{"/lots/archive%2f7?a=%2F|", "purchase", ""},
		{"/lots%2Farchive/7", "", ""},
		{"/lots/%61rchive/7", "purchase", ""},
		{"/lots/archive/..%2F7", "archive", ""},
		{"/lots/archive/../7", "archive", ""},
		{"/lots/./archive/7", "purchase", ""},
		{"/lots//archive/7", "purchase", ""},
		{"/lots/a|b^c\"<>`{}[]", "purchase", ""},
		{"/lots/archive/a|b%2e%2E", "archive", ""},
		{"/lots/\xc3\xa9%c3%A9", "purchase", ""},
		{"/lots/*?", "purchase", ""},
		{"/lots/#a?b#c", "purchase", ""},
		{"//lots/archive/7", "other", ""},
		{"//%2f/..//", "other", ""},
		{"http://orders/lots/archive%2F7|?q", "purchase", "/lots/archive%2F7|?q"},
		{"HTTP://orders/lots/archive/7", "archive", "/lots/archive/7"},
		{"http://orders//a:/b", "other", "//a:/b"},
		{"http://orders?/lots/", "", ""},
		{"/", "", ""},
		{"*", "", ""},
	} {
		rule, mayOverlap := s.rule(t, c.target)
		assert.Equal(t, rule, c.rule, c.target)
		assert.Equal(t, mayOverlap, c.rule == "archive", c.target)
		status, got := s.send(t, c.target)
		if c.rule == "" {
			assert.Assert(t, status == http.StatusBadRequest || status == http.StatusNotFound, "%s: %d", c.target, status)
			continue
		}
		if c.sent == "" {
			c.sent = c.target
		}
		assert.Equal(t, got, c.sent)
	}
	for _, target := range []string{"//a|b", "*", "http:lots/7"} {
		status, _ := s.send(t, target)
		assert.Equal(t, status, http.StatusBadRequest, target)
	}
}

// Guards against a path that is placed by other bytes than the target gets, for any path: the rule is that with the longest
// prefix of the bytes sent, and the same bytes arrive.
func TestAnyPathIsMatchedAsSent(t *testing.T) {
	s := newPathSite(t)
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{
			"/", "lots", "archive", "%2F", "%2f", "%6Cots", ".", "%2e", "|", "^", "*", ":", "a", "%00", "\xff", "#", "@", "//", "/lots/", "/lots/archive/",
		}), 0, 8).Draw(t, "parts")
		path := "/" + strings.Join(parts, "")
		if rapid.Bool().Draw(t, "likely") {
			path = "/lots/" + strings.Join(parts, "")
		}
		target := path + rapid.SampledFrom([]string{"", "?", "?a=/lots/|%2f"}).Draw(t, "query")
		want := ""
		switch {
		case strings.HasPrefix(path, "/lots/archive/"):
			want = "archive"
		case strings.HasPrefix(path, "/lots/"):
			want = "purchase"
		case strings.HasPrefix(path, "//"):
			want = "other"
		}
		rule, mayOverlap := s.rule(t, target)
		status, got := s.send(t, target)
		if status == http.StatusBadRequest && want == "other" && strings.IndexFunc(path, func(r rune) bool { return strings.ContainsRune("|^#", r) || r == utf8.RuneError }) >= 0 {
			assert.Equal(t, rule, "")
			return // net/http can't send it unchanged
		}
		assert.Equal(t, rule, want)
		assert.Equal(t, mayOverlap, want == "archive")
		if want == "" {
			assert.Equal(t, status, http.StatusNotFound)
			return
		}
		assert.Equal(t, got, target)
	})
}
