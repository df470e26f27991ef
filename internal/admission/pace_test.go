package admission

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
)

// sharedMachine is a target on a machine that is shared with others: its speed is drawn anew each spell, and the speed at
// the start of a request decides how long it takes. The figures are those of a recorded day (docs/measurements.md).
type sharedMachine struct {
	gate *Gate

	mu     sync.Mutex
	random *rand.Rand
	began  time.Time
	spells []bool // slow or not, one for each spell since began
}

const (
	spell     = 150 * time.Millisecond
	slowShare = 0.35
	slowBy    = 5.0
)

func newSharedMachine(seed uint64) *sharedMachine {
	return &sharedMachine{
		gate:   New(Limits{Slots: 9, Queue: 9}),
		random: rand.New(rand.NewPCG(seed, 7)),
		began:  time.Now().Add(-time.Duration(seed) * 13 * time.Millisecond), // spells of machines begin at different times
	}
}

func (m *sharedMachine) factor() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	for n := int(time.Since(m.began) / spell); len(m.spells) <= n; {
		m.spells = append(m.spells, m.random.Float64() < slowShare)
	}
	if m.spells[int(time.Since(m.began)/spell)] {
		return slowBy
	}
	return 1
}

// serve runs a request that usually takes that long and reports the refusal, if any.
func (m *sharedMachine) serve(request Request, usual time.Duration) *failure.Error {
	slot, refused := m.gate.Enter(context.Background(), request)
	if refused != nil {
		return refused
	}
	time.Sleep(time.Duration(float64(usual) * m.factor()))
	m.gate.SetPace(m.factor())
	slot.Release(true)
	return nil
}

// followPace lets the gate ask the machine for its pace.
func (m *sharedMachine) followPace() {
	m.gate.OnPaceNeeded(func() (float64, bool) {
		time.Sleep(time.Millisecond)
		return m.factor(), true
	})
}

// playShared sends requests with steady random arrivals to five machines, each to a random one that it has not tried, and
// returns the share that was answered within the aim.
func playShared(requests int, gap, usual, aim time.Duration, follow bool) float64 {
	random := rand.New(rand.NewPCG(11, 12))
	var machines []*sharedMachine
	for i := range 5 {
		machine := newSharedMachine(uint64(i + 1))
		if follow {
			machine.followPace()
		}
		machines = append(machines, machine)
	}
	inTime := make(chan bool, requests)
	for range requests {
		order := random.Perm(len(machines))
		go func() {
			began := time.Now()
			request := Request{Deadline: began.Add(1200 * time.Millisecond), Aim: began.Add(aim), Kind: "order"}
			served := false
			for move := 0; move < 4 && !served; move++ {
				request.Movable = move < 3
				served = machines[order[move]].serve(request, usual) == nil
			}
			inTime <- served && time.Since(began) <= aim
		}()
		time.Sleep(time.Duration(random.ExpFloat64() * float64(gap)))
	}
	good := 0
	for range requests {
		if <-inTime {
			good++
		}
	}
	return float64(good) / float64(requests)
}

// TestSlowSpellsAreAvoided guards against requests that start in a slow spell of a shared machine: with a third of the time
// slow, a third of them were late at a quarter of the load.
func TestSlowSpellsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blind := playShared(2000, 11*time.Millisecond, 120*time.Millisecond, 300*time.Millisecond, false)
		following := playShared(2000, 11*time.Millisecond, 120*time.Millisecond, 300*time.Millisecond, true)
		t.Logf("in time: %.3f without, %.3f with the target's pace", blind, following)
		assert.Assert(t, blind < 0.75)
		assert.Assert(t, following > 0.9)
	})
}

// TestSlowSpellsUnderOverload guards against the loss of slots to slow starts when there is more load than slots: a request
// that starts in a slow spell takes the slot of five others.
func TestSlowSpellsUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blind := playShared(3000, 3*time.Millisecond, 120*time.Millisecond, 300*time.Millisecond, false)
		following := playShared(3000, 3*time.Millisecond, 120*time.Millisecond, 300*time.Millisecond, true)
		t.Logf("in time: %.3f without, %.3f with the target's pace", blind, following)
		assert.Assert(t, following > blind+0.1)
	})
}

// paced is a gate whose target tells a factor that the test sets; none while it is 0.
func paced(first int64) (*Gate, *atomic.Int64) {
	gate, factor := New(Limits{Slots: 2, Queue: 4}), &atomic.Int64{}
	factor.Store(first)
	gate.OnPaceNeeded(func() (float64, bool) {
		time.Sleep(time.Millisecond)
		told := factor.Load()
		return float64(told), told > 0
	})
	gate.SetPace(1)
	gate.SetPace(float64(first))
	return gate, factor
}

func enter(gate *Gate, within time.Duration, movable bool) (*Slot, *failure.Error) {
	return gate.Enter(context.Background(), Request{Deadline: time.Now().Add(within), Kind: "k", Movable: movable})
}

func TestSlowTargetRefusesWhatMayMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, _ := paced(5)
		_, refused := enter(gate, time.Second, true)
		assert.Equal(t, refused.Reason, failure.TargetSlow)
		assert.Equal(t, refused.Outcome, failure.NotRun)

		time.Sleep(time.Second) // the reading is stale now, so the refusal follows a new one
		_, refused = enter(gate, time.Second, true)
		assert.Equal(t, refused.Reason, failure.TargetSlow)
	})
}

func TestSlowTargetKeepsWhatMustStay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, factor := paced(5)
		time.AfterFunc(140*time.Millisecond, func() { factor.Store(1) })
		began := time.Now()
		slot, refused := enter(gate, time.Second, false)
		assert.Assert(t, refused == nil)
		waited := time.Since(began)
		assert.Assert(t, waited >= 140*time.Millisecond && waited < 170*time.Millisecond, "waited %v", waited)
		slot.Release(true)
	})
}

// TestPaceThatIsNotAnswered guards against requests that wait for a target which does not tell its pace any more.
func TestPaceThatIsNotAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, factor := paced(5)
		factor.Store(0)
		time.Sleep(time.Second)
		for range 5 {
			began := time.Now()
			slot, refused := enter(gate, time.Second, true)
			assert.Assert(t, refused == nil)
			assert.Assert(t, time.Since(began) <= time.Millisecond)
			slot.Release(true)
		}
	})
}

// TestLastingSlownessIsTheUsualPace guards against a target that gets no work because it has become slower for good.
func TestLastingSlownessIsTheUsualPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, _ := paced(4)
		began := time.Now()
		slot, refused := enter(gate, 5*time.Second, false)
		assert.Assert(t, refused == nil)
		assert.Assert(t, time.Since(began) <= longestSpell+paceRecheck+time.Millisecond)
		slot.Release(true)
		slot, refused = enter(gate, 5*time.Second, true)
		assert.Assert(t, refused == nil)
		slot.Release(true)
	})
}

// TestColdTargetGetsWork guards against a target that gets no work after its start: all its work takes twice as long then,
// and its slow spells ten times. Recorded after a loss of power on trouble-1 of hqbw-mesh.
func TestColdTargetGetsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, factor := New(Limits{Slots: 2, Queue: 4}), &atomic.Int64{}
		gate.OnPaceNeeded(func() (float64, bool) { return float64(factor.Load()), true })
		gate.SetPace(10)
		for range 50 { // 5 s in spells of 100 ms
			factor.Store(2)
			gate.SetPace(2)
			began := time.Now()
			slot, refused := enter(gate, time.Second, false)
			assert.Assert(t, refused == nil)
			assert.Assert(t, time.Since(began) <= time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			slot.Release(true)
			factor.Store(10)
			gate.SetPace(10)
			_, refused = enter(gate, time.Second, true)
			assert.Equal(t, refused.Reason, failure.TargetSlow)
			time.Sleep(50 * time.Millisecond)
		}
		factor.Store(1) // warm
		gate.SetPace(1)
		factor.Store(2)
		time.Sleep(50 * time.Millisecond)
		_, refused := enter(gate, time.Second, true)
		assert.Equal(t, refused.Reason, failure.TargetSlow)
	})
}

// TestShortWorkStartsAtAnyPace guards against detours that cost more than a slow start.
func TestShortWorkStartsAtAnyPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, _ := paced(1)
		slot, refused := enter(gate, time.Second, true)
		assert.Assert(t, refused == nil)
		time.Sleep(2 * time.Millisecond)
		slot.Release(true)
		gate.SetPace(5)
		slot, refused = enter(gate, time.Second, true)
		assert.Assert(t, refused == nil)
		slot.Release(true)
	})
}

// TestSlowStartsTeachNothing guards against estimates that contain the noise of shared machines: with them, requests were
// refused as unreachable that would have been answered.
func TestSlowStartsTeachNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var times estimator
		gate := New(Limits{Slots: 2, Queue: 4})
		gate.SetPace(1)
		gate.SetPace(5) // nothing reads the pace, so requests start
		slot, refused := enter(gate, time.Second, true)
		assert.Assert(t, refused == nil)
		time.Sleep(500 * time.Millisecond)
		slot.Release(true)
		assert.Equal(t, gate.times.of("k", 1), times.of("k", 1))
	})
}

// TestDrainRefusesWhatWaitsForPace guards against a request that starts after the drain because the target got faster.
func TestDrainRefusesWhatWaitsForPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, _ := paced(5)
		ended := make(chan *failure.Error, 1)
		go func() {
			_, refused := enter(gate, 5*time.Second, false)
			ended <- refused
		}()
		synctest.Wait()
		gate.BeginDrain()
		assert.Equal(t, (<-ended).Reason, failure.Draining)
	})
}
