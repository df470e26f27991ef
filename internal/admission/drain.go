package admission

import (
	"context"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
)

// Drain refuses new requests at once and returns when nothing is in flight or queued, or with the context's error.
// Queued requests may start for one more second, then they are refused. A drain can't be undone.
func (g *Gate) Drain(ctx context.Context) error {
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

// BeginDrain refuses new requests from its return on; queued ones may start for one more second. It waits for nothing.
func (g *Gate) BeginDrain() {
	time.AfterFunc(drainGrace, g.dropQueue)
	g.beginDrain()
}

// beginDrain returns a channel that is closed when nothing is in flight or queued.
func (g *Gate) beginDrain() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	idle := g.idle
	if idle == nil {
		idle = make(chan struct{})
		g.idle = idle
	}
	g.grant() // closes idle when nothing is left
	return idle
}

// dropQueue refuses what is queued.
func (g *Gate) dropQueue() {
	g.mu.Lock()
	defer g.mu.Unlock()
	refused := failure.New(failure.Draining, failure.NotRun, "the target is draining")
	for _, w := range g.queue.waiters {
		g.aloneHas = g.aloneHas && !w.Alone
		w.verdict <- verdict{refused: refused}
	}
	g.queue.waiters = nil
	g.grant()
}
