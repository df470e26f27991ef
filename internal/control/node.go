package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/rpc"
)

// Node runs the control plane of one node and implements rpc.Control. Its methods are safe for concurrent use.
type Node struct {
	cfg        Config
	events     chan func(*state) // executed by the control goroutine
	stopped    chan struct{}     // closed when Run returns
	background sync.WaitGroup
	status     atomic.Pointer[Status]
}

var _ rpc.Control = (*Node)(nil)

// New validates the configuration and returns a node that has not been started; see Run. An invalid configuration gives
// a *ConfigError.
func New(cfg Config) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, events: make(chan func(*state)), stopped: make(chan struct{})}
	n.status.Store(&Status{Self: cfg.Self})
	return n, nil
}

// Status returns the node's current status.
func (n *Node) Status() Status { return *n.status.Load() }

// Run runs the control goroutine until ctx is cancelled and returns nil after all background goroutines have ended. It
// must be called exactly once.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer n.background.Wait()
	defer close(n.stopped)
	defer cancel()
	s := newState(ctx, n)
	s.start()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		due := s.nextDue()
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			return nil
		case event := <-n.events:
			s.compensatePause(due)
			event(s)
		case <-timer.C:
			s.compensatePause(due)
			s.runDue()
		}
		s.publish()
	}
}

// post passes an event to the control goroutine. It returns a *StoppedError after Run has returned, or the error of
// ctx.
func (n *Node) post(ctx context.Context, event func(*state)) error {
	select {
	case n.events <- event:
		return nil
	case <-n.stopped:
		return &StoppedError{ID: n.cfg.Self.ID}
	case <-ctx.Done():
		return ctx.Err()
	}
}

// query evaluates a function on the control goroutine and returns its result, or the error of post.
func query[T any](ctx context.Context, n *Node, evaluate func(*state) T) (T, error) {
	result := make(chan T, 1)
	err := n.post(ctx, func(s *state) { result <- evaluate(s) })
	if err != nil {
		var zero T
		return zero, err
	}
	return <-result, nil
}

// runInBackground runs work with a timeout in a new goroutine and passes its result to done on the control goroutine.
func runInBackground[T any](s *state, timeout time.Duration,
	work func(context.Context) (T, error), done func(T, error)) {
	s.node.background.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		result, err := work(ctx)
		_ = s.node.post(s.ctx, func(*state) { done(result, err) }) // fails only if the node stops
	})
}

// SetDraining marks the node as draining and announces this immediately to the leader and to the known peers of its
// service. It blocks until Run has started.
func (n *Node) SetDraining() {
	_ = n.post(context.Background(), (*state).setDraining) // has no effect on a stopped node
}

// Leave removes the node from the membership. It returns nil once a leader has recorded the departure, and a
// *LeaveError if ctx ends or the node stops first. A departing leader releases its lease.
func (n *Node) Leave(ctx context.Context) error {
	departed := make(chan struct{})
	if err := n.post(ctx, func(s *state) { s.leave(departed) }); err != nil {
		return &LeaveError{ID: n.cfg.Self.ID, Cause: err}
	}
	select {
	case <-departed:
		return nil
	case <-n.stopped:
		return &LeaveError{ID: n.cfg.Self.ID, Cause: &StoppedError{ID: n.cfg.Self.ID}}
	case <-ctx.Done():
		return &LeaveError{ID: n.cfg.Self.ID, Cause: ctx.Err()}
	}
}

// newRand returns a deterministic random generator.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x5eed)) }
