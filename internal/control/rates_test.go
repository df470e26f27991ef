package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/control/controltest"
)

// A tenth of the 1,200 nodes expected in two years, with a tenth of the store's 2,000 reads/s and several hundred
// writes/s.
const (
	storeReadsPerSecond  = 2000 / 10
	storeWritesPerSecond = 300 / 10
	expectedZones        = 4
	expectedPerZone      = 120 / 4
)

// Guards against a restart of all nodes, or the end of an outage, that overloads the store.
func TestMassRestartKeepsStoreRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		defer w.stop()
		assert.NilError(t, w.accept(1))
		startAll(w)
		watchRates(t, w, 25)
		ready(t, w)

		for _, p := range w.all() {
			p.kill()
		}
		startAll(w)
		watchRates(t, w, 25)
		ready(t, w)

		w.store.SetDown(true)
		time.Sleep(10 * time.Second)
		for zone := range expectedZones {
			w.leaders(zoneName(zone))[0].kill()
		}
		time.Sleep(10 * time.Second)
		w.store.SetDown(false)
		watchRates(t, w, 20)
		for zone := range expectedZones {
			assert.Equal(t, len(w.leaders(zoneName(zone))), 1)
		}
	})
}

func zoneName(zone int) string { return fmt.Sprintf("z%02d", zone) }

func startAll(w *world) {
	for zone := range expectedZones {
		for i := range expectedPerZone {
			name := fmt.Sprintf("%s-%02d", zoneName(zone), i)
			w.start(name, "stock", zoneName(zone), "z00-00", "z01-00", "z02-00")
		}
	}
}

func ready(t *testing.T, w *world) {
	for _, p := range w.all() {
		assert.Assert(t, p.node.Status().Ready, "%s is not ready", p.member.ID)
	}
}

// watchRates checks the operations of each second on the virtual clock.
func watchRates(t *testing.T, w *world, seconds int) {
	last := w.store.Counts()
	worst := controltest.Counts{}
	for range seconds {
		time.Sleep(time.Second)
		now := w.store.Counts()
		worst.Reads = max(worst.Reads, now.Reads+now.Objects-last.Reads-last.Objects)
		worst.Writes = max(worst.Writes, now.Writes-last.Writes)
		last = now
	}
	t.Logf("most operations in one second: %d reads, %d writes", worst.Reads, worst.Writes)
	assert.Assert(t, worst.Reads <= storeReadsPerSecond && worst.Writes <= storeWritesPerSecond, "%+v", worst)
}
