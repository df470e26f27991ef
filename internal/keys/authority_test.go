package keys

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
)

// Guards against a member that acts at an older roster version because the table confirmed a newer one: it may have
// been removed as lost and have joined again in between (found by TestSplits with -rapid.seed=5323). Confirmations of
// older versions do count for newer ones.
func TestConfirmationCountsForLaterVersionsOnly(t *testing.T) {
	cfg := &Config{Self: cluster.Member{ID: "n3@4"}}
	cfg.G, cfg.Gmax = simG, simGmax
	older := &Roster{Version: 3, Members: []Member{{ID: "n2@3"}, {ID: "n3@4"}}}
	newer := &Roster{Version: 5, Members: []Member{{ID: "n1@2"}, {ID: "n3@4"}}}
	now := time.Unix(1000, 0)

	a := newAuthority()
	a.onInstall(older.Version)
	a.confirm(newer.Version, now)
	assert.Assert(t, a.validUntil(cfg, older).IsZero())
	a.onInstall(newer.Version)
	assert.Equal(t, a.validUntil(cfg, newer), now.Add(simG))

	b := newAuthority()
	b.onInstall(older.Version)
	b.confirm(older.Version, now)
	b.onInstall(newer.Version)
	assert.Equal(t, b.validUntil(cfg, newer), now.Add(simG))
}
