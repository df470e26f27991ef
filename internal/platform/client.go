// Package platform is the client of the platform's transactional table and object store.
//
// The protocol is HTTP/1.1. Every operation is a POST of a JSON body to one of the Path constants; byte strings are
// base64. Answers:
//
//	200  done; the body is the operation's response
//	400  the request can't be carried out as it is
//	404  the row or object does not exist
//	409  a condition of the commit does not hold, or the object exists with other bytes
//	429  too many requests; Retry-After gives the seconds to wait
//	5xx  the platform can't answer at present
//
// A commit carries a write id. The platform decides each write id once, keeps the decision for WriteIDRetention and
// repeats it when the same id arrives again, so a commit whose answer was lost is sent again without being applied
// twice. A put of an object needs no write id, because objects are immutable.
package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/telemetry"
)

// WriteIDRetention is the least time for which the platform remembers the decision about a write id.
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

// Config sets up a Client. A zero field takes its default.
type Config struct {
	// Addr is the platform's IP:port; it has no default.
	Addr string
	// TryTimeout bounds the first try of an operation; default 1 s. A try without an answer in this time is taken for
	// a silent connection. Each later try of the operation has twice the time of the one before.
	TryTimeout time.Duration
	// MaxTryTimeout bounds the longest try, which lets a slow store still answer; default 8 s.
	MaxTryTimeout time.Duration
	// OperationTimeout bounds an operation with all its tries, also when the context allows more; default 15 s, at
	// most half of WriteIDRetention.
	OperationTimeout time.Duration
	// BackoffBase is the upper bound of the random wait before the second try; it doubles with each try; default 50 ms.
	BackoffBase time.Duration
	// BackoffMax is the greatest upper bound of the random wait; default 2 s. A Retry-After is added to the wait.
	BackoffMax time.Duration
	// MaxResponseBytes is the size of the largest answer that is read, in bytes; default 16 MiB.
	MaxResponseBytes int64
	// Connections is the greatest number of connections to the platform; default 8.
	Connections int
	// Dial opens a connection; default net.Dialer with MaxTryTimeout.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Metrics receives the counters "platform.try.<operation>", "platform.retry.<reason>",
	// "platform.unavailable.<operation>", "platform.bytes.sent" and "platform.bytes.received" (bodies of all tries);
	// default a registry of its own.
	Metrics *telemetry.Registry
}

// withDefaults returns the configuration with every zero field set.
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

// Client implements Table over HTTP; Objects returns the object store of the same platform. Safe for concurrent use.
type Client struct {
	config Config

	mu        sync.Mutex
	transport *http.Transport // replaced when one of its connections went silent
}

// Client implements Table; its object store implements Objects.
var (
	_ Table   = (*Client)(nil)
	_ Objects = (*ObjectClient)(nil)
)

// NewClient returns a client; it opens no connection before the first operation.
func NewClient(config Config) *Client {
	client := &Client{config: config.withDefaults()}
	client.transport = client.newTransport()
	return client
}

// Close closes the idle connections. Operations in progress end normally.
func (c *Client) Close() { c.currentTransport().CloseIdleConnections() }

// Objects returns the platform's object store. It shares the client's connections.
func (c *Client) Objects() *ObjectClient { return &ObjectClient{client: c} }

// Get implements Table.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var answer RowsResponse
	if err := c.do(ctx, call{operation: "get", path: PathTableGet, name: key}, NameRequest{Name: key}, &answer); err != nil {
		return Row{}, err
	}
	if len(answer.Rows) != 1 {
		return Row{}, &UnavailableError{Operation: "get", Cause: &BadAnswerError{Detail: "not exactly one row"}}
	}
	return rowsOf(answer.Rows)[0], nil
}

// Scan implements Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var answer RowsResponse
	err := c.do(ctx, call{operation: "scan", path: PathTableScan}, PrefixRequest{Prefix: prefix}, &answer)
	return rowsOf(answer.Rows), err
}

// Commit implements Table. After *UnavailableError the commit may still be applied.
func (c *Client) Commit(ctx context.Context, writes []Write) ([]uint64, error) {
	request := CommitRequest{WriteID: NewWriteID(), Writes: make([]WriteMessage, len(writes))}
	for i, write := range writes {
		request.Writes[i] = WriteMessage(write)
	}
	var answer CommitResponse
	if err := c.do(ctx, call{operation: "commit", path: PathTableCommit}, request, &answer); err != nil {
		return nil, err
	}
	if len(answer.Versions) != len(writes) {
		return nil, &UnavailableError{Operation: "commit", Cause: &BadAnswerError{Detail: "not one version for each write"}}
	}
	return answer.Versions, nil
}

func rowsOf(messages []RowMessage) []Row {
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
	var answer struct{}
	return o.client.do(ctx, call{operation: "put", path: PathObjectPut}, ObjectMessage{Name: name, Data: data}, &answer)
}

// Get implements Objects.
func (o *ObjectClient) Get(ctx context.Context, name string) ([]byte, error) {
	var answer ObjectMessage
	err := o.client.do(ctx, call{operation: "get-object", path: PathObjectGet, name: name}, NameRequest{Name: name}, &answer)
	return answer.Data, err
}

// List implements Objects.
func (o *ObjectClient) List(ctx context.Context, prefix string) ([]string, error) {
	var answer NamesResponse
	err := o.client.do(ctx, call{operation: "list", path: PathObjectList}, PrefixRequest{Prefix: prefix}, &answer)
	return answer.Names, err
}
