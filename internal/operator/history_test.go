package operator

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/platformtest"
)

// histories is the number of generated histories; each takes about half a second over HTTP.
const histories = "6"

// TestMain fixes the seed of the property tests; -rapid.seed chooses another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // the flag exists because rapid is imported
	os.Exit(m.Run())
}

// state is the accepted list in the model.
type state struct {
	version uint64
	text    string
}

// action is one call of an operator: an apply, or a read when text is empty.
type action struct {
	text       string
	expectSeen bool // states the version last seen
	expect     uint64
}

type kind int

const (
	accepted kind = iota
	unchanged
	conflicted
	unknown // may be accepted now, later or never
	refused // certainly not accepted
	read
)

type outcome struct {
	kind     kind
	version  uint64 // accepted, current or proposed
	text     string
	expected uint64 // of a conflict
}

// model is a single accepted list that changes by compare-and-set.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(before, input, output any) []any { return step(before.(state), input.(action), output.(outcome)) },
}

func step(before state, in action, out outcome) []any {
	after := state{version: out.version, text: in.text}
	next := before.version+1 == out.version && (!in.expectSeen || in.expect == before.version)
	switch out.kind {
	case accepted:
		return when(next, after)
	case unknown:
		return append(when(next, after), before)
	case unchanged:
		return when(before == after, before)
	case conflicted:
		return when(before.version == out.version && out.version != out.expected, before)
	case read:
		return when(before == state{out.version, out.text}, before)
	}
	return []any{before}
}

func when(holds bool, after state) []any {
	if holds {
		return []any{after}
	}
	return nil
}

// Guards against a lost change, a version accepted twice and a read that goes back, with several operators at once on a
// store that is down, slow, limits the rate, loses answers and leaves connections silent.
func TestConcurrentAppliersAreLinearizable(t *testing.T) {
	checks := flag.Lookup("rapid.checks").Value
	before := checks.String()
	assert.NilError(t, checks.Set(histories))
	defer func() { _ = checks.Set(before) }() // a value that was in force
	var kinds [read + 1]int
	rapid.Check(t, func(rt *rapid.T) {
		const workers = 4
		plans := make([][]action, workers)
		for worker := range plans {
			plans[worker] = drawPlan(rt, worker)
		}
		faults := rapid.SliceOfN(rapid.SampledFrom(schedulable), 10, 40).Draw(rt, "faults")
		server, addr := standIn(t)
		stop := make(chan struct{})
		var faulty, group sync.WaitGroup
		faulty.Go(func() { injectFaults(server, faults, stop) })
		byWorker := make([][]porcupine.Operation, workers)
		for worker, plan := range plans {
			operator := newOperator(t, addr, fmt.Sprint(worker), 80*time.Millisecond)
			group.Go(func() { byWorker[worker] = runPlan(t, operator, worker, plan) })
		}
		group.Wait()
		close(stop)
		faulty.Wait()
		server.SetFaults(platformtest.Faults{})
		last := newOperator(t, addr, "last", time.Minute)
		history := slices.Concat(append(byWorker, runPlan(t, last, workers, []action{{}}))...)
		for _, operation := range history {
			kinds[operation.Output.(outcome).kind]++
		}
		assert.Equal(rt, porcupine.CheckOperationsTimeout(model.ToModel(), history, time.Minute), porcupine.Ok)
		checkVersions(rt, t, last, history)
	})
	t.Logf("accepted, unchanged, conflicted, unknown, refused, read: %v", kinds)
	assert.Assert(t, kinds[accepted] > 0 && kinds[conflicted] > 0 && kinds[read] > 0, "the history is too thin: %v", kinds)
}

func drawPlan(t *rapid.T, worker int) []action {
	plan := make([]action, rapid.IntRange(10, 16).Draw(t, "length"))
	for i := range plan {
		choice := rapid.IntRange(0, 9).Draw(t, "action")
		switch {
		case choice < 2: // a read
		case choice == 2:
			plan[i] = action{text: "the same text"}
		default:
			plan[i] = action{text: fmt.Sprintf("text %d of %d", i, worker), expectSeen: choice > 6}
		}
	}
	return plan
}

// schedulable are the faults of a schedule; connections go silent whenever the rate limit is chosen.
var schedulable = []platformtest.Faults{
	{Down: true},
	{LoseEvery: 2, DelayMS: 5},
	{LoseAnswers: platformtest.AllAnswers, DelayMS: 5},
	{DelayMS: 25},
	{WritesPerSecond: 20, DelayMS: 5},
	{DelayMS: 5},
}

func injectFaults(server *platformtest.Server, schedule []platformtest.Faults, stop chan struct{}) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		next := schedule[i%len(schedule)]
		server.SetFaults(next)
		if next.WritesPerSecond > 0 {
			server.SilenceConnections()
		}
	}
}

// runPlan carries out the actions in order. An operation whose outcome is unknown may take effect at any later time.
func runPlan(t *testing.T, operator *Operator, worker int, plan []action) []porcupine.Operation {
	var operations []porcupine.Operation
	var seen uint64
	for _, in := range plan {
		in.expect = seen
		call := time.Now().UnixNano()
		out := perform(t, operator, in)
		operation := porcupine.Operation{ClientId: worker, Input: in, Call: call, Output: out, Return: time.Now().UnixNano()}
		if out.kind == unknown {
			operation.Return = 1 << 62
			worker += 100 // a client has one operation at a time
		} else if out.kind != refused {
			seen = out.version
		}
		operations = append(operations, operation)
	}
	return operations
}

func perform(t *testing.T, operator *Operator, in action) outcome {
	if in.text == "" {
		current, err := operator.Current(t.Context())
		if err != nil {
			assert.Check(t, is[*platform.UnavailableError](err), "%v", err)
			return outcome{kind: refused}
		}
		return outcome{kind: read, version: current.Row.Version, text: string(current.Text)}
	}
	var expect *uint64
	if in.expectSeen {
		expect = &in.expect
	}
	applied, err := operator.Apply(t.Context(), []byte(in.text), expect)
	var conflict *ConflictError
	var lost *OutcomeUnknownError
	switch {
	case err == nil && applied.Unchanged:
		return outcome{kind: unchanged, version: applied.Row.Version}
	case err == nil:
		return outcome{kind: accepted, version: applied.Row.Version}
	case errors.As(err, &conflict) && conflict.Found.Version > 0:
		return outcome{kind: conflicted, version: conflict.Found.Version, expected: conflict.Expected}
	case errors.As(err, &lost):
		return outcome{kind: unknown, version: lost.Version}
	}
	assert.Check(t, is[*platform.UnavailableError](err), "%v", err)
	return outcome{kind: refused}
}

// checkVersions requires one record for each version, and that each accepted text is the recorded one.
func checkVersions(rt *rapid.T, t *testing.T, operator *Operator, history []porcupine.Operation) {
	rows, err := operator.History(t.Context(), keptVersions)
	assert.NilError(rt, err)
	for i, row := range rows {
		assert.Equal(rt, row.Version, uint64(len(rows)-i))
	}
	for _, operation := range history {
		out := operation.Output.(outcome)
		if out.kind == accepted {
			recorded, err := operator.Version(t.Context(), out.version)
			assert.NilError(rt, err)
			assert.Equal(rt, string(recorded.Text), operation.Input.(action).text)
		}
	}
}
