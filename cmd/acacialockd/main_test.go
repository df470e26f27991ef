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

// runAsProcessEnv is the environment variable that makes the test binary run acacialockd instead of the tests.
const runAsProcessEnv = "ACACIALOCK_TEST_PROCESS"

// waitTimeout limits each wait for a process. It allows for a busy machine.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(runAsProcessEnv) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// startProcess starts acacialockd as a separate process on a site with a row store, and waits until it is ready.
func startProcess(t *testing.T) *testsite.Node {
	t.Helper()
	t.Setenv(runAsProcessEnv, "1")
	site, err := testsite.New()
	assert.NilError(t, err)
	t.Cleanup(site.Close)
	site.Store.PutDesiredState(1, []standin.Route{{
		Name: "all", Host: "shop.example", Prefix: "/", Service: "shop", Timeout: time.Second, MaxAttempts: 1,
	}})
	config := testsite.NodeConfig{Name: "n", Service: "shop", Zone: "a"}
	node, err := site.Add(t.TempDir(), os.Args[0], config, func(problem string) { t.Error(problem) })
	assert.NilError(t, err)
	if err := site.AwaitReady(waitTimeout); err != nil {
		text, _ := os.ReadFile(node.LogFile)
		t.Fatalf("%v\n%s", err, text)
	}
	return node
}

// Guards against a node that is killed during its drain. If SIGTERM restores the default action of SIGHUP, a reload of
// the settings during the drain breaks the requests in flight (replay of fresh-1496, docs/incidents/3).
func TestHangUpDuringDrain(t *testing.T) {
	node := startProcess(t)
	node.SignalStop(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond) // the drain lasts for seconds
	for range 3 {
		node.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
	}
	assert.Assert(t, node.WaitExit(waitTimeout))
	assert.NilError(t, node.ExitError())
}
