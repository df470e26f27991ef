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

func testID(n int) wire.AttemptID {
	var id wire.AttemptID
	binary.BigEndian.PutUint64(id[8:], uint64(n))
	return id
}

// model is the expected ledger entry for one id.
type model struct {
	state      State
	expiresAt  time.Time // expiry of a final state
	handle     *Attempt
	keyInfo    *KeyInfo
	body       []byte // of the stored answer
	dispatched bool
}

// machine is a state machine that drives a ledger and its model. It uses few ids, so that arrivals are late,
// duplicated and reordered with fences.
type machine struct {
	ledger      *Ledger
	now         time.Time
	known       map[int]*model
	answerBytes int // total size of the stored answers
}

const (
	testIDs     = 12
	testEntries = 8
	testBytes   = 100
)

// removeExpired removes expired attempts from the model. The ledger expires entries in whole seconds; the clock of the
// machine advances in minutes.
func (m *machine) removeExpired() {
	for n, expected := range m.known {
		if !expected.expiresAt.IsZero() && m.now.After(expected.expiresAt) {
			m.answerBytes -= len(expected.body)
			delete(m.known, n)
		}
	}
}

func (m *machine) finalize(expected *model, state State) {
	expected.state = state
	retention := Retention
	if expected.keyInfo != nil {
		retention = max(retention, expected.keyInfo.Retention)
	}
	expected.expiresAt = m.now.Add(retention)
}

func (m *machine) begin(t *rapid.T) {
	n := rapid.IntRange(0, testIDs-1).Draw(t, "id")
	call := Call{ID: testID(n)}
	if rapid.Bool().Draw(t, "keyed") {
		call.KeyInfo = &KeyInfo{Key: "k", Retention: time.Duration(rapid.IntRange(0, 30).Draw(t, "retention")) * time.Minute}
	}
	handle, refusal := m.ledger.Begin(call)
	expected := m.known[n]
	switch {
	case expected == nil && len(m.known) < testEntries:
		assert.Assert(t, refusal == nil)
		m.known[n] = &model{state: Pending, handle: handle, keyInfo: call.KeyInfo}
	case expected == nil:
		assert.Equal(t, refusal.Reason, failure.AttemptLedgerFull)
		assert.Equal(t, refusal.Outcome, failure.NotRun)
	case expected.state == NotRun:
		assert.Equal(t, refusal.Outcome, failure.NotRun)
	case expected.state == Done:
		assert.Equal(t, refusal.Outcome, failure.Done)
	default:
		assert.Equal(t, refusal.Outcome, failure.Unknown)
	}
}

// drawAttempt draws an id and returns its model, or nil if the attempt has not begun or has expired.
func (m *machine) drawAttempt(t *rapid.T) *model {
	expected := m.known[rapid.IntRange(0, testIDs-1).Draw(t, "id")]
	if expected == nil || expected.handle == nil {
		return nil
	}
	return expected
}

func (m *machine) dispatch(t *rapid.T) {
	expected := m.drawAttempt(t)
	if expected == nil {
		return
	}
	refusal := expected.handle.Dispatch()
	assert.Equal(t, refusal == nil, expected.state == Pending)
	if refusal == nil {
		assert.Assert(t, !expected.dispatched, "dispatched twice")
		expected.state, expected.dispatched = Running, true
	}
}

func (m *machine) finish(t *rapid.T) {
	expected := m.drawAttempt(t)
	if expected == nil {
		return
	}
	wasOpen := expected.state == Pending || expected.state == Running
	state := rapid.SampledFrom([]State{NotRun, Done, Broken}).Draw(t, "end")
	switch state {
	case NotRun:
		expected.handle.Refuse()
	case Broken:
		expected.handle.MarkBroken()
	case Done:
		body := make([]byte, rapid.IntRange(0, 60).Draw(t, "body"))
		expected.handle.Complete(&Answer{Status: 200, Body: body})
		if wasOpen && expected.keyInfo != nil && m.answerBytes+len(body) <= testBytes {
			expected.body = body
			m.answerBytes += len(body)
		}
	}
	if wasOpen {
		m.finalize(expected, state)
	}
}

func (m *machine) fence(t *rapid.T) {
	n := rapid.IntRange(0, testIDs-1).Draw(t, "id")
	if rapid.IntRange(0, 9).Draw(t, "other") == 0 {
		assert.Equal(t, m.ledger.Fence(testID(n), "node@2"), Unknown)
		return
	}
	state := m.ledger.Fence(testID(n), self)
	expected := m.known[n]
	switch {
	case expected == nil && len(m.known) >= testEntries:
		assert.Equal(t, state, Unknown)
	case expected == nil:
		assert.Equal(t, state, NotRun)
		expected = &model{}
		m.known[n] = expected
		m.finalize(expected, NotRun)
	case expected.state == Pending:
		assert.Equal(t, state, NotRun)
		m.finalize(expected, NotRun)
	default:
		assert.Equal(t, state, expected.state)
	}
}

func (m *machine) check(t *rapid.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for n := range testIDs {
		state, answer := m.ledger.Wait(ended, testID(n))
		expected := m.known[n]
		if expected == nil {
			assert.Equal(t, state, Unknown)
			continue
		}
		assert.Equal(t, state, expected.state)
		assert.Equal(t, answer != nil, expected.body != nil)
	}
	assert.Equal(t, m.ledger.Len(), len(m.known))
}

// Guards against a second dispatch, a dispatch after a fence that returned not-run, an entry that is removed before its
// expiry or because the ledger is full, and stored answers that exceed their limit.
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
				m.removeExpired()
			},
			"": m.check,
		})
	})
}

// Guards against an attempt that is dispatched and also reported as not-run because its fence races with its
// dispatch, and against a Wait that misses the final state.
func TestFenceRacesDispatch(t *testing.T) {
	ledger := New(Config{Self: self})
	for n := range 2000 {
		var wg sync.WaitGroup
		var dispatched bool
		var fenced, waited State
		wg.Go(func() {
			handle, refusal := ledger.Begin(Call{ID: testID(n)})
			if refusal != nil {
				return
			}
			dispatched = handle.Dispatch() == nil
			handle.Complete(nil)
		})
		wg.Go(func() { fenced = ledger.Fence(testID(n), self) })
		wg.Go(func() { waited, _ = ledger.Wait(context.Background(), testID(n)) })
		wg.Wait()
		assert.Equal(t, dispatched, fenced != NotRun)
		assert.Assert(t, waited != Pending && waited != Running)
	}
}

// BenchmarkLedger begins 400 attempts per second of the ledger's clock, so that entries expire as fast as they are
// added.
func BenchmarkLedger(b *testing.B) {
	var next atomic.Int64
	now := func() time.Time { return time.Unix(next.Load()/400, 0) }
	ledger := New(Config{Self: self, Now: now})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			handle, refusal := ledger.Begin(Call{ID: testID(int(next.Add(1)))})
			if refusal != nil || handle.Dispatch() != nil {
				b.Error("the attempt was refused")
				return
			}
			handle.Complete(nil)
		}
	})
	b.ReportMetric(float64(ledger.Len()), "entries")
}
