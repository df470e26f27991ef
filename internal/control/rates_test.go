package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/control/controltest"
)

// The test runs at a tenth of the expected size: 1,200 nodes in two years, on a store that allows 2,000 reads/s and
// several hundred writes/s.
const (
	storeReadsPerSecond  = 2000 / 10
	storeWritesPerSecond = 300 / 10
	expectedZones        = 4
	expectedPerZone      = 120 / 4
)

// Guards against overload of the store when all nodes restart or when a store outage ends.
func TestMassRestartLimitsStoreRates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system := newTestSystem()
		defer system.stop()
		assert.NilError(t, system.accept(1))
		startAll(system)
		checkStoreRates(t, system, 25)
		assertReady(t, system)

		for _, p := range system.runningProcesses() {
			p.kill()
		}
		startAll(system)
		checkStoreRates(t, system, 25)
		assertReady(t, system)

		system.store.SetDown(true)
		time.Sleep(10 * time.Second)
		for zone := range expectedZones {
			system.leaders(zoneName(zone))[0].kill()
		}
		time.Sleep(10 * time.Second)
		system.store.SetDown(false)
		checkStoreRates(t, system, 20)
		for zone := range expectedZones {
			assert.Equal(t, len(system.leaders(zoneName(zone))), 1)
		}
	})
}

func zoneName(zone int) string { return fmt.Sprintf("z%02d", zone) }

// startAll starts the nodes of all zones.
func startAll(system *testSystem) {
	for zone := range expectedZones {
		for i := range expectedPerZone {
			name := fmt.Sprintf("%s-%02d", zoneName(zone), i)
			system.startNode(name, "stock", zoneName(zone), "z00-00", "z01-00", "z02-00")
		}
	}
}

func assertReady(t *testing.T, system *testSystem) {
	for _, p := range system.runningProcesses() {
		assert.Assert(t, p.node.Status().Ready, "%s is not ready", p.member.ID)
	}
}

// checkStoreRates checks the number of store operations in each second of virtual time.
func checkStoreRates(t *testing.T, system *testSystem, seconds int) {
	last := system.store.Counts()
	maximum := controltest.Counts{}
	for range seconds {
		time.Sleep(time.Second)
		now := system.store.Counts()
		maximum.Reads = max(maximum.Reads, now.Reads+now.Objects-last.Reads-last.Objects)
		maximum.Writes = max(maximum.Writes, now.Writes-last.Writes)
		last = now
	}
	t.Logf("maximum operations per second: %d reads, %d writes", maximum.Reads, maximum.Writes)
	assert.Assert(t, maximum.Reads <= storeReadsPerSecond && maximum.Writes <= storeWritesPerSecond, "%+v", maximum)
}
