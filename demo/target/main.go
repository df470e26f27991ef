// Command target is a small HTTP back end for the demo and the tests. It serves a limited number of requests concurrently,
// responds with its name, counts and records the requests that it ran, and can be made to slow down (/control/delay) or to
// exit (header X-Crash).
package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Listen  string        `arg:"--listen,required" help:"IP:port to listen on"`
	Name    string        `arg:"--name" default:"target" help:"name given in answers"`
	Slots   int           `arg:"--slots" default:"9" help:"requests served at once; more are refused with 503"`
	Service time.Duration `arg:"--service-time" default:"2ms" help:"time to serve one request"`
	Log     string        `arg:"--run-log" help:"file to which each run of a request with an X-Order header is appended"`
}

// target handles requests. The header X-Order identifies a request in the run log; a request with the header X-Crash makes
// the process exit.
type target struct {
	args     arguments
	inFlight atomic.Int64
	runs     atomic.Int64
	delay    atomic.Int64 // service time in nanoseconds
	logMu    sync.Mutex
	log      *os.File
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := serve(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(args arguments) error {
	t := &target{args: args}
	t.delay.Store(int64(args.Service))
	if args.Log != "" {
		file, err := os.OpenFile(args.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		t.log = file
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := &http.Server{Addr: args.Listen, Handler: t}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP routes by the exact path, because http.ServeMux redirects paths that are not clean.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		fmt.Fprintln(w, "ok")
	case "/control/delay":
		t.setDelay(w, r)
	case "/stream":
		t.stream(w, r)
	default:
		t.run(w, r)
	}
}

func (t *target) setDelay(w http.ResponseWriter, r *http.Request) {
	delay, err := time.ParseDuration(r.URL.Query().Get("d"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.delay.Store(int64(delay))
}

// run serves one request and responds with the target's name and a digest of the body. Requests beyond the slots get 503.
func (t *target) run(w http.ResponseWriter, r *http.Request) {
	if t.inFlight.Add(1) > int64(t.args.Slots) {
		t.inFlight.Add(-1)
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	defer t.inFlight.Add(-1)
	t.record(r.Header.Get("X-Order"))
	if r.Header.Get("X-Crash") != "" {
		os.Exit(3)
	}
	digest := sha256.New()
	if _, err := io.Copy(digest, r.Body); err != nil {
		return // the request body was truncated; no one waits for a response
	}
	select {
	case <-time.After(time.Duration(t.delay.Load())):
	case <-r.Context().Done():
		return // the request was cancelled
	}
	w.Header().Set("X-Target", t.args.Name)
	w.Header().Set("X-Run", strconv.FormatInt(t.runs.Add(1), 10))
	fmt.Fprintf(w, "%s %s %s order=%s body=%s\n", t.args.Name, r.Method, r.URL.Path, r.Header.Get("X-Order"), hex.EncodeToString(digest.Sum(nil)[:8]))
}

// record appends the order to the run log before the request has any effect.
func (t *target) record(order string) {
	if t.log == nil || order == "" {
		return
	}
	t.logMu.Lock()
	defer t.logMu.Unlock()
	fmt.Fprintf(t.log, "%s %s\n", order, t.args.Name)
}

// stream responds with n chunks, separated by the service time, and a trailer that holds their SHA-256 digest.
func (t *target) stream(w http.ResponseWriter, r *http.Request) {
	chunks, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || chunks < 0 || chunks > 1_000_000 {
		http.Error(w, "n must be a number of chunks", http.StatusBadRequest)
		return
	}
	w.Header().Set("Trailer", "X-Digest")
	digest := sha256.New()
	out := io.MultiWriter(w, digest)
	for i := range chunks {
		fmt.Fprintf(out, "chunk %d of %d from %s\n", i, chunks, t.args.Name)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(time.Duration(t.delay.Load()))
	}
	w.Header().Set("X-Digest", hex.EncodeToString(digest.Sum(nil)))
}
