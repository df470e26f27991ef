package main

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/testsite"
	"github.com/acacialock/acacialock/platform/standin"
)

// asProcess makes the test binary run the program instead of the tests.
const asProcess = "ACACIALOCK_TEST_PROCESS"

// waitLimit bounds waits for a process on a busy machine.
const waitLimit = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(asProcess) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// startProcess runs the program as a process of its own on the platform's form.
func startProcess(t *testing.T) *testsite.Node {
	t.Helper()
	t.Setenv(asProcess, "1")
	site, err := testsite.New()
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	site.Store.SetDesired(1, []standin.Route{{
		Name: "all", Host: "shop.example", Prefix: "/", Service: "shop", Timeout: time.Second, MaxAttempts: 1,
	}})
	place := testsite.Place{Name: "n", Service: "shop", Zone: "a"}
	node, err := site.Add(t.TempDir(), os.Args[0], place, func(problem string) { t.Error(problem) })
	assert.NilError(t, err)
	if err := site.AwaitReady(waitLimit); err != nil {
		text, _ := os.ReadFile(node.LogFile)
		t.Fatalf("%v\n%s", err, text)
	}
	return node
}

// Guards against a node that ends in the middle of its drain: with the default action of SIGHUP in force again after
// SIGTERM, a change of the settings file cut the requests in flight (replay of fresh-1496, docs/incidents/3).
func TestHangUpDuringADrain(t *testing.T) {
	node := startProcess(t)
	node.End(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond) // the drain lasts for seconds
	for range 3 {
		node.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, node.WaitEnd(waitLimit))
	assert.NilError(t, node.EndError())
}
