package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/failure"
)

// Guards against telling a caller who repeats a key that its purchase was not run, although only this call was refused
// and nobody looked the key up.
func TestRefusalBeforeTheKeyWasLookedUpIsUnknown(t *testing.T) {
	for reason, want := range map[failure.Reason]failure.Outcome{
		failure.KeyOwnerGone:       failure.Unknown,
		failure.KeyOwnerNotReady:   failure.Unknown,
		failure.KeyRosterMismatch:  failure.Unknown,
		failure.KeyAuthorityLapsed: failure.Unknown,
		failure.Fenced:             failure.Unknown,
		failure.KeyStoreFull:       failure.NotRun,
		failure.KeyReused:          failure.NotRun,
	} {
		ended := (&keyedCall{}).refusedClaim(failure.New(reason, failure.NotRun, "refused"))
		assert.Equal(t, ended.failed.Outcome, want, string(reason))
		assert.Equal(t, ended.failed.Reason, reason)
	}
	none := failure.New(failure.NoTarget, failure.NotRun, "none")
	assert.Equal(t, (&keyedCall{}).noRunner(none).failed.Outcome, failure.Unknown)
	refused := failure.New(failure.QueueFull, failure.NotRun, "refused by the runner")
	assert.Equal(t, (&keyedCall{last: refused}).noRunner(none).failed, refused)
}
