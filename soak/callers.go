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
	// callPause is the mean pause of a caller between two requests.
	callPause = 30 * time.Millisecond
	host      = "shop.example"
)

// request is what a caller knows of one request.
type request struct {
	id         string
	idempotent bool
	node       string
	began      time.Time
	status     int // 0: no answer
	whole      bool
	problem    string // what was wrong with the answer
	sent       bool   // the request may have reached the node
}

// promisesNotRun reports whether the answer says that the request has not run and never will.
func (r *request) promisesNotRun() bool {
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// callers send requests over connections that they keep open until these end.
type callers struct {
	nodes    []*testsite.Node
	seed     uint64
	requests struct {
		sync.Mutex
		all []*request // that have ended
	}
	stopped atomic.Bool
	running sync.WaitGroup
}

func startCallers(nodes []*testsite.Node, count int, seed uint64) *callers {
	c := &callers{nodes: nodes, seed: seed}
	for i := range count {
		c.running.Go(func() { c.call(i) })
	}
	return c
}

// stop waits for the requests under way.
func (c *callers) stop() {
	c.stopped.Store(true)
	c.running.Wait()
}

// call sends requests one after another to one node, with a client of its own.
func (c *callers) call(number int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(number)))
	to := c.nodes[number%len(c.nodes)]
	transport := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for i := 0; !c.stopped.Load(); i++ {
		sent := &request{id: fmt.Sprintf("c%d-%d", number, i), idempotent: random.IntN(2) == 0, node: to.Name}
		c.send(transport, to.Callers.Addr(), sent, random.IntN(4) == 0)
		c.requests.Lock()
		c.requests.all = append(c.requests.all, sent)
		c.requests.Unlock()
		time.Sleep(time.Duration(random.ExpFloat64() * float64(callPause)))
	}
}

// send makes one request and judges its answer.
func (c *callers) send(transport *http.Transport, addr string, r *request, chunked bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	method, path, body := http.MethodPost, "/buy/now", "three bolts of "+r.id
	if r.idempotent {
		method, path, body = http.MethodGet, "/browse/"+r.id, ""
	}
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
		if chunked {
			reader = struct{ io.Reader }{reader}
		}
	}
	sending, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, reader)
	if err != nil {
		panic(err) // the parts are constant
	}
	sending.Host = host
	sending.GetBody = nil // nothing is sent twice
	standin.Stamp(sending.Header, r.id, callTimeout)
	r.began = time.Now()
	answer, err := transport.RoundTrip(sending)
	if err != nil {
		var dial *net.OpError
		r.sent = !errors.As(err, &dial) || dial.Op != "dial"
		return
	}
	defer answer.Body.Close()
	r.sent = true
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return // an answer that broke off is none
	}
	r.status, r.whole = answer.StatusCode, true
	r.judge(answer, text, fmt.Sprintf(" %s %s %s", method, path, body))
}

// judge looks for bytes that don't belong to the request.
func (r *request) judge(answer *http.Response, text []byte, want string) {
	id, signed := standin.AnswerOf(answer.Header)
	switch {
	case answer.StatusCode == http.StatusOK && id != r.id:
		r.problem = fmt.Sprintf("the answer belongs to request %q", id)
	case answer.StatusCode == http.StatusOK && !signed:
		r.problem = "a success without a worker's signature"
	case answer.StatusCode == http.StatusOK && !bytes.HasSuffix(text, []byte(want)):
		r.problem = fmt.Sprintf("the body is %q, want %q after the worker's id", text, want)
	case answer.StatusCode == http.StatusNotFound || answer.StatusCode == http.StatusBadRequest:
		r.problem = fmt.Sprintf("a proper request was answered with %d", answer.StatusCode)
	}
}

// served is the share of the requests that began since a time and were answered with success.
func (c *callers) served(since time.Time) (share float64, count int) {
	c.requests.Lock()
	defer c.requests.Unlock()
	good := 0
	for _, r := range c.requests.all {
		if r.began.After(since) {
			count++
			if r.status == http.StatusOK {
				good++
			}
		}
	}
	return float64(good) / float64(max(1, count)), count
}
