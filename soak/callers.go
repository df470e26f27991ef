package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/testsite"
	"github.com/acacialock/acacialock/platform/standin"
)

const (
	callTimeout = 2 * time.Second
	// meanCallPause is the mean of the exponentially distributed pause between a caller's requests.
	meanCallPause = 30 * time.Millisecond
	host          = "shop.example"
)

// request records one request and its result as its caller observed them.
type request struct {
	id         string
	idempotent bool
	node       string
	startedAt  time.Time
	endedAt    time.Time
	status     int    // HTTP status, 0 without a complete response
	problem    string // why the response is invalid; empty if it is valid
	maybeSent  bool   // the request may have reached the node
}

// guaranteesNotRun reports whether the status guarantees that the request did not run and will not run later.
func (r *request) guaranteesNotRun() bool {
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// callers send requests over persistent connections until stopped.
type callers struct {
	nodes    []*testsite.Node
	seed     uint64
	requests struct {
		sync.Mutex
		completed []*request
	}
	stopped atomic.Bool
	running sync.WaitGroup
}

func startCallers(nodes []*testsite.Node, count int, seed uint64) *callers {
	c := &callers{nodes: nodes, seed: seed}
	for i := range count {
		c.running.Go(func() { c.runCaller(i) })
	}
	return c
}

// stop prevents further requests and waits for those in flight.
func (c *callers) stop() {
	c.stopped.Store(true)
	c.running.Wait()
}

// runCaller sends requests sequentially to one node over its own transport.
func (c *callers) runCaller(index int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(index)))
	node := c.nodes[index%len(c.nodes)]
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for i := 0; !c.stopped.Load(); i++ {
		req := &request{id: fmt.Sprintf("c%d-%d", index, i), idempotent: random.IntN(2) == 0, node: node.Name}
		c.send(transport, node.Callers.Addr(), req, random.IntN(4) == 0)
		req.endedAt = time.Now()
		c.requests.Lock()
		c.requests.completed = append(c.requests.completed, req)
		c.requests.Unlock()
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanCallPause)))
	}
}

// send executes one request and validates the response.
func (c *callers) send(transport *http.Transport, addr string, r *request, chunked bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	method, path, body := http.MethodPost, "/buy/now", "three bolts of "+r.id
	if r.idempotent {
		method, path, body = http.MethodGet, "/browse/"+r.id, ""
	}
	var requestBody io.Reader
	if body != "" {
		requestBody = strings.NewReader(body)
		if chunked {
			requestBody = struct{ io.Reader }{requestBody}
		}
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, requestBody)
	if err != nil {
		panic(err) // method and URL are always valid
	}
	httpRequest.Host = host
	httpRequest.GetBody = nil // keeps the transport from replaying the body
	standin.SetRequestHeaders(httpRequest.Header, r.id, callTimeout)
	r.startedAt = time.Now()
	response, err := transport.RoundTrip(httpRequest)
	if err != nil {
		var opErr *net.OpError
		r.maybeSent = !errors.As(err, &opErr) || opErr.Op != "dial"
		return
	}
	defer response.Body.Close()
	r.maybeSent = true
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return // a truncated response counts as no response
	}
	r.status = response.StatusCode
	r.validate(response, responseBody, fmt.Sprintf(" %s %s %s", method, path, body))
}

// validate records a problem if the response does not belong to the request or is not signed.
func (r *request) validate(response *http.Response, body []byte, wantSuffix string) {
	id, signed := standin.ParseResponseHeader(response.Header)
	switch {
	case response.StatusCode == http.StatusOK && id != r.id:
		r.problem = fmt.Sprintf("the answer belongs to request %q", id)
	case response.StatusCode == http.StatusOK && !signed:
		r.problem = "a success without a worker's signature"
	case response.StatusCode == http.StatusOK && !bytes.HasSuffix(body, []byte(wantSuffix)):
		r.problem = fmt.Sprintf("the body is %q, want %q after the worker's id", body, wantSuffix)
	case response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusBadRequest:
		r.problem = fmt.Sprintf("a valid request was answered with %d", response.StatusCode)
	}
}

// successRate returns the share of the requests started after since that were answered with 200, and their number.
func (c *callers) successRate(since time.Time) (share float64, count int) {
	c.requests.Lock()
	defer c.requests.Unlock()
	succeeded := 0
	for _, r := range c.requests.completed {
		if r.startedAt.After(since) {
			count++
			if r.status == http.StatusOK {
				succeeded++
			}
		}
	}
	return float64(succeeded) / float64(max(1, count)), count
}
