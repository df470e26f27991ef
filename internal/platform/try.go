package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialock/acacialock/internal/timing"
)

// Reasons of a repeated try, as used in the counters' names.
const (
	retrySilent      = "silent"
	retryRateLimited = "rate-limited"
	retryServerError = "server-error"
	retryConnect     = "connect-failed"
	retryLost        = "connection-lost"
	retryBadAnswer   = "bad-answer"
)

const (
	maxErrorBytes = 64 << 10
	idleTimeout   = 90 * time.Second
)

// call identifies an operation for counters and errors.
type call struct {
	operation string
	path      string
	name      string // the row or object that is looked up; empty when the operation looks up none
}

// do sends the request until it has a final answer or time runs out, and decodes the answer of a success.
func (c *Client) do(ctx context.Context, op call, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &RejectedError{Operation: op.operation, Message: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.OperationTimeout)
	defer cancel()
	var last error // of the last try that failed before time ran out
	for try := 0; ; try++ {
		err := c.try(ctx, op, try, body, answer)
		if err == nil || final(err) {
			return err
		}
		if ctx.Err() == nil {
			last = err
			c.config.Metrics.Counter("platform.retry." + retryReason(err)).Inc(1)
			_ = timing.Sleep(ctx, c.wait(try, err)) // the end of ctx is seen below
		}
		if ctx.Err() != nil {
			c.config.Metrics.Counter("platform.unavailable." + op.operation).Inc(1)
			return &UnavailableError{Operation: op.operation, Cause: &GaveUpError{Tries: try + 1, Last: last, Context: ctx.Err()}}
		}
	}
}

// try sends the request once.
func (c *Client) try(ctx context.Context, op call, try int, body []byte, answer any) error {
	c.config.Metrics.Counter("platform.try." + op.operation).Inc(1)
	timeout := c.tryTimeout(try)
	tryCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	transport := c.currentTransport()
	status, header, text, err := c.exchange(tryCtx, transport, op, body)
	if err != nil {
		if tryCtx.Err() != nil && ctx.Err() == nil {
			c.replaceTransport(transport)
			return &SilentError{Timeout: timeout}
		}
		return err
	}
	return decode(op, status, header, text, answer)
}

// exchange sends one HTTP request and reads the whole answer.
func (c *Client) exchange(ctx context.Context, transport *http.Transport, op call, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.config.Addr+op.path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, &RejectedError{Operation: op.operation, Message: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	c.config.Metrics.Counter("platform.bytes.sent").Inc(int64(len(body)))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or its error is returned
	text, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxResponseBytes+1))
	c.config.Metrics.Counter("platform.bytes.received").Inc(int64(len(text)))
	if err == nil && int64(len(text)) > c.config.MaxResponseBytes {
		err = &BadAnswerError{Detail: fmt.Sprintf("longer than %d bytes", c.config.MaxResponseBytes)}
	}
	return response.StatusCode, response.Header, text, err
}

// decode turns an answer into the operation's result or its typed error.
func decode(op call, status int, header http.Header, text []byte, answer any) error {
	switch {
	case status == http.StatusOK:
		if err := json.Unmarshal(text, answer); err != nil {
			return &BadAnswerError{Detail: err.Error()}
		}
		return nil
	case status == http.StatusNotFound && op.name != "":
		return &NotFoundError{Name: op.name}
	case status == http.StatusConflict:
		var conflict RowsResponse
		if err := json.Unmarshal(text, &conflict); err != nil {
			return &BadAnswerError{Detail: err.Error()}
		}
		return &ConflictError{Stored: rowsOf(conflict.Rows)}
	case status == http.StatusTooManyRequests || status >= http.StatusInternalServerError:
		return &StatusError{Status: status, RetryAfter: retryAfter(header)}
	}
	return &RejectedError{Operation: op.operation, Status: status, Message: message(text)}
}

func message(text []byte) string {
	var failed ErrorResponse
	if err := json.Unmarshal(text, &failed); err == nil && failed.Message != "" {
		return failed.Message
	}
	return string(text[:min(len(text), maxErrorBytes)])
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// final reports whether another try can't change the result.
func final(err error) bool {
	switch err.(type) {
	case *NotFoundError, *ConflictError, *RejectedError:
		return true
	}
	return false
}

func retryReason(err error) string {
	var status *StatusError
	var malformed *BadAnswerError
	var silent *SilentError
	var network *net.OpError
	switch {
	case errors.As(err, &status) && status.Status == http.StatusTooManyRequests:
		return retryRateLimited
	case errors.As(err, &status):
		return retryServerError
	case errors.As(err, &malformed):
		return retryBadAnswer
	case errors.As(err, &silent):
		return retrySilent
	case errors.As(err, &network) && network.Op == "dial":
		return retryConnect
	}
	return retryLost
}

// tryTimeout doubles with each try: the first detects a silent connection early, later ones suit a slow store.
func (c *Client) tryTimeout(try int) time.Duration {
	return doubled(c.config.TryTimeout, try, c.config.MaxTryTimeout)
}

// wait is the time before the next try: full jitter, on top of what the platform asked for.
func (c *Client) wait(try int, err error) time.Duration {
	bound := doubled(c.config.BackoffBase, try, c.config.BackoffMax)
	jitter := rand.N(bound + 1)
	var status *StatusError
	if errors.As(err, &status) {
		return status.RetryAfter + jitter
	}
	return jitter
}

func doubled(base time.Duration, times int, limit time.Duration) time.Duration {
	for range times {
		if base >= limit {
			break
		}
		base *= 2
	}
	return min(base, limit)
}

func (c *Client) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         c.config.Dial,
		MaxConnsPerHost:     c.config.Connections,
		MaxIdleConnsPerHost: c.config.Connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

func (c *Client) currentTransport() *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transport
}

// replaceTransport makes later tries use new connections. Idle connections as old as the silent one are probably
// silent too, so they are closed instead of costing one timeout each.
func (c *Client) replaceTransport(silent *http.Transport) {
	c.mu.Lock()
	replaced := c.transport == silent
	if replaced {
		c.transport = c.newTransport()
	}
	c.mu.Unlock()
	if replaced {
		silent.CloseIdleConnections()
	}
}
