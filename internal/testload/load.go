// Package testload sends orders through nodes and verifies their results against the run logs of the targets. End-to-end
// tests and benchmarks use it.
package testload

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// CallTimeout bounds one attempt to send an order.
	CallTimeout = 5 * time.Second
	// maxKeyedAttempts is the maximum number of attempts to send an order with an idempotency key.
	maxKeyedAttempts = 4
)

// Config holds the parameters of a load.
type Config struct {
	Service string // default: storefront
	Workers int
	Keyed   bool   // send an Idempotency-Key and retry unanswered orders through any entry
	Prefix  string // prefix of order IDs
	Seed    uint64 // seed of the random choices of entries and pauses
	// Entries returns the entry addresses to choose from; it is called before each attempt.
	Entries func() []string
	// MaxPause is the exclusive upper bound of a worker's random pause between orders; 0 for none.
	MaxPause time.Duration
}

// Order is the result of one order as its caller observed it.
type Order struct {
	ID         string
	Started    time.Time
	Ended      time.Time
	Answered   bool // a complete response with status 200 and the order's ID arrived
	Mismatch   bool // a response with status 200 lacked the order's ID
	NotRun     bool // the last attempt had the outcome not-run, or the first attempt's connection was refused
	Attempts   int
	LastResult string // status, reason and outcome of the last attempt, or its error
}

// Load sends orders with concurrent workers, each sequentially, until Stop.
type Load struct {
	config   Config
	client   *http.Client
	mu       sync.Mutex
	orders   []*Order
	stopping chan struct{} // closed by Stop
	workers  sync.WaitGroup
}

// Start starts a load.
func Start(config Config) *Load {
	if config.Service == "" {
		config.Service = "storefront"
	}
	l := &Load{config: config, stopping: make(chan struct{})}
	l.client = &http.Client{Timeout: CallTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: config.Workers}}
	for worker := range config.Workers {
		l.workers.Go(func() { l.runWorker(worker) })
	}
	return l
}

// Stop waits for the orders in flight and returns all orders.
func (l *Load) Stop() []*Order {
	close(l.stopping)
	l.workers.Wait()
	l.client.CloseIdleConnections()
	return l.orders
}

// Answered returns the number of orders answered so far.
func (l *Load) Answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, order := range l.orders {
		if order.Answered {
			count++
		}
	}
	return count
}

func (l *Load) runWorker(worker int) {
	random := rand.New(rand.NewPCG(l.config.Seed, uint64(worker)))
	for n := 0; ; n++ {
		select {
		case <-l.stopping:
			return
		default:
		}
		order := &Order{ID: fmt.Sprintf("%s-%d-%d", l.config.Prefix, worker, n), Started: time.Now()}
		l.placeOrder(order, random)
		order.Ended = time.Now()
		l.mu.Lock()
		l.orders = append(l.orders, order)
		l.mu.Unlock()
		if l.config.MaxPause > 0 {
			time.Sleep(time.Duration(random.Int64N(int64(l.config.MaxPause))))
		}
	}
}

// placeOrder sends an order once, or, with a key, up to maxKeyedAttempts times until it is answered.
func (l *Load) placeOrder(order *Order, random *rand.Rand) {
	attempts := 1
	if l.config.Keyed {
		attempts = maxKeyedAttempts
	}
	for range attempts {
		entries := l.config.Entries()
		l.attempt(order, entries[random.IntN(len(entries))])
		if order.Answered {
			return
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

func (l *Load) attempt(order *Order, entry string) {
	order.Attempts++
	request := newRequest(entry, l.config.Service, order.ID, l.config.Keyed)
	response, err := l.client.Do(request)
	if err != nil {
		// A refused connection proves that the order did not run only on the first attempt.
		order.LastResult, order.NotRun = err.Error(), order.Attempts == 1 && errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		order.LastResult, order.NotRun = err.Error(), false
		return
	}
	outcome := response.Header.Get(wire.Outcome)
	order.LastResult = fmt.Sprintf("%d %s %s", response.StatusCode, response.Header.Get(wire.Reason), outcome)
	order.NotRun = outcome == string(failure.NotRun)
	if response.StatusCode == http.StatusOK {
		order.Answered = strings.Contains(string(body), "order="+order.ID+" ")
		order.Mismatch = !order.Answered
	}
}

func newRequest(entry, service, id string, keyed bool) *http.Request {
	// Hiding the reader's type keeps the HTTP client from replaying the request.
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+"/orders", io.NopCloser(struct{ io.Reader }{strings.NewReader(id)}))
	if err != nil {
		panic(err) // entry addresses are valid
	}
	request.Host = service
	request.Header.Set("X-Order", id)
	if keyed {
		request.Header.Set(wire.IdempotencyKey, id)
	}
	return request
}

// PlaceOrder sends one order to an entry once and returns its result.
func PlaceOrder(entry, service, id string, keyed bool) *Order {
	l := &Load{config: Config{Service: service, Keyed: keyed}}
	l.client = &http.Client{Timeout: CallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	order := &Order{ID: id, Started: time.Now()}
	l.attempt(order, entry)
	order.Ended = time.Now()
	return order
}
