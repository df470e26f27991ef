// Package testload sends orders through nodes and checks what became of each against the targets' run logs. Tests and
// benchmarks of failures use it.
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
	// CallTimeout bounds one try of an order.
	CallTimeout = 5 * time.Second
	// keyedTries is how often an order with a key is sent until it is answered.
	keyedTries = 4
)

// Config describes a load.
type Config struct {
	Service string // default storefront
	Workers int
	Keyed   bool   // send an Idempotency-Key and repeat orders that got no answer, through any entry
	Prefix  string // of the orders' ids
	Seed    uint64
	// Entries gives the entry addresses to choose from; it is called for each try.
	Entries func() []string
	// Pause is the longest random pause between a worker's orders; 0 for none.
	Pause time.Duration
}

// Order is what the caller knows about one order after its last try.
type Order struct {
	ID       string
	Started  time.Time
	Ended    time.Time
	Answered bool // a whole 200 with the order's own answer arrived
	Foreign  bool // the answer of another order arrived
	NotRun   bool // the last try was refused with the outcome not-run
	Tries    int
	Last     string // status, reason and outcome of the last try, or its error
}

// Load sends orders one after another on each worker until Stop.
type Load struct {
	config Config
	client *http.Client
	mu     sync.Mutex
	orders []*Order
	ended  chan struct{}
	wait   sync.WaitGroup
}

// Start begins a load.
func Start(config Config) *Load {
	if config.Service == "" {
		config.Service = "storefront"
	}
	l := &Load{config: config, ended: make(chan struct{})}
	l.client = &http.Client{Timeout: CallTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: config.Workers}}
	for worker := range config.Workers {
		l.wait.Go(func() { l.work(worker) })
	}
	return l
}

// Stop ends the load after the orders in flight and returns all of them.
func (l *Load) Stop() []*Order {
	close(l.ended)
	l.wait.Wait()
	l.client.CloseIdleConnections()
	return l.orders
}

// Answered counts the answered orders so far.
func (l *Load) Answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, one := range l.orders {
		if one.Answered {
			count++
		}
	}
	return count
}

func (l *Load) work(worker int) {
	random := rand.New(rand.NewPCG(l.config.Seed, uint64(worker)))
	for n := 0; ; n++ {
		select {
		case <-l.ended:
			return
		default:
		}
		one := &Order{ID: fmt.Sprintf("%s-%d-%d", l.config.Prefix, worker, n), Started: time.Now()}
		l.place(one, random)
		one.Ended = time.Now()
		l.mu.Lock()
		l.orders = append(l.orders, one)
		l.mu.Unlock()
		if l.config.Pause > 0 {
			time.Sleep(time.Duration(random.Int64N(int64(l.config.Pause))))
		}
	}
}

// place sends an order once, or with a key until it is answered.
func (l *Load) place(one *Order, random *rand.Rand) {
	tries := 1
	if l.config.Keyed {
		tries = keyedTries
	}
	for range tries {
		entries := l.config.Entries()
		l.try(one, entries[random.IntN(len(entries))])
		if one.Answered {
			return
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

func (l *Load) try(one *Order, entry string) {
	one.Tries++
	request := newRequest(entry, l.config.Service, one.ID, l.config.Keyed)
	response, err := l.client.Do(request)
	if err != nil {
		// Only the first try's refused connection proves that nothing ran.
		one.Last, one.NotRun = err.Error(), one.Tries == 1 && errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		one.Last, one.NotRun = err.Error(), false
		return
	}
	outcome := response.Header.Get(wire.Outcome)
	one.Last = fmt.Sprintf("%d %s %s", response.StatusCode, response.Header.Get(wire.Reason), outcome)
	one.NotRun = outcome == string(failure.NotRun)
	if response.StatusCode == http.StatusOK {
		one.Answered = strings.Contains(string(body), "order="+one.ID+" ")
		one.Foreign = !one.Answered
	}
}

func newRequest(entry, service, id string, keyed bool) *http.Request {
	// The reader's type is hidden so that the test's client can't repeat the request by itself.
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+"/orders", io.NopCloser(struct{ io.Reader }{strings.NewReader(id)}))
	if err != nil {
		panic(err) // the address is a constant of the test
	}
	request.Host = service
	request.Header.Set("X-Order", id)
	if keyed {
		request.Header.Set(wire.IdempotencyKey, id)
	}
	return request
}

// Place sends one order to an entry and tells what became of it.
func Place(entry, service, id string, keyed bool) *Order {
	l := &Load{config: Config{Service: service, Keyed: keyed}}
	l.client = &http.Client{Timeout: CallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	one := &Order{ID: id, Started: time.Now()}
	l.try(one, entry)
	one.Ended = time.Now()
	return one
}
