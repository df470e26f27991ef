// Package platform implements a client for the platform's transactional table and object store.
//
// The protocol is HTTP/1.1. Every operation is a POST of a JSON body to one of the Path constants; byte strings are
// encoded in base64. Response statuses:
//
//	200  success; the body is the operation's response
//	400  the request is invalid
//	404  the row or object does not exist
//	409  a condition of the commit does not hold, or the object exists with other bytes
//	429  too many requests; Retry-After gives the seconds to wait
//	5xx  the platform is temporarily unable to process the request
//
// A commit carries a write ID, which makes it idempotent: the platform decides each write ID once, retains the decision
// for WriteIDRetention and returns it again when the same ID arrives again. A commit whose response was lost can
// therefore be retried without being applied twice. A put of an object needs no write ID, because objects are immutable.
package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/telemetry"
)

// WriteIDRetention is the minimum time for which the platform retains the decision about a write ID.
const WriteIDRetention = 10 * time.Minute

// Defaults of Config.
const (
	DefaultTryTimeout       = time.Second
	DefaultMaxTryTimeout    = 8 * time.Second
	DefaultOperationTimeout = 15 * time.Second
	DefaultBackoffBase      = 50 * time.Millisecond
	DefaultBackoffMax       = 2 * time.Second
	DefaultMaxResponseBytes = 16 << 20
	DefaultConnections      = 8
)

// Config configures a Client. A field that is zero or negative takes its default.
type Config struct {
	// Addr is the platform's IP:port. It is required.
	Addr string
	// TryTimeout is the timeout of the first try of an operation; default 1 s. When a try times out, its connection is
	// assumed to be dead. The timeout doubles with each further try of the operation.
	TryTimeout time.Duration
	// MaxTryTimeout is the upper bound of the doubled timeout, long enough for a slow store to respond; default 8 s, or
	// TryTimeout if that is longer.
	MaxTryTimeout time.Duration
	// OperationTimeout is the timeout of an operation including all its tries, even if the context allows more time;
	// default 15 s, at most half of WriteIDRetention.
	OperationTimeout time.Duration
	// BackoffBase is the upper bound of the random wait before the second try; default 50 ms. The bound doubles with each
	// further try.
	BackoffBase time.Duration
	// BackoffMax limits the doubled bound of the random wait; default 2 s. A Retry-After is added to the wait.
	BackoffMax time.Duration
	// MaxResponseBytes is the size of the largest response body that is accepted, in bytes; default 16 MiB.
	MaxResponseBytes int64
	// Connections is the maximum number of connections to the platform; default 8.
	Connections int
	// Dial opens a connection; default a net.Dialer whose timeout is MaxTryTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Metrics receives the counters "platform.try.<operation>", "platform.retry.<reason>",
	// "platform.unavailable.<operation>", "platform.bytes.sent" and "platform.bytes.received" (body bytes of all tries);
	// default a new registry.
	Metrics *telemetry.Registry
}

// withDefaults returns the configuration with defaults for the fields that are not set. OperationTimeout is limited to
// half of WriteIDRetention, so that no retry of a commit arrives after its decision was discarded.
func (c Config) withDefaults() Config {
	setDefault(&c.TryTimeout, DefaultTryTimeout)
	setDefault(&c.MaxTryTimeout, max(DefaultMaxTryTimeout, c.TryTimeout))
	setDefault(&c.OperationTimeout, DefaultOperationTimeout)
	c.OperationTimeout = min(c.OperationTimeout, WriteIDRetention/2)
	setDefault(&c.BackoffBase, DefaultBackoffBase)
	setDefault(&c.BackoffMax, DefaultBackoffMax)
	setDefault(&c.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&c.Connections, DefaultConnections)
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: c.MaxTryTimeout}).DialContext
	}
	if c.Metrics == nil {
		c.Metrics = telemetry.New()
	}
	return c
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Client implements Table over HTTP; its method Objects returns the object store of the same platform. Safe for
// concurrent use.
type Client struct {
	config Config

	mu        sync.Mutex
	transport *http.Transport // replaced when a try on it times out
}

var (
	_ Table   = (*Client)(nil)
	_ Objects = (*ObjectClient)(nil)
)

// NewClient returns a client. It opens no connection until the first operation.
func NewClient(config Config) *Client {
	client := &Client{config: config.withDefaults()}
	client.transport = client.newTransport()
	return client
}

// Close closes the idle connections. Operations in progress are not interrupted.
func (c *Client) Close() { c.currentTransport().CloseIdleConnections() }

// Objects returns the platform's object store. It shares the client's connections.
func (c *Client) Objects() *ObjectClient { return &ObjectClient{client: c} }

// Get implements Table. It fails with *NotFoundError, *UnavailableError or *RejectedError.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var response RowsResponse
	if err := c.do(ctx, operation{name: "get", path: PathTableGet, resource: key}, NameRequest{Name: key}, &response); err != nil {
		return Row{}, err
	}
	if len(response.Rows) != 1 {
		return Row{}, &UnavailableError{Operation: "get", Cause: &MalformedResponseError{Detail: "the response does not hold exactly one row"}}
	}
	return rowsFromMessages(response.Rows)[0], nil
}

// Scan implements Table. It fails with *UnavailableError or *RejectedError.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var response RowsResponse
	err := c.do(ctx, operation{name: "scan", path: PathTableScan}, PrefixRequest{Prefix: prefix}, &response)
	return rowsFromMessages(response.Rows), err
}

// Commit implements Table. After an *UnavailableError the commit may or may not be applied.
func (c *Client) Commit(ctx context.Context, writes []Write) ([]uint64, error) {
	request := CommitRequest{WriteID: NewWriteID(), Writes: make([]WriteMessage, len(writes))}
	for i, write := range writes {
		request.Writes[i] = WriteMessage(write)
	}
	var response CommitResponse
	if err := c.do(ctx, operation{name: "commit", path: PathTableCommit}, request, &response); err != nil {
		return nil, err
	}
	if len(response.Versions) != len(writes) {
		return nil, &UnavailableError{Operation: "commit", Cause: &MalformedResponseError{Detail: "the response does not hold one version for each write"}}
	}
	return response.Versions, nil
}

func rowsFromMessages(messages []RowMessage) []Row {
	rows := make([]Row, len(messages))
	for i, message := range messages {
		rows[i] = Row(message)
	}
	return rows
}

// ObjectClient implements Objects over HTTP. Safe for concurrent use.
type ObjectClient struct{ client *Client }

// Put implements Objects.
func (o *ObjectClient) Put(ctx context.Context, name string, data []byte) error {
	var response struct{}
	return o.client.do(ctx, operation{name: "put", path: PathObjectPut}, ObjectMessage{Name: name, Data: data}, &response)
}

// Get implements Objects.
func (o *ObjectClient) Get(ctx context.Context, name string) ([]byte, error) {
	var response ObjectMessage
	err := o.client.do(ctx, operation{name: "get-object", path: PathObjectGet, resource: name}, NameRequest{Name: name}, &response)
	return response.Data, err
}

// List implements Objects.
func (o *ObjectClient) List(ctx context.Context, prefix string) ([]string, error) {
	var response NamesResponse
	err := o.client.do(ctx, operation{name: "list", path: PathObjectList}, PrefixRequest{Prefix: prefix}, &response)
	return response.Names, err
}
