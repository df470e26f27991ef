package e2e

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/testcluster"
	"github.com/acacialock/acacialock/internal/wire"
)

const callTimeout = 5 * time.Second

// order is what the caller knows about one order after its last try.
type order struct {
	id       string
	answered bool // a whole 200 arrived
	notRun   bool // the last try was refused with the outcome not-run
	tries    int
	last     string
}

// load sends orders through the entries of the nodes until stop is called.
type load struct {
	t       *testing.T
	client  *http.Client
	entries func() []string
	keyed   bool // send an Idempotency-Key and repeat orders that got no answer
	prefix  string

	mu     sync.Mutex
	orders []*order
	ended  chan struct{}
	wait   sync.WaitGroup
}

func startLoad(t *testing.T, workers int, keyed bool, prefix string, entries func() []string) *load {
	l := &load{t: t, entries: entries, keyed: keyed, prefix: prefix, ended: make(chan struct{})}
	l.client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	for worker := range workers {
		l.wait.Go(func() { l.work(worker) })
	}
	return l
}

// stop ends the load after the calls in flight and returns all orders.
func (l *load) stop() []*order {
	close(l.ended)
	l.wait.Wait()
	l.client.CloseIdleConnections()
	return l.orders
}

// answered counts the answered orders so far.
func (l *load) answered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, one := range l.orders {
		if one.answered {
			count++
		}
	}
	return count
}

func (l *load) work(worker int) {
	random := rand.New(rand.NewPCG(uint64(worker), 7))
	for n := 0; ; n++ {
		select {
		case <-l.ended:
			return
		default:
		}
		one := &order{id: fmt.Sprintf("%s-%d-%d", l.prefix, worker, n)}
		l.place(one, random)
		l.mu.Lock()
		l.orders = append(l.orders, one)
		l.mu.Unlock()
	}
}

// place sends an order once, or with a key up to four times through any entry until it is answered.
func (l *load) place(one *order, random *rand.Rand) {
	tries := 1
	if l.keyed {
		tries = 4
	}
	for range tries {
		entries := l.entries()
		l.try(one, entries[random.IntN(len(entries))])
		if one.answered {
			return
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

func (l *load) try(one *order, entry string) {
	one.tries++
	request, err := http.NewRequest(http.MethodPost, "http://"+entry+"/orders", bytes.NewReader([]byte(one.id)))
	if err != nil {
		panic(err)
	}
	request.Host = "storefront"
	request.Header.Set("X-Order", one.id)
	if l.keyed {
		request.Header.Set(wire.IdempotencyKey, one.id)
	}
	request.GetBody = nil // the test's client must not repeat a request by itself
	request.Body = io.NopCloser(struct{ io.Reader }{strings.NewReader(one.id)})
	response, err := l.client.Do(request)
	if err != nil {
		one.last = err.Error()
		one.notRun = one.tries == 1 && refusedConnection(err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		one.last, one.notRun = err.Error(), false
		return
	}
	one.last = fmt.Sprintf("%d %s %s", response.StatusCode, response.Header.Get(wire.Reason), response.Header.Get(wire.Outcome))
	if response.StatusCode == http.StatusOK {
		one.answered, one.notRun = true, false
		if !strings.Contains(string(body), "order="+one.id+" ") {
			l.t.Errorf("order %s got the answer of another: %s", one.id, body)
		}
		return
	}
	one.notRun = response.Header.Get(wire.Outcome) == string(failure.NotRun)
}

// refusedConnection reports an error before anything was sent.
func refusedConnection(err error) bool {
	return errors.Is(err, errConnRefused)
}

// runs counts the runs of each order over all targets.
func runs(t *testing.T, cluster *testcluster.Cluster) map[string]int {
	t.Helper()
	counts := map[string]int{}
	for _, node := range cluster.Nodes {
		text, err := os.ReadFile(node.RunLog)
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		assert.NilError(t, err)
		for line := range strings.Lines(string(text)) {
			id, _, _ := strings.Cut(line, " ")
			counts[id]++
		}
	}
	return counts
}

// summary says how a load ended, for the test's log.
type summary struct {
	orders, answered, notRun, unknown int
}

// verify checks every order against the run logs: at most one run, none when the caller was told not-run, one when it
// was answered.
func verify(t *testing.T, counts map[string]int, orders []*order) summary {
	t.Helper()
	var total summary
	for _, one := range orders {
		total.orders++
		ran := counts[one.id]
		switch {
		case ran > 1:
			t.Errorf("order %s ran %d times (%d tries, last: %s)", one.id, ran, one.tries, one.last)
		case one.answered && ran != 1:
			t.Errorf("order %s was answered but ran %d times", one.id, ran)
		case one.notRun && ran != 0:
			t.Errorf("order %s was told not-run but ran (last: %s)", one.id, one.last)
		}
		switch {
		case one.answered:
			total.answered++
		case one.notRun:
			total.notRun++
		default:
			total.unknown++
		}
	}
	t.Logf("orders %d: answered %d, not-run %d, unknown %d", total.orders, total.answered, total.notRun, total.unknown)
	return total
}
