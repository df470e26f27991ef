package attempt

import (
	"context"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

const self = "node@1"

func idOf(n int) wire.AttemptID {
	var id wire.AttemptID
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	return id
}

// model is what the ledger must remember of one id.
type model struct {
	state   State
	until   time.Time // for final states
	handle  *Attempt
	keyed   *Keyed
	body    []byte // of the kept answer
	running bool   // was dispatched
}

// machine drives a ledger and its model with few ids, so that arrivals are late, duplicated and reordered against fences.
type machine struct {
	ledger  *Ledger
	now     time.Time
	known   map[int]*model
	answers int // bytes kept
}

const (
	testIDs     = 12
	testEntries = 8
	testBytes   = 100
)

// forget drops what expired. The ledger expires in whole seconds, the machine's clock moves in minutes.
func (m *machine) forget() {
	for n, one := range m.known {
		if !one.until.IsZero() && m.now.After(one.until) {
			m.answers -= len(one.body)
			delete(m.known, n)
		}
	}
}

func (m *machine) end(one *model, state State) {
	one.state = state
	keep := Retention
	if one.keyed != nil {
		keep = max(keep, one.keyed.Retention)
	}
	one.until = m.now.Add(keep)
}

func (m *machine) begin(t *rapid.T) {
	n := rapid.IntRange(0, testIDs-1).Draw(t, "id")
	call := Call{ID: idOf(n)}
	if rapid.Bool().Draw(t, "keyed") {
		call.Keyed = &Keyed{Key: "k", Retention: time.Duration(rapid.IntRange(0, 30).Draw(t, "retention")) * time.Minute}
	}
	handle, failed := m.ledger.Begin(call)
	seen := m.known[n]
	switch {
	case seen == nil && len(m.known) < testEntries:
		assert.Assert(t, failed == nil)
		m.known[n] = &model{state: Pending, handle: handle, keyed: call.Keyed}
	case seen == nil:
		assert.Equal(t, failed.Reason, failure.LedgerFull)
		assert.Equal(t, failed.Outcome, failure.NotRun)
	case seen.state == NotRun:
		assert.Equal(t, failed.Outcome, failure.NotRun)
	case seen.state == Done:
		assert.Equal(t, failed.Outcome, failure.Done)
	default:
		assert.Equal(t, failed.Outcome, failure.Unknown)
	}
}

// live draws an attempt that began and is still remembered, or nil.
func (m *machine) live(t *rapid.T) *model {
	one := m.known[rapid.IntRange(0, testIDs-1).Draw(t, "id")]
	if one == nil || one.handle == nil {
		return nil
	}
	return one
}

func (m *machine) dispatch(t *rapid.T) {
	one := m.live(t)
	if one == nil {
		return
	}
	failed := one.handle.Dispatch()
	assert.Equal(t, failed == nil, one.state == Pending)
	if failed == nil {
		assert.Assert(t, !one.running, "dispatched twice")
		one.state, one.running = Running, true
	}
}

func (m *machine) finish(t *rapid.T) {
	one := m.live(t)
	if one == nil {
		return
	}
	ends := one.state == Pending || one.state == Running
	state := rapid.SampledFrom([]State{NotRun, Done, Broken}).Draw(t, "end")
	switch state {
	case NotRun:
		one.handle.Refuse()
	case Broken:
		one.handle.Broken()
	case Done:
		body := make([]byte, rapid.IntRange(0, 60).Draw(t, "body"))
		one.handle.Done(&Answer{Status: 200, Body: body})
		if ends && one.keyed != nil && m.answers+len(body) <= testBytes {
			one.body = body
			m.answers += len(body)
		}
	}
	if ends {
		m.end(one, state)
	}
}

func (m *machine) fence(t *rapid.T) {
	n := rapid.IntRange(0, testIDs-1).Draw(t, "id")
	if rapid.IntRange(0, 9).Draw(t, "other") == 0 {
		assert.Equal(t, m.ledger.Fence(idOf(n), "node@2"), Unknown)
		return
	}
	state := m.ledger.Fence(idOf(n), self)
	one := m.known[n]
	switch {
	case one == nil && len(m.known) >= testEntries:
		assert.Equal(t, state, Unknown)
	case one == nil:
		assert.Equal(t, state, NotRun)
		one = &model{}
		m.known[n] = one
		m.end(one, NotRun)
	case one.state == Pending:
		assert.Equal(t, state, NotRun)
		m.end(one, NotRun)
	default:
		assert.Equal(t, state, one.state)
	}
}

func (m *machine) check(t *rapid.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for n := range testIDs {
		state, answer := m.ledger.Wait(ended, idOf(n))
		one := m.known[n]
		if one == nil {
			assert.Equal(t, state, Unknown)
			continue
		}
		assert.Equal(t, state, one.state)
		assert.Equal(t, answer != nil, one.body != nil)
	}
	assert.Equal(t, m.ledger.Len(), len(m.known))
}

// Guards against a second dispatch, a dispatch after a fence said not-run, an entry forgotten early or discarded when
// the ledger is full, and kept answers beyond their limit.
func TestLedgerAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: time.Unix(1000, 0), known: map[int]*model{}}
		m.ledger = New(Config{
			Self: self, MaxEntries: testEntries, MaxAnswerBytes: testBytes, Now: func() time.Time { return m.now },
		})
		t.Repeat(map[string]func(*rapid.T){
			"begin":    m.begin,
			"dispatch": m.dispatch,
			"finish":   m.finish,
			"fence":    m.fence,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "minutes")) * time.Minute)
				m.forget()
			},
			"": m.check,
		})
	})
}

// Guards against an attempt that is both dispatched and reported as not-run when its fence races with it, and against a
// waiter that misses the end.
func TestFenceRacesDispatch(t *testing.T) {
	ledger := New(Config{Self: self})
	for n := range 2000 {
		var group sync.WaitGroup
		var dispatched bool
		var fenced, waited State
		group.Go(func() {
			handle, failed := ledger.Begin(Call{ID: idOf(n)})
			if failed != nil {
				return
			}
			dispatched = handle.Dispatch() == nil
			handle.Done(nil)
		})
		group.Go(func() { fenced = ledger.Fence(idOf(n), self) })
		group.Go(func() { waited, _ = ledger.Wait(context.Background(), idOf(n)) })
		group.Wait()
		assert.Equal(t, dispatched, fenced != NotRun)
		assert.Assert(t, waited != Pending && waited != Running)
	}
}

// BenchmarkLedger lets 400 attempts arrive per second of the ledger's clock, so that entries expire as fast as they come.
func BenchmarkLedger(b *testing.B) {
	var next atomic.Int64
	now := func() time.Time { return time.Unix(next.Load()/400, 0) }
	ledger := New(Config{Self: self, Now: now})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			handle, failed := ledger.Begin(Call{ID: idOf(int(next.Add(1)))})
			if failed != nil || handle.Dispatch() != nil {
				b.Error("the attempt was refused")
				return
			}
			handle.Done(nil)
		}
	})
	b.ReportMetric(float64(ledger.Len()), "entries")
}
