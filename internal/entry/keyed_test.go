package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
)

// Guards against the outcome not-run for a retried key whose first call may have run: this call was refused before any
// owner looked up the key.
func TestRefusalBeforeKeyLookupHasUnknownOutcome(t *testing.T) {
	for reason, want := range map[failure.Reason]failure.Outcome{
		failure.KeyOwnerUnreachable: failure.Unknown,
		failure.KeyOwnerNotReady:    failure.Unknown,
		failure.KeyRosterMismatch:   failure.Unknown,
		failure.KeyAuthorityLapsed:  failure.Unknown,
		failure.Fenced:              failure.Unknown,
		failure.KeyStoreFull:        failure.NotRun,
		failure.KeyReused:           failure.NotRun,
	} {
		res := (&keyedCall{}).claimFailure(failure.New(reason, failure.NotRun, "refused"))
		assert.Equal(t, res.failed.Outcome, want, string(reason))
		assert.Equal(t, res.failed.Reason, reason)
	}
	none := failure.New(failure.NoTarget, failure.NotRun, "none")
	assert.Equal(t, (&keyedCall{}).noRunnerFailure(none).failed.Outcome, failure.Unknown)
	refused := failure.New(failure.QueueFull, failure.NotRun, "refused by the runner")
	assert.Equal(t, (&keyedCall{lastFailure: refused}).noRunnerFailure(none).failed, refused)
}
