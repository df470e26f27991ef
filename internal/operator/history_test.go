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

// historyCount is the number of generated histories, as a flag value; each takes about half a second over HTTP.
const historyCount = "6"

// TestMain sets the default seed of the property tests to 1. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // importing rapid registers the flag
	os.Exit(m.Run())
}

// state is the state of the model: the accepted list.
type state struct {
	version uint64
	text    string
}

// action is one call by an operator: an apply, or a read if text is empty.
type action struct {
	text       string
	expectSeen bool // the apply passes the version last seen
	expect     uint64
}

// outcomeKind classifies the result of an action as its caller sees it.
type outcomeKind int

const (
	accepted outcomeKind = iota
	unchanged
	conflicted
	unknown // accepted already, later or never
	refused // definitely not accepted
	read
)

// outcome is the result of an action.
type outcome struct {
	kind     outcomeKind
	version  uint64 // accepted, current or proposed version, depending on kind
	text     string
	expected uint64 // version that a conflicted apply expected
}

// model is the specification: a single accepted list that is replaced by compare-and-set.
var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(before, input, output any) []any { return step(before.(state), input.(action), output.(outcome)) },
}

// step returns the states in which the model can be after an action with this outcome; none if it is impossible.
func step(before state, in action, out outcome) []any {
	after := state{version: out.version, text: in.text}
	acceptable := before.version+1 == out.version && (!in.expectSeen || in.expect == before.version)
	switch out.kind {
	case accepted:
		return statesIf(acceptable, after)
	case unknown:
		return append(statesIf(acceptable, after), before)
	case unchanged:
		return statesIf(before == after, before)
	case conflicted:
		return statesIf(before.version == out.version && out.version != out.expected, before)
	case read:
		return statesIf(before == state{out.version, out.text}, before)
	}
	return []any{before}
}

// statesIf returns after if the condition holds and no state otherwise.
func statesIf(condition bool, after state) []any {
	if condition {
		return []any{after}
	}
	return nil
}

// Guards against lost updates, versions accepted twice and stale reads when several operators work at the same time.
// The store is down or slow, limits the rate, drops responses or stops responding on open connections.
func TestConcurrentAppliersAreLinearizable(t *testing.T) {
	checks := flag.Lookup("rapid.checks").Value
	previous := checks.String()
	assert.NilError(t, checks.Set(historyCount))
	defer func() { _ = checks.Set(previous) }() // the value was valid before
	var kinds [read + 1]int
	rapid.Check(t, func(rt *rapid.T) {
		const workers = 4
		plans := make([][]action, workers)
		for worker := range plans {
			plans[worker] = drawPlan(rt, worker)
		}
		faults := rapid.SliceOfN(rapid.SampledFrom(faultChoices), 10, 40).Draw(rt, "faults")
		server, addr := startPlatform(t)
		stop := make(chan struct{})
		var injector, group sync.WaitGroup
		injector.Go(func() { injectFaults(server, faults, stop) })
		byWorker := make([][]porcupine.Operation, workers)
		for worker, plan := range plans {
			operator := newOperator(t, addr, fmt.Sprint(worker), 80*time.Millisecond)
			group.Go(func() { byWorker[worker] = runPlan(t, operator, worker, plan) })
		}
		group.Wait()
		close(stop)
		injector.Wait()
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
	assert.Assert(t, kinds[accepted] > 0 && kinds[conflicted] > 0 && kinds[read] > 0, "the histories cover too few outcomes: %v", kinds)
}

// drawPlan draws the actions of one worker.
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

// faultChoices are the faults that a schedule is drawn from. injectFaults silences the open connections along with the
// rate limit.
var faultChoices = []platformtest.Faults{
	{Down: true},
	{LoseEvery: 2, DelayMS: 5},
	{LoseResponses: platformtest.LoseAllResponses, DelayMS: 5},
	{DelayMS: 25},
	{WritesPerSecond: 20, DelayMS: 5},
	{DelayMS: 5},
}

// injectFaults changes the faults of the server every 50 ms until stop is closed.
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

// runPlan runs the actions in order and returns them with their times and outcomes. An operation with an unknown
// outcome gets a return time in the far future, since it may take effect at any later time.
func runPlan(t *testing.T, operator *Operator, worker int, plan []action) []porcupine.Operation {
	var operations []porcupine.Operation
	var seen uint64
	for _, in := range plan {
		in.expect = seen
		call := time.Now().UnixNano()
		out := runAction(t, operator, in)
		operation := porcupine.Operation{ClientId: worker, Input: in, Call: call, Output: out, Return: time.Now().UnixNano()}
		if out.kind == unknown {
			operation.Return = 1 << 62
			worker += 100 // porcupine allows only one open operation per client
		} else if out.kind != refused {
			seen = out.version
		}
		operations = append(operations, operation)
	}
	return operations
}

func runAction(t *testing.T, operator *Operator, in action) outcome {
	if in.text == "" {
		current, err := operator.Current(t.Context())
		if err != nil {
			assert.Check(t, isErrorType[*platform.UnavailableError](err), "%v", err)
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
	var outcomeUnknown *OutcomeUnknownError
	switch {
	case err == nil && applied.Unchanged:
		return outcome{kind: unchanged, version: applied.Row.Version}
	case err == nil:
		return outcome{kind: accepted, version: applied.Row.Version}
	case errors.As(err, &conflict) && conflict.Found.Version > 0:
		return outcome{kind: conflicted, version: conflict.Found.Version, expected: conflict.Expected}
	case errors.As(err, &outcomeUnknown):
		return outcome{kind: unknown, version: outcomeUnknown.Version}
	}
	assert.Check(t, isErrorType[*platform.UnavailableError](err), "%v", err)
	return outcome{kind: refused}
}

// checkVersions requires that the history has exactly one record per version, and that the recorded text of each
// version is the text whose apply was accepted.
func checkVersions(rt *rapid.T, t *testing.T, operator *Operator, history []porcupine.Operation) {
	rows, err := operator.History(t.Context(), maxHistoryVersions)
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
