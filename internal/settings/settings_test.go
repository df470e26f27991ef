package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

const validSettings = `service = "storefront"
zone = "sj-a"
region = "sanjose"
entry_addr = "0.0.0.0:8080"
peer_addr = "127.0.0.1:8081"
admin_addr = "127.0.0.1:8082"
target_addr = "127.0.0.1:8083"
platform_addr = "127.0.0.1:9000"
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "acacialockd.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Guards against defaults that differ from the documented ones, keys that are decoded into the wrong field, and example
// files that the daemon would reject.
func TestLoad(t *testing.T) {
	loaded, err := Load(writeSettings(t, validSettings+`seeds = ["127.0.0.2:8081", "[::1]:8081"]
entry_services = ["inventory"]
target_health_path = "/healthz"
drain_timeout = "1m"
regions = ["sanjose", "guanacaste", "sanjose"]
key_withdrawal_bound = "5s"
`))
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, &Settings{
		Name: "127.0.0.1:8081", Service: "storefront", Zone: "sj-a", Region: "sanjose",
		EntryAddr: "0.0.0.0:8080", PeerAddr: "127.0.0.1:8081", AdminAddr: "127.0.0.1:8082",
		TargetAddr: "127.0.0.1:8083", TargetHealthPath: "/healthz", PlatformAddr: "127.0.0.1:9000",
		Seeds: []string{"127.0.0.2:8081", "[::1]:8081"}, EntryServices: []string{"inventory"},
		Regions: []string{"guanacaste", "sanjose"}, KeyWithdrawalBound: 5 * time.Second,
		DrainTimeout: time.Minute, TargetConnectTimeout: time.Second, TargetHealthInterval: time.Second,
		PlatformTryTimeout: time.Second, PlatformOperationTimeout: 15 * time.Second,
	})
	examples, err := filepath.Glob("../../examples/*/acacialockd.toml")
	assert.NilError(t, err)
	assert.Equal(t, len(examples), 2)
	for _, file := range examples {
		_, err := Load(file)
		assert.NilError(t, err)
	}
}

// Guards against a rule that is not enforced or is reported without file, key or kind. Each case violates one rule: its
// line replaces the valid line of the same key or is added.
func TestInvalidSettingsAreRejected(t *testing.T) {
	cases := []struct {
		line string
		kind tomlcheck.Kind
	}{
		{`service = "Storefront"`, tomlcheck.BadName},
		{`caller_memory = -1`, tomlcheck.OutOfRange},
		{`caller_connections = -1`, tomlcheck.OutOfRange},
		{`caller_header_lines = -1`, tomlcheck.OutOfRange},
		{`descriptors = -1`, tomlcheck.OutOfRange},
		{`zone = ""`, tomlcheck.Missing},
		{`region = "san jose"`, tomlcheck.BadName},
		{`name = "a@b"`, tomlcheck.BadName},
		{`entry_addr = "localhost:8080"`, tomlcheck.BadAddress},
		{`entry_addr = "127.0.0.1"`, tomlcheck.BadAddress},
		{`peer_addr = "0.0.0.0:8081"`, tomlcheck.BadAddress},
		{`admin_addr = "127.0.0.1:0"`, tomlcheck.BadAddress},
		{`target_addr = "127.0.0.1:8081"`, tomlcheck.Duplicate},
		{`platform_addr = "127.0.0.1:65536"`, tomlcheck.BadAddress},
		{`seeds = ["127.0.0.1"]`, tomlcheck.BadAddress},
		{`seeds = ["127.0.0.2:1", "127.0.0.2:1"]`, tomlcheck.Duplicate},
		{`seeds = "127.0.0.2:1"`, tomlcheck.WrongType},
		{`entry_services = ["a b"]`, tomlcheck.BadName},
		{`entry_services = ["a", "a"]`, tomlcheck.Duplicate},
		{`target_health_path = "healthz"`, tomlcheck.BadRoute},
		{`drain_timeout = "30"`, tomlcheck.BadDuration},
		{`drain_timeout = "2h"`, tomlcheck.OutOfRange},
		{`target_connect_timeout = "1ms"`, tomlcheck.OutOfRange},
		{`target_health_interval = "0s"`, tomlcheck.OutOfRange},
		{`platform_try_timeout = "1ms"`, tomlcheck.OutOfRange},
		{`platform_operation_timeout = "10m"`, tomlcheck.OutOfRange},
		{`key_withdrawal_bound = "0s"`, tomlcheck.OutOfRange},
		{`regions = ["sanjose", "San Jose"]`, tomlcheck.BadName},
		{`regions = ["guanacaste"]`, tomlcheck.Missing},
		{`colour = "red"`, tomlcheck.UnknownKey},
		{`zone = `, tomlcheck.Syntax},
	}
	for _, c := range cases {
		key, _, _ := strings.Cut(c.line, " =")
		without := regexp.MustCompile("(?m)^"+key+" =.*\n").ReplaceAllString(validSettings, "")
		path := writeSettings(t, without+c.line+"\n")
		_, err := Load(path)
		var invalid *Error
		assert.Assert(t, errors.As(err, &invalid), "%s: %v", c.line, err)
		assert.Equal(t, len(invalid.Problems), 1, "%s: %v", c.line, err)
		found := invalid.Problems[0]
		assert.Equal(t, found.Kind, c.kind, "%s: %v", c.line, err)
		assert.Assert(t, found.Line > 0, "%v", err)
		if c.kind != tomlcheck.Syntax {
			assert.Equal(t, found.Key, key)
		}
		assert.ErrorContains(t, err, fmt.Sprintf("%s: line %d: ", path, found.Line))
	}
	_, err := Load(filepath.Join(t.TempDir(), "absent.toml"))
	var unreadable *Error
	assert.Assert(t, errors.As(err, &unreadable))
	assert.ErrorIs(t, err, fs.ErrNotExist)
	_, err = Load(writeSettings(t, ""))
	assert.Assert(t, errors.As(err, &unreadable))
	assert.Equal(t, len(unreadable.Problems), 8, "one for each required key: %v", err)
}
