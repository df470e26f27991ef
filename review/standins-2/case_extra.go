package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	extraFor   = 5 * time.Second // for_s of garble "extra late" in the site file
	extraEvery = 34              // one answer in 34 is followed by additional bytes: x is 0.03 there
	buyers     = 16
)

const (
	// extraRejection is a second answer in the form in which a worker sheds a request, as "fleetbench wire" shows it.
	extraRejection = "HTTP/1.1 503 Service Unavailable\r\nAcacialock-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	// extraFailure is an answer without a request id, a signature and Acacialock-Not-Executed.
	extraFailure = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// spoiler makes a worker send additional bytes after some of its complete answers: one in extraEvery, while it is switched on.
// They come late, where the next answer on the connection is expected.
type spoiler struct {
	record  *record
	worker  string
	bytes   string
	on      atomic.Bool
	answers atomic.Int64
	mu      sync.Mutex
	due     map[net.Conn]string // id of the request after whose answer the bytes come
	sent    int
}

func (s *spoiler) afterAnswer(conn net.Conn, r *http.Request) {
	if !s.on.Load() || s.answers.Add(1)%extraEvery != 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.due[conn] = r.Header.Get("Acacialock-Request-Id")
}

func (s *spoiler) beforeRun(conn net.Conn, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier, due := s.due[conn]
	if !due {
		return
	}
	delete(s.due, conn)
	s.sent++
	s.record.printf("worker %s sends additional bytes after its complete answer to %s, as request %s arrives: %q",
		s.worker, earlier, r.Header.Get("Acacialock-Request-Id"), s.bytes)
	_, _ = io.WriteString(conn, s.bytes)
}

// purchase is one attempt of a consumer, and the id of its next one after a promise.
type purchase struct {
	id, again string
	got       reply
}

// lateRejection checks TWICE: a purchase runs at most once for each attempt of its consumer.
func lateRejection(s *site, trouble bool) (breaks []string, err error) {
	purchases, err := buyBesideSpoiler(s, trouble, extraRejection)
	runs := s.runs()
	for _, p := range purchases {
		if len(runs[p.id]) < 2 {
			continue
		}
		s.record.printf("purchase %s is answered: %v", p.id, p.got)
		for _, r := range runs[p.id] {
			s.record.printf("purchase %s ran at worker %s at %.3f s", p.id, r.worker, r.at.Sub(s.record.start).Seconds())
		}
		breaks = append(breaks, fmt.Sprintf("TWICE: purchase %s, sent once, has run %d times, at %s and %s", p.id, len(runs[p.id]),
			runs[p.id][0].worker, runs[p.id][1].worker))
	}
	return breaks, err
}

// lateFailure checks REFUSED: a purchase that is answered 408, 421, 429 or 503 never runs.
func lateFailure(s *site, trouble bool) (breaks []string, err error) {
	purchases, err := buyBesideSpoiler(s, trouble, extraFailure)
	runs := s.runs()
	for _, p := range purchases {
		if !isPromise(p.got.status) || len(runs[p.id]) == 0 {
			continue
		}
		s.record.printf("purchase %s is answered: %v, reason %q", p.id, p.got, p.got.reason)
		for _, r := range runs[p.id] {
			s.record.printf("purchase %s ran at worker %s at %.3f s", p.id, r.worker, r.at.Sub(s.record.start).Seconds())
		}
		breaks = append(breaks, fmt.Sprintf("REFUSED: purchase %s was answered %d and has run %d time(s); the consumer's next attempt %s ran %d time(s)",
			p.id, p.got.status, len(runs[p.id]), p.again, len(runs[p.again])))
	}
	return breaks, err
}

// buyBesideSpoiler lets consumers on all machines buy, while one of the two workers of storefront (a share of 0.5) sends additional
// bytes. It returns the purchases.
func buyBesideSpoiler(s *site, trouble bool, bytes string) ([]purchase, error) {
	s.store.put("op", "config", desiredState(1, salesServices, salesRoutes))
	if err := smallSite(s, 120*time.Millisecond, func(w *worker) {
		if w.id == "i-sidecar-sj-a-1" {
			w.spoiler = &spoiler{record: s.record, worker: w.id, bytes: bytes, due: map[net.Conn]string{}}
			w.afterAnswer, w.beforeRun = w.spoiler.afterAnswer, w.spoiler.beforeRun
		}
	}); err != nil {
		return nil, err
	}
	spoiler := s.nodes[0].worker.spoiler
	var mu sync.Mutex
	var all []purchase
	end := time.Now().Add(extraFor + 2*time.Second)
	var group sync.WaitGroup
	for i := range buyers {
		group.Go(func() {
			c := consumer{outbound: s.nodes[i%len(s.nodes)].outbound, deadline: 4 * time.Second}
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			for time.Now().Before(end) {
				bought := c.buy()
				mu.Lock()
				all = append(all, bought...)
				mu.Unlock()
				time.Sleep(150 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	spoiler.on.Store(trouble)
	time.Sleep(extraFor)
	spoiler.on.Store(false)
	group.Wait()
	time.Sleep(time.Second)
	statuses := map[int]int{}
	for _, p := range all {
		statuses[p.got.status]++
	}
	s.record.printf("%d purchases sent, answers by status: %v (0: none)", len(all), statuses)
	s.record.printf("worker %s sent additional bytes %d times beside %d answers", spoiler.worker, spoiler.sent, spoiler.answers.Load())
	return all, nil
}

// buy sends a purchase, and once more after a status that promises that it has not run, as the pages allow consumers to: after the
// time in Retry-After, up to a third of the time left, and within the deadline.
func (c consumer) buy() []purchase {
	end := time.Now().Add(c.deadline)
	first := purchase{id: newID("p")}
	first.got = c.send(http.MethodPost, "/pufi791/2f", first.id, "", "lot=7")
	if !isPromise(first.got.status) {
		return []purchase{first}
	}
	pause := 250 * time.Millisecond // without a Retry-After
	if seconds, err := strconv.ParseFloat(first.got.retry, 64); err == nil {
		pause = time.Duration(seconds * float64(time.Second))
	}
	time.Sleep(min(pause, time.Until(end)/3))
	first.again = newID("p")
	c.deadline = time.Until(end)
	return []purchase{first, {id: first.again, got: c.send(http.MethodPost, "/pufi791/2f", first.again, "", "lot=7")}}
}
