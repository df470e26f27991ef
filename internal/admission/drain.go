package admission

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
)

// Drain refuses new requests at once and returns nil when no request is in flight or queued, or the context's error.
// Queued requests may start for one more second (drainGrace) and are then refused. A drain cannot be cancelled.
func (g *Limiter) Drain(ctx context.Context) error {
	grace := time.AfterFunc(drainGrace, g.dropQueue)
	defer grace.Stop()
	idle := g.beginDrain()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		g.dropQueue()
		return ctx.Err()
	}
}

// BeginDrain starts a drain and returns without waiting. New requests are refused from its return on; queued requests
// may start for one more second (drainGrace).
func (g *Limiter) BeginDrain() {
	time.AfterFunc(drainGrace, g.dropQueue)
	g.beginDrain()
}

// beginDrain refuses new requests and returns a channel that is closed when no request is in flight or queued.
func (g *Limiter) beginDrain() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	idle := g.idle
	if idle == nil {
		idle = make(chan struct{})
		g.idle = idle
	}
	g.grantQueued() // closes idle if no request is in flight or queued
	return idle
}

// dropQueue refuses all queued requests.
func (g *Limiter) dropQueue() {
	g.mu.Lock()
	defer g.mu.Unlock()
	refusal := failure.New(failure.Draining, failure.NotRun, "the target is draining")
	for _, w := range g.queue.waiters {
		g.exclusiveClaimed = g.exclusiveClaimed && !w.Exclusive
		w.result <- result{refusal: refusal}
	}
	g.queue.waiters = nil
	g.grantQueued()
}
