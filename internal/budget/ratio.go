// Package budget bounds repeated sends and the bytes spent on measuring.
package budget

import (
	"math"
	"sync"
	"time"
)

// Ratio allows extra sends as a share of first attempts. There is one for retries and one for hedges per service.
// Safe for concurrent use.
type Ratio struct {
	mu      sync.Mutex
	percent float64
	burst   float64 // largest number of tokens kept
	tokens  float64
	clock   func() time.Time
	floorAt time.Time // when the floor was last credited
}

const (
	// ratioBurst is the default of the largest number of tokens kept. 10 let one target's refusals be retried at once; more would
	// let a long quiet time pay for a retry storm.
	ratioBurst = 10
	// floorPerSecond lets a service with few calls retry at all.
	floorPerSecond = 0.2
	// floorTokens is the most that the floor alone can fill.
	floorTokens = 1
)

// NewRatio returns a budget of percent extra sends per 100 first attempts; 0 allows none. A nil clock means time.Now.
func NewRatio(percent int, clock func() time.Time) *Ratio {
	if clock == nil {
		clock = time.Now
	}
	ratio := &Ratio{percent: float64(percent), burst: ratioBurst, clock: clock, floorAt: clock()}
	if percent > 0 {
		ratio.tokens = floorTokens
	}
	return ratio
}

// SetPercent changes the share for later attempts.
func (r *Ratio) SetPercent(percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.percent = float64(percent)
	if percent <= 0 {
		r.tokens = 0
	}
}

// SetBurst changes the largest number of tokens kept; 0 restores the default. Nodes that share one allowance each take
// their part of it.
func (r *Ratio) SetBurst(tokens float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tokens <= 0 {
		tokens = ratioBurst
	}
	r.burst = tokens
	r.tokens = math.Min(r.tokens, r.burst)
}

// First counts a first attempt, which earns percent/100 of a token. The floor pays only what attempts don't earn, so a
// busy service stays within its share.
func (r *Ratio) First() {
	r.mu.Lock()
	defer r.mu.Unlock()
	earned := r.percent / 100
	r.tokens = math.Min(r.burst, r.tokens+earned)
	r.floorAt = r.floorAt.Add(time.Duration(earned / floorPerSecond * float64(time.Second)))
	if now := r.clock(); r.floorAt.After(now) {
		r.floorAt = now
	}
}

// Spend takes one token for an extra send. It reports false when the send is not allowed.
func (r *Ratio) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.percent <= 0 {
		return false
	}
	r.creditFloor()
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// Return gives back a token whose extra send did not take place.
func (r *Ratio) Return() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = math.Min(r.burst, r.tokens+1)
}

func (r *Ratio) creditFloor() {
	now := r.clock()
	passed := now.Sub(r.floorAt).Seconds()
	r.floorAt = now
	if passed <= 0 || r.tokens >= floorTokens {
		return
	}
	r.tokens = math.Min(floorTokens, r.tokens+passed*floorPerSecond)
}
