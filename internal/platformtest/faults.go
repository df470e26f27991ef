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

// Rates of the users' platform.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// AllAnswers as Faults.LoseAnswers loses the answers of all writes.
const AllAnswers = -1

// Faults are the faults in force. The zero value has none.
type Faults struct {
	// Down closes every connection on which a request arrives.
	Down bool `json:"down"`
	// DelayMS is the time before a request is carried out, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// LoseAnswers is the number of next commits and puts that take effect while their answer is lost.
	LoseAnswers int `json:"lose_answers"`
	// LoseEvery loses the answer of each n-th commit and put; 0 loses none.
	LoseEvery int `json:"lose_every"`
	// WritesPerSecond limits the rows and objects written; 0 means no limit.
	WritesPerSecond int `json:"writes_per_second"`
	// ReadsPerSecond limits gets, scans and lists; 0 means no limit.
	ReadsPerSecond int `json:"reads_per_second"`
}

// faultState holds the faults in force and the connections that went silent.
type faultState struct {
	mu     sync.Mutex
	faults Faults
	writes *rate.Limiter
	reads  *rate.Limiter
	count  int // commits and puts, for LoseEvery

	nextConn    atomic.Int64
	silentBelow atomic.Int64 // connections with a lower number are silent
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.writes = limiter(faults.WritesPerSecond)
	f.reads = limiter(faults.ReadsPerSecond)
}

func limiter(perSecond int) *rate.Limiter {
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

// allow takes tokens for a request; when there are too few, it returns the time to wait.
func (f *faultState) allow(write bool, count int) (wait time.Duration, ok bool) {
	f.mu.Lock()
	limit := f.reads
	if write {
		limit = f.writes
	}
	f.mu.Unlock()
	if limit.AllowN(time.Now(), count) {
		return 0, true
	}
	return time.Second, false
}

// loseAnswer reports whether the answer of the write that was just carried out is lost.
func (f *faultState) loseAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	if f.faults.LoseAnswers != 0 {
		if f.faults.LoseAnswers > 0 {
			f.faults.LoseAnswers--
		}
		return true
	}
	return f.faults.LoseEvery > 0 && f.count%f.faults.LoseEvery == 0
}

type connKey struct{}

// connContext numbers the connections in the order in which they were accepted.
func (f *faultState) connContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, f.nextConn.Add(1))
}

// silenceExisting makes every connection accepted so far silent for good.
func (f *faultState) silenceExisting() { f.silentBelow.Store(f.nextConn.Load() + 1) }

func (f *faultState) silent(r *http.Request) bool {
	number, ok := r.Context().Value(connKey{}).(int64)
	return ok && number < f.silentBelow.Load()
}

func tooMany(w http.ResponseWriter, wait time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(wait.Seconds())))
	fail(w, http.StatusTooManyRequests, "too many requests")
}
