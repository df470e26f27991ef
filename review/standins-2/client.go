package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var nextID atomic.Uint64

// newID returns the id of a consumer attempt.
func newID(kind string) string { return fmt.Sprintf("%s%012x", kind, 0x9c41d07be2a3+nextID.Add(1)) }

// reply is what a consumer got for an attempt.
type reply struct {
	status    int // 0: no answer
	problem   string
	id        string // Acacialock-Request-Id of the answer
	signature string
	retry     string // Retry-After
	reason    string
	body      string
}

func (r reply) String() string {
	if r.status == 0 {
		return "no answer: " + r.problem
	}
	return fmt.Sprintf("%d, signature %q, Retry-After %q, %d bytes", r.status, r.signature, r.retry, len(r.body))
}

// consumer sends requests to the Outbound address of its machine, each on a new connection.
type consumer struct {
	outbound string
	deadline time.Duration
}

// send sends one attempt and returns the reply. header holds further header lines that end with CRLF each.
func (c consumer) send(method, path, id, header, body string) reply {
	conn, err := net.DialTimeout("tcp", c.outbound, time.Second)
	if err != nil {
		return reply{problem: err.Error()}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAcacialock-Request-Id: %s\r\nAcacialock-Deadline-Ms: %d\r\n%s",
		method, path, host, id, c.deadline.Milliseconds(), header)
	if method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return reply{problem: err.Error()}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return reply{problem: err.Error()}
	}
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{problem: "the answer broke off: " + err.Error()}
	}
	return reply{
		status: response.StatusCode, id: response.Header.Get("Acacialock-Request-Id"),
		signature: response.Header.Get("Acacialock-Response-Signature"), retry: response.Header.Get("Retry-After"),
		reason: response.Header.Get("Acacialock-Reason"), body: string(got),
	}
}

// isPromise reports whether the status promises that the request has not run and never will.
func isPromise(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}
