package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acacialock/acacialock/internal/rpc"
)

// Node is the control role of one node. It implements rpc.Control. Its methods are safe for concurrent use.
type Node struct {
	cfg     Config
	events  chan func(*state) // run by the control goroutine
	stopped chan struct{}     // closed when Run returns
	helpers sync.WaitGroup
	status  atomic.Pointer[Status]
}

var _ rpc.Control = (*Node)(nil)

// New checks the configuration and returns a node; Run starts it. It fails with *ConfigError.
func New(cfg Config) (*Node, error) {
	cfg.setDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, events: make(chan func(*state)), stopped: make(chan struct{})}
	n.status.Store(&Status{Self: cfg.Self})
	return n, nil
}

// Status returns the node's latest state.
func (n *Node) Status() Status { return *n.status.Load() }

// Run owns the control state until ctx ends, and returns after its helpers did. It must be called once.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer n.helpers.Wait()
	defer close(n.stopped)
	defer cancel()
	s := newState(ctx, n)
	s.start()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		due := s.earliest()
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			return nil
		case event := <-n.events:
			s.noticePause(due)
			event(s)
		case <-timer.C:
			s.noticePause(due)
			s.runDue()
		}
		s.publish()
	}
}

// post hands an event to the control goroutine; it reports false when Run has returned or ctx ended.
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

// ask runs a question on the control goroutine and returns its answer.
func ask[T any](ctx context.Context, n *Node, question func(*state) T) (T, error) {
	answer := make(chan T, 1)
	err := n.post(ctx, func(s *state) { answer <- question(s) })
	if err != nil {
		var none T
		return none, err
	}
	return <-answer, nil
}

// background runs work in a helper goroutine with a timeout and hands its result to the control goroutine.
func background[T any](s *state, timeout time.Duration, work func(context.Context) (T, error), done func(T, error)) {
	s.node.helpers.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		result, err := work(ctx)
		_ = s.node.post(s.ctx, func(*state) { done(result, err) }) // fails only when the node stops
	})
}

// SetDraining marks the node as draining and tells the leader and the known peers of its service at once. It waits for
// Run to start.
func (n *Node) SetDraining() {
	_ = n.post(context.Background(), (*state).setDraining) // a stopped node needs no mark
}

// Leave removes the node from the membership. It returns when a leader has recorded the departure, and fails with
// *LeaveError when none did before ctx ended. A leader that leaves gives up its lease.
func (n *Node) Leave(ctx context.Context) error {
	left := make(chan struct{})
	if err := n.post(ctx, func(s *state) { s.leave(left) }); err != nil {
		return &LeaveError{ID: n.cfg.Self.ID, Cause: err}
	}
	select {
	case <-left:
		return nil
	case <-n.stopped:
		return &LeaveError{ID: n.cfg.Self.ID, Cause: &StoppedError{ID: n.cfg.Self.ID}}
	case <-ctx.Done():
		return &LeaveError{ID: n.cfg.Self.ID, Cause: ctx.Err()}
	}
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x5eed)) }
