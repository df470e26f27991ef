package platformtest

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Rate limits of the users' platform.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// LoseAllResponses is the value of Faults.LoseResponses that loses the responses to all writes.
const LoseAllResponses = -1

// Faults is a set of faults to inject. The zero value injects none.
type Faults struct {
	// Down closes each connection on which a request arrives, without a response.
	Down bool `json:"down"`
	// DelayMS is the delay before a request is executed, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseResponses is the number of further commits and puts that are executed but whose response is lost.
	LoseResponses int `json:"lose_answers"`
	// LoseEvery loses the response to every n-th commit or put; 0 loses none.
	LoseEvery int `json:"lose_every"`
	// WritesPerSecond limits the rows and objects written per second; 0 means no limit.
	WritesPerSecond int `json:"writes_per_second"`
	// ReadsPerSecond limits gets, scans and lists per second; 0 means no limit.
	ReadsPerSecond int `json:"reads_per_second"`
}

// faultState holds the current faults and which connections are silent.
type faultState struct {
	mu         sync.Mutex
	faults     Faults
	writes     *rate.Limiter
	reads      *rate.Limiter
	writeCount int // commits and puts so far, for LoseEvery

	acceptedConns atomic.Int64 // also the number of the last accepted connection
	firstLiveConn atomic.Int64 // number of the first connection that is not silent
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.writes = newLimiter(faults.WritesPerSecond)
	f.reads = newLimiter(faults.ReadsPerSecond)
}

// newLimiter returns a limiter whose burst is the rate of one second; 0 means no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// allow takes count tokens from the write or read limiter. If there are too few, it returns false and the time after
// which to retry.
func (f *faultState) allow(write bool, count int) (wait time.Duration, ok bool) {
	f.mu.Lock()
	limiter := f.reads
	if write {
		limiter = f.writes
	}
	f.mu.Unlock()
	if limiter.AllowN(time.Now(), count) {
		return 0, true
	}
	return time.Second, false
}

// loseResponse counts a write that was just executed and reports whether its response is to be lost.
func (f *faultState) loseResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.writeCount++
	if f.faults.LoseResponses != 0 {
		if f.faults.LoseResponses > 0 {
			f.faults.LoseResponses--
		}
		return true
	}
	return f.faults.LoseEvery > 0 && f.writeCount%f.faults.LoseEvery == 0
}

type connNumberKey struct{}

// connContext stores the number of a connection in its context. Connections are numbered from 1 in the order in which
// they were accepted.
func (f *faultState) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connNumberKey{}, f.acceptedConns.Add(1))
}

// silenceExisting makes every connection accepted so far permanently silent.
func (f *faultState) silenceExisting() { f.firstLiveConn.Store(f.acceptedConns.Load() + 1) }

func (f *faultState) isSilent(r *http.Request) bool {
	number, ok := r.Context().Value(connNumberKey{}).(int64)
	return ok && number < f.firstLiveConn.Load()
}

func writeTooManyRequests(w http.ResponseWriter, wait time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(wait.Seconds())))
	writeError(w, http.StatusTooManyRequests, "too many requests")
}
