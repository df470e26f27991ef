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

// Reasons for a retry, as used in the names of the platform.retry counters.
const (
	retryTimeout           = "silent"
	retryRateLimited       = "rate-limited"
	retryServerError       = "server-error"
	retryConnectFailed     = "connect-failed"
	retryConnectionLost    = "connection-lost"
	retryMalformedResponse = "bad-answer"
)

const (
	maxErrorBytes = 64 << 10 // an error body that is no ErrorResponse is cut to this length in RejectedError.Message
	idleTimeout   = 90 * time.Second
	// maxResponseHeaderBytes bounds the header of a response of the store.
	maxResponseHeaderBytes = 64 << 10
)

// operation holds the endpoint of an operation and the names under which counters and errors report it.
type operation struct {
	name     string
	path     string
	resource string // row or object to look up, for NotFoundError; empty if the operation looks up none
}

// do sends the request until it gets a final response or the operation times out. It decodes a successful response
// into response.
func (c *Client) do(ctx context.Context, op operation, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return &RejectedError{Operation: op.name, Message: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.OperationTimeout)
	defer cancel()
	var last error // error of the last try that failed before ctx ended
	for try := 0; ; try++ {
		err := c.try(ctx, op, try, body, response)
		if err == nil || isFinal(err) {
			return err
		}
		if ctx.Err() == nil {
			last = err
			c.config.Metrics.Counter("platform.retry." + retryReason(err)).Inc(1)
			_ = timing.Sleep(ctx, c.backoff(try, err)) // the end of ctx is checked below
		}
		if ctx.Err() != nil {
			c.config.Metrics.Counter("platform.unavailable." + op.name).Inc(1)
			return &UnavailableError{Operation: op.name, Cause: &RetriesEndedError{Tries: try + 1, Last: last, Context: ctx.Err()}}
		}
	}
}

// try sends the request once, with the timeout for the given try number. After a timeout it replaces the transport,
// because the connection is probably dead.
func (c *Client) try(ctx context.Context, op operation, try int, body []byte, response any) error {
	c.config.Metrics.Counter("platform.try." + op.name).Inc(1)
	timeout := c.tryTimeout(try)
	tryCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	transport := c.currentTransport()
	status, header, responseBody, err := c.exchange(tryCtx, transport, op, body)
	if err != nil {
		if tryCtx.Err() != nil && ctx.Err() == nil {
			c.replaceTransport(transport)
			return &TryTimeoutError{Timeout: timeout}
		}
		return err
	}
	return decodeResponse(op, status, header, responseBody, response)
}

// exchange sends one HTTP request and reads the complete response, up to MaxResponseBytes.
func (c *Client) exchange(ctx context.Context, transport *http.Transport, op operation, body []byte) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.config.Addr+op.path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, &RejectedError{Operation: op.name, Message: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	c.config.Metrics.Counter("platform.bytes.sent").Inc(int64(len(body)))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or its error is returned
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxResponseBytes+1))
	c.config.Metrics.Counter("platform.bytes.received").Inc(int64(len(responseBody)))
	if err == nil && int64(len(responseBody)) > c.config.MaxResponseBytes {
		err = &MalformedResponseError{Detail: fmt.Sprintf("longer than %d bytes", c.config.MaxResponseBytes)}
	}
	return response.StatusCode, response.Header, responseBody, err
}

// decodeResponse decodes a response into the operation's result or a typed error.
func decodeResponse(op operation, status int, header http.Header, responseBody []byte, response any) error {
	switch {
	case status == http.StatusOK:
		if err := json.Unmarshal(responseBody, response); err != nil {
			return &MalformedResponseError{Detail: err.Error()}
		}
		return nil
	case status == http.StatusNotFound && op.resource != "":
		return &NotFoundError{Name: op.resource}
	case status == http.StatusConflict:
		var conflict RowsResponse
		if err := json.Unmarshal(responseBody, &conflict); err != nil {
			return &MalformedResponseError{Detail: err.Error()}
		}
		return &ConflictError{Stored: rowsFromMessages(conflict.Rows)}
	case status == http.StatusTooManyRequests || status >= http.StatusInternalServerError:
		return &StatusError{Status: status, RetryAfter: parseRetryAfter(header)}
	}
	return &RejectedError{Operation: op.name, Status: status, Message: errorMessage(responseBody)}
}

// errorMessage returns the message of an ErrorResponse, or else the start of the body.
func errorMessage(responseBody []byte) string {
	var failed ErrorResponse
	if err := json.Unmarshal(responseBody, &failed); err == nil && failed.Message != "" {
		return failed.Message
	}
	return string(responseBody[:min(len(responseBody), maxErrorBytes)])
}

// parseRetryAfter returns the Retry-After header given in seconds, or 0 if it is absent or invalid.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// isFinal reports whether a retry can't change the result.
func isFinal(err error) bool {
	switch err.(type) {
	case *NotFoundError, *ConflictError, *RejectedError:
		return true
	}
	return false
}

// retryReason classifies the error of a try for the platform.retry counters.
func retryReason(err error) string {
	var status *StatusError
	var malformed *MalformedResponseError
	var timedOut *TryTimeoutError
	var network *net.OpError
	switch {
	case errors.As(err, &status) && status.Status == http.StatusTooManyRequests:
		return retryRateLimited
	case errors.As(err, &status):
		return retryServerError
	case errors.As(err, &malformed):
		return retryMalformedResponse
	case errors.As(err, &timedOut):
		return retryTimeout
	case errors.As(err, &network) && network.Op == "dial":
		return retryConnectFailed
	}
	return retryConnectionLost
}

// tryTimeout returns the timeout of a try. It doubles with each try: a short first timeout detects a dead connection
// early, and longer ones later leave a slow store time to respond.
func (c *Client) tryTimeout(try int) time.Duration {
	return doubled(c.config.TryTimeout, try, c.config.MaxTryTimeout)
}

// backoff returns the wait before the next try: exponential backoff with full jitter, plus the Retry-After of the
// response.
func (c *Client) backoff(try int, err error) time.Duration {
	bound := doubled(c.config.BackoffBase, try, c.config.BackoffMax)
	jitter := rand.N(bound + 1)
	var status *StatusError
	if errors.As(err, &status) {
		return status.RetryAfter + jitter
	}
	return jitter
}

// doubled returns base doubled the given number of times, but at most limit.
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
		DialContext:            c.config.Dial,
		MaxConnsPerHost:        c.config.Connections,
		MaxIdleConnsPerHost:    c.config.Connections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

func (c *Client) currentTransport() *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.transport
}

// replaceTransport makes later tries use new connections. The idle connections of the replaced transport probably do not
// respond either, so they are closed instead of causing one timeout each.
func (c *Client) replaceTransport(timedOut *http.Transport) {
	c.mu.Lock()
	replaced := c.transport == timedOut
	if replaced {
		c.transport = c.newTransport()
	}
	c.mu.Unlock()
	if replaced {
		timedOut.CloseIdleConnections()
	}
}
