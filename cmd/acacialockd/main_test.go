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

// brokenOutputEnv is the environment variable that makes the process of runAsProcessEnv run with a standard output and a
// standard error whose reader has closed them.
const brokenOutputEnv = "ACACIALOCK_TEST_BROKEN_OUTPUT"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProcessEnv) != "" {
		if os.Getenv(brokenOutputEnv) != "" {
			breakOutput()
		}
		os.Exit(run())
	}
	os.Exit(m.Run())
}

func breakOutput() {
	var pipe [2]int
	if err := syscall.Pipe(pipe[:]); err != nil {
		panic(err)
	}
	for _, fd := range []int{1, 2} {
		if err := syscall.Dup3(pipe[1], fd, 0); err != nil {
			panic(err)
		}
	}
	_ = syscall.Close(pipe[0]) // from now on each write fails with EPIPE and raises SIGPIPE
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

// Guards against a node that ends because the reader of its log has ended: a write to a closed standard output raises
// SIGPIPE, whose default action in Go is to end the process.
func TestClosedLogOutputDoesNotEndTheNode(t *testing.T) {
	t.Setenv(brokenOutputEnv, "1")
	node := startProcess(t)
	boots := node.Boots()
	node.Signal(syscall.SIGHUP) // logs a line
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, node.Boots(), boots, "the process ended and was restarted")
	node.SignalStop(syscall.SIGTERM)
	assert.Assert(t, node.WaitExit(waitTimeout))
	assert.NilError(t, node.ExitError())
}
