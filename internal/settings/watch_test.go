package settings

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const watchedSettings = `platform = "rows"
name = "n"
service = "shop"
zone = "a"
region = "r"
entry_addr = "127.0.0.1:1001"
peer_addr = "127.0.0.1:1002"
admin_addr = "127.0.0.1:1003"
check_in_addr = "127.0.0.1:1004"
target_addr = "127.0.0.1:1005"
platform_addr = "127.0.0.1:1006"
drain_timeout = "6s"
`

// Guards against a file change that is not detected without a signal, against an invalid file that is applied, and against
// a signal that is missed.
func TestWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, os.WriteFile(path, []byte(watchedSettings), 0o600))
	signals, changed := make(chan os.Signal, 1), make(chan *Settings, 4)
	ctx, cancel := context.WithCancel(context.Background())
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		Watch(ctx, path, signals, func(s *Settings) { changed <- s })
	}()
	signals <- os.Interrupt // any signal that the caller subscribes to
	assert.Equal(t, (<-changed).DrainTimeout, 6*time.Second)

	assert.NilError(t, os.WriteFile(path, []byte("drain_timeout = 7"), 0o600))
	signals <- os.Interrupt
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(watchedSettings, "6s", "9500ms", 1)), 0o600))
	for drain := time.Duration(0); drain != 9500*time.Millisecond; {
		drain = (<-changed).DrainTimeout
		assert.Assert(t, drain == 6*time.Second || drain == 9500*time.Millisecond, "%v", drain)
	}
	cancel()
	<-watchDone
}

// Guards against a changed key that requires a restart but is not reported.
func TestChangedRestartKeys(t *testing.T) {
	load := func(old, replacement string) *Settings {
		path := filepath.Join(t.TempDir(), "node.toml")
		assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(watchedSettings, old, replacement, 1)), 0o600))
		loaded, err := Load(path)
		assert.NilError(t, err)
		return loaded
	}
	first := load("", "")
	assert.Equal(t, len(load(`"6s"`, `"7s"`).ChangedRestartKeys(first)), 0)
	assert.DeepEqual(t, load(`zone = "a"`, `zone = "b"`).ChangedRestartKeys(first), []string{"zone"})
	assert.DeepEqual(t, load(`127.0.0.1:1006`, `127.0.0.1:1016`).ChangedRestartKeys(first), []string{"platform_addr"})
}
