package keys

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/cluster"
)

// Guards against a member that acts at an older version on the table's word about a newer one: it may have been lost
// and have joined again in between (found by TestSplits with -rapid.seed=5323). An older confirmation carries over.
func TestConfirmationCountsForLaterVersionsOnly(t *testing.T) {
	cfg := &Config{Self: cluster.Member{ID: "n3@4"}}
	cfg.G, cfg.Gmax = simG, simGmax
	older := &Roster{Version: 3, Members: []Member{{ID: "n2@3"}, {ID: "n3@4"}}}
	newer := &Roster{Version: 5, Members: []Member{{ID: "n1@2"}, {ID: "n3@4"}}}
	now := time.Unix(1000, 0)

	a := newAuthority()
	a.installed(older.Version)
	a.confirm(newer.Version, now)
	assert.Assert(t, a.until(cfg, older).IsZero())
	a.installed(newer.Version)
	assert.Equal(t, a.until(cfg, newer), now.Add(simG))

	b := newAuthority()
	b.installed(older.Version)
	b.confirm(older.Version, now)
	b.installed(newer.Version)
	assert.Equal(t, b.until(cfg, newer), now.Add(simG))
}
