// Package budget limits retries and hedges per service, and the bytes of measurement and control traffic.
package budget

import (
	"math"
	"sync"
	"time"
)

// RetryBudget is a token bucket that limits extra sends to a share of the first attempts. Each service has one for
// retries and one for hedges. It is safe for concurrent use.
type RetryBudget struct {
	mu              sync.Mutex
	percent         float64 // extra sends per 100 first attempts
	burst           float64 // capacity of the bucket
	tokens          float64
	clock           func() time.Time
	floorCreditedAt time.Time // time up to which the floor rate has been credited
}

const (
	// defaultBurst is the default capacity of the bucket. With 10 tokens, the refusals of one target can be retried at
	// once; with more, the tokens saved in a long idle time would allow a retry storm.
	defaultBurst = 10
	// floorPerSecond is the minimum rate of tokens per second, without which a service with few calls could hardly ever
	// retry.
	floorPerSecond = 0.2
	// floorTokens is the number of tokens up to which the floor rate fills the bucket.
	floorTokens = 1
)

// NewRetryBudget returns a budget of percent extra sends per 100 first attempts, with one token at the start; 0 percent
// allows no extra sends. A nil clock means time.Now.
func NewRetryBudget(percent int, clock func() time.Time) *RetryBudget {
	if clock == nil {
		clock = time.Now
	}
	r := &RetryBudget{percent: float64(percent), burst: defaultBurst, clock: clock, floorCreditedAt: clock()}
	if percent > 0 {
		r.tokens = floorTokens
	}
	return r
}

// SetPercent changes the share of extra sends for later attempts. 0 removes all tokens.
func (r *RetryBudget) SetPercent(percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.percent = float64(percent)
	if percent <= 0 {
		r.tokens = 0
	}
}

// SetBurst changes the capacity of the bucket; 0 or less restores the default. Nodes that share one allowance each set
// their part of it.
func (r *RetryBudget) SetBurst(tokens float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if tokens <= 0 {
		tokens = defaultBurst
	}
	r.burst = tokens
	r.tokens = math.Min(r.tokens, r.burst)
}

// RecordFirstAttempt records a first attempt, which adds percent/100 of a token. The floor rate adds only what first
// attempts don't earn, so a busy service stays within its share.
func (r *RetryBudget) RecordFirstAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	earned := r.percent / 100
	r.tokens = math.Min(r.burst, r.tokens+earned)
	r.floorCreditedAt = r.floorCreditedAt.Add(time.Duration(earned / floorPerSecond * float64(time.Second)))
	if now := r.clock(); r.floorCreditedAt.After(now) {
		r.floorCreditedAt = now
	}
}

// TrySpend takes one token for an extra send and reports whether the send is allowed.
func (r *RetryBudget) TrySpend() bool {
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

// Refund puts back the token of an extra send that did not take place.
func (r *RetryBudget) Refund() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = math.Min(r.burst, r.tokens+1)
}

// creditFloor adds the tokens that the floor rate has earned since it was last credited. The mutex is held.
func (r *RetryBudget) creditFloor() {
	now := r.clock()
	elapsed := now.Sub(r.floorCreditedAt).Seconds()
	r.floorCreditedAt = now
	if elapsed <= 0 || r.tokens >= floorTokens {
		return
	}
	r.tokens = math.Min(floorTokens, r.tokens+elapsed*floorPerSecond)
}
