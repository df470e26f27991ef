package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/acacialock/acacialock/internal/testnet"
	"github.com/acacialock/acacialock/platform/standin"
)

// asProcess makes the test binary run the program instead of the tests.
const asProcess = "ACACIALOCK_TEST_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(asProcess) != "" {
		os.Exit(run())
	}
	os.Exit(m.Run())
}

// process is the program as a process of its own on the platform's form.
type process struct {
	t       *testing.T
	command *exec.Cmd
	admin   string
	file    string
}

func settingsText(t *testing.T, store string, drain string, addrs []string) string {
	t.Helper()
	return fmt.Sprintf(`platform = "rows"
name = "n"
service = "shop"
zone = "a"
region = "r"
entry_addr = %q
peer_addr = %q
admin_addr = %q
check_in_addr = %q
target_addr = %q
platform_addr = %q
retry_ratio = 0.2
retry_slack = 64
drain_timeout = %q
`, addrs[0], addrs[1], addrs[2], addrs[3], addrs[4], store, drain)
}

func startProcess(t *testing.T) *process {
	t.Helper()
	store := httptest.NewServer(standin.NewStore())
	t.Cleanup(store.Close)
	var addrs []string
	for range 5 {
		addr, err := testnet.FreeAddr()
		assert.NilError(t, err)
		addrs = append(addrs, addr)
	}
	file := filepath.Join(t.TempDir(), "node.toml")
	text := settingsText(t, store.Listener.Addr().String(), "6s", addrs)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	command := exec.Command(os.Args[0], "--config", file)
	command.Env = append(os.Environ(), asProcess+"=1")
	command.Stdout, command.Stderr = os.Stderr, os.Stderr
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Kill() // it has ended unless the test failed
		store.CloseClientConnections()
	})
	p := &process{t: t, command: command, admin: addrs[2], file: file}
	p.waitFor("/healthz", http.StatusOK)
	return p
}

func (p *process) waitFor(path string, status int) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		answer, err := http.Get("http://" + p.admin + path)
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = answer.Body.Close()
		if answer.StatusCode != status {
			return poll.Continue("%d", answer.StatusCode)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// Guards against a node that ends in the middle of its drain: with the default action of SIGHUP in force again after
// SIGTERM, a change of the settings file cut the requests in flight (replay of fresh-1496, docs/incidents/3).
func TestHangUpDuringADrain(t *testing.T) {
	p := startProcess(t)
	assert.NilError(t, p.command.Process.Signal(syscall.SIGTERM))
	time.Sleep(200 * time.Millisecond) // the drain lasts for seconds
	for range 3 {
		assert.NilError(t, p.command.Process.Signal(syscall.SIGHUP))
		time.Sleep(50 * time.Millisecond)
	}
	assert.NilError(t, p.command.Wait())
}
