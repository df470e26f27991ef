package admission

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
)

// Drain refuses new requests at once and returns nil when no request is in flight or queued, or the context's error.
// Queued requests may start for one more second (drainGrace) and are then refused. A drain cannot be cancelled.
func (l *Limiter) Drain(ctx context.Context) error {
	grace := time.AfterFunc(drainGrace, l.dropQueue)
	defer grace.Stop()
	idle := l.beginDrain()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		l.dropQueue()
		return ctx.Err()
	}
}

// BeginDrain starts a drain and returns without waiting. New requests are refused from its return on; queued requests
// may start for one more second (drainGrace).
func (l *Limiter) BeginDrain() {
	time.AfterFunc(drainGrace, l.dropQueue)
	l.beginDrain()
}

// beginDrain refuses new requests and returns a channel that is closed when no request is in flight or queued.
func (l *Limiter) beginDrain() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	idle := l.idle
	if idle == nil {
		idle = make(chan struct{})
		l.idle = idle
	}
	l.grantQueued() // closes idle if no request is in flight or queued
	return idle
}

// dropQueue refuses all queued requests.
func (l *Limiter) dropQueue() {
	l.mu.Lock()
	defer l.mu.Unlock()
	refusal := failure.New(failure.Draining, failure.NotRun, "the target is draining")
	for _, w := range l.queue.waiters {
		w.result <- result{refusal: refusal}
	}
	l.queue.waiters = nil
	l.grantQueued()
}
