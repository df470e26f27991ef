package inbound

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
)

// Guards against an answer that is none: net/http accepts status lines that HTTP does not have, and a caller got a status of
// 000 as the answer of a target. A request that may have run is not reported as not run.
func TestInvalidStatusLines(t *testing.T) {
	for name, c := range map[string]struct {
		line  string // status line of the target
		valid bool
	}{
		"ok":                       {"HTTP/1.1 200 OK", true},
		"no reason":                {"HTTP/1.1 200 ", true},
		"no reason and no space":   {"HTTP/1.1 200", true},
		"version 1.0":              {"HTTP/1.0 200 OK", true},
		"unknown class member":     {"HTTP/1.1 299 Odd", true},
		"target's own failure":     {"HTTP/1.1 599 Odd", true},
		"000":                      {"HTTP/1.1 000 Nothing", false},
		"099":                      {"HTTP/1.1 099 Low", false},
		"600":                      {"HTTP/1.1 600 High", false},
		"999":                      {"HTTP/1.1 999 High", false},
		"two digits":               {"HTTP/1.1 20 OK", false},
		"four digits":              {"HTTP/1.1 2000 OK", false},
		"plus sign":                {"HTTP/1.1 +20 OK", false},
		"minus sign":               {"HTTP/1.1 -20 OK", false},
		"letters":                  {"HTTP/1.1 2oo OK", false},
		"no status":                {"HTTP/1.1", false},
		"version 2.0":              {"HTTP/2.0 200 OK", false},
		"version 1.2":              {"HTTP/1.2 200 OK", false},
		"another protocol":         {"ICY 200 OK", false},
		"101 unasked":              {"HTTP/1.1 101 Switching Protocols", false},
		"reason with control byte": {"HTTP/1.1 200 O\x01K", false},
	} {
		for _, method := range []string{"GET", "POST"} {
			t.Run(name+" "+method, func(t *testing.T) {
				target := &rawTarget{start: c.line + "\r\nContent-Length: 2\r\n\r\nok"}
				node := startNode(t, target.listen(t), nil)
				answer := node.send(context.Background(), call{method: method, path: rawTargetPath,
					idempotent: method == "GET", timeout: 5 * time.Second})
				assert.NilError(t, answer.err)
				if c.valid {
					assert.Equal(t, answer.reason(), failure.Reason(""))
					assert.Equal(t, answer.body, "ok")
					return
				}
				assert.Equal(t, answer.reason(), failure.TargetConnectionBroke)
				assert.Equal(t, answer.outcome(), failure.Unknown)
				assert.Equal(t, answer.Response.StatusCode, 502)
			})
		}
	}
}

// Guards against a second answer in the body of one that has none.
func TestAnswersWithoutBodyEndTheirConnection(t *testing.T) {
	for _, status := range []string{"204 No Content", "304 Not Modified"} {
		target := &rawTarget{start: "HTTP/1.1 " + status + "\r\nContent-Length: 38\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}
		node := startNode(t, target.listen(t), nil)
		for request := int64(1); request <= 3; request++ {
			answer := node.send(context.Background(), call{method: "GET", path: rawTargetPath, idempotent: true, timeout: 5 * time.Second})
			assert.NilError(t, answer.err)
			assert.Assert(t, strings.HasPrefix(status, answer.Response.Status[:3]), "%s", answer.Response.Status)
			assert.Equal(t, target.connections.Load(), request)
		}
	}
}
