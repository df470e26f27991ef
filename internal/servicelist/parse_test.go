package servicelist

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/tomlcheck"
)

// Guards against defaults that differ from the documented ones.
func TestDefaults(t *testing.T) {
	list, err := Parse([]byte("[services.a]\n"))
	assert.NilError(t, err)
	assert.Equal(t, list.Measuring, Measuring{RegionBytesPerSecond: 14000, LinkBytesPerSecond: 1000})
	assert.DeepEqual(t, list.Services["a"], &Service{
		Name: "a", Timeout: 10 * time.Second, ResendWindow: 10 * time.Minute,
		Limits: Limits{Slots: 9, Connections: 260, Queue: 9}, Retry: Retry{BudgetPercent: 10, HedgePercent: 5},
	})
}

// Guards against caller limits and health paths that are not copied into the parsed list.
func TestCallersAndHealthPath(t *testing.T) {
	list, err := Parse([]byte(`[callers]
max_body_bytes = 1000
max_header_bytes = 2000
header_timeout = "3s"
idle_timeout = "15s"
[services.a]
health_path = "/health"
`))
	assert.NilError(t, err)
	assert.Equal(t, list.CallerLimits, CallerLimits{
		MaxBodyBytes: 1000, MaxHeaderBytes: 2000, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	})
	assert.Equal(t, list.Services["a"].HealthPath, "/health")
}

// Guards against a rule that is not enforced or is reported with the wrong line, key or kind. Each text violates exactly
// one rule.
func TestInvalidListsAreRejected(t *testing.T) {
	cases := []struct {
		text string
		line int
		kind tomlcheck.Kind
		key  string
	}{
		{"", 0, tomlcheck.Missing, "services"},
		{"services", 1, tomlcheck.Syntax, ""},
		{"[services.a]\n[services.a]\n", 2, tomlcheck.Duplicate, "services.a"},
		{"[services.a]\ntimeout = '1s'\ntimeout = '2s'\n", 3, tomlcheck.Duplicate, "timeout"},
		{"[services.a]\nlimits = 3\n", 2, tomlcheck.WrongType, "services.a.limits"},
		{"services = 3\n", 1, tomlcheck.WrongType, "services"},
		{"[services.a]\nslots = 3\n", 2, tomlcheck.UnknownKey, "services.a.slots"},
		{"[services.a]\n[services.a.limit]\n", 2, tomlcheck.UnknownKey, "services.a.limit"},
		{"[services.a]\nTimeout = '1s'\n", 2, tomlcheck.UnknownKey, "services.a.Timeout"},
		{"[services.a]\ntimeout = 10\n", 2, tomlcheck.WrongType, "services.a.timeout"},
		{"[services.a]\nlimits.slots = 99999999999999999999\n", 2, tomlcheck.OutOfRange, "services.a.limits.slots"},
		{"[callers]\nmax_body_bytes = -1\n[services.a]\n", 2, tomlcheck.OutOfRange, "callers.max_body_bytes"},
		{"[callers]\nmax_header_bytes = 2000000\n[services.a]\n", 2, tomlcheck.OutOfRange, "callers.max_header_bytes"},
		{"[callers]\nidle_timeout = '15'\n[services.a]\n", 2, tomlcheck.BadDuration, "callers.idle_timeout"},
		{"[services.a]\nhealth_path = 'health'\n", 2, tomlcheck.BadRoute, "services.a.health_path"},
		{"[services.a]\ntimeout = '10'\n", 2, tomlcheck.BadDuration, "services.a.timeout"},
		{"[services.a]\ntimeout = '0s'\n", 2, tomlcheck.OutOfRange, "services.a.timeout"},
		{"[services.a]\nresend_window = '999ms'\n", 2, tomlcheck.OutOfRange, "services.a.resend_window"},
		{"[services.a]\nresend_window = '61m'\n", 2, tomlcheck.OutOfRange, "services.a.resend_window"},
		{"[services.a]\nhome_region = ''\n", 2, tomlcheck.BadName, "services.a.home_region"},
		{"[services.a_b]\n", 1, tomlcheck.BadName, "services.a_b"},
		{"[services.a-]\n", 1, tomlcheck.BadName, "services.a-"},
		{"[services." + strings.Repeat("a", 64) + "]\n", 1, tomlcheck.BadName, "services." + strings.Repeat("a", 64)},
		{"[services.a]\ndepends_on = ['b']\n", 2, tomlcheck.UnknownDependency, "services.a.depends_on"},
		{"[services.b]\n[services.a]\ndepends_on = ['b', 'b']\n", 3, tomlcheck.Duplicate, "services.a.depends_on"},
		{"[services.a]\ndepends_on = ['a']\n", 2, tomlcheck.DependencyCycle, "services.a.depends_on"},
		{"[services.a]\n[services.a.limits]\nslots = 0\n", 3, tomlcheck.OutOfRange, "services.a.limits.slots"},
		{"[services.a]\nlimits.slots = 10001\nlimits.connections = 20000\n", 2, tomlcheck.OutOfRange, "services.a.limits.slots"},
		{"[services.a]\nlimits = { slots = 9, connections = 8 }\n", 2, tomlcheck.OutOfRange, "services.a.limits.connections"},
		{"[services.a]\nlimits.queue = -1\n", 2, tomlcheck.OutOfRange, "services.a.limits.queue"},
		{"[services.a]\nretry.budget_percent = 11\n", 2, tomlcheck.OutOfRange, "services.a.retry.budget_percent"},
		{"[services.a]\nretry.hedge_percent = 6\n", 2, tomlcheck.OutOfRange, "services.a.retry.hedge_percent"},
		{"[services.a]\nidempotent = [{ path_prefix = 'x' }]\n", 2, tomlcheck.BadRoute, "services.a.idempotent"},
		{"[services.a]\nidempotent = [{ method = 'post', path_prefix = '/' }]\n", 2, tomlcheck.BadRoute, "services.a.idempotent"},
		{"[measuring]\nregion_bytes_per_second = 499\n[services.a]\n", 2, tomlcheck.OutOfRange, "measuring.region_bytes_per_second"},
		{"[measuring]\nlink_bytes_per_second = 3750001\n[services.a]\n", 2, tomlcheck.OutOfRange, "measuring.link_bytes_per_second"},
		{"[services.a]\n#" + strings.Repeat("x", MaxTextBytes), 0, tomlcheck.OutOfRange, ""},
	}
	for _, c := range cases {
		_, err := Parse([]byte(c.text))
		var invalid *Error
		assert.Assert(t, errors.As(err, &invalid), "%.60q: %v", c.text, err)
		assert.Equal(t, len(invalid.Problems), 1, "%.60q: %v", c.text, err)
		found := invalid.Problems[0]
		assert.Assert(t, !strings.Contains(found.Message, "Text"), "names a Go type: %s", found.Message)
		assert.Equal(t, fmt.Sprint(found.Line, found.Kind, found.Key), fmt.Sprint(c.line, c.kind, c.key), "%.60q: %v", c.text, err)
	}
}

// Guards against validation that stops at the first problem or misses one of two separate cycles.
func TestParseReportsAllProblems(t *testing.T) {
	text := `[services.a]
depends_on = ["b", "gone"]
colour = "red"
[services.b]
depends_on = ["a"]
timeout = "soon"
[services.c]
depends_on = ["c"]
`
	_, err := Parse([]byte(text))
	var invalid *Error
	assert.Assert(t, errors.As(err, &invalid))
	var found []string
	for _, problem := range invalid.Problems {
		found = append(found, fmt.Sprint(problem.Line, " ", problem.Kind))
	}
	assert.DeepEqual(t, found, []string{"2 unknown-dependency", "2 dependency-cycle", "3 unknown-key", "6 bad-duration", "8 dependency-cycle"})
}

// Guards against an example file that the acacialock command would reject.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/services.toml")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 2)
	for _, file := range files {
		text, err := os.ReadFile(file)
		assert.NilError(t, err)
		list, err := Parse(text)
		assert.NilError(t, err, file)
		assert.Equal(t, len(list.Services), 2, file)
	}
}

// Guards against a panic on malicious input and against an accepted list with a value out of bounds.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[measuring]\nlink_bytes_per_second = 1\n[services.a]\ndepends_on = ['b']\ntimeout = '1s'\n[services.b]\n"))
	f.Add([]byte("[services.\"a\"]\n\"timeout\" = '1s'\n'x'.y.\"z\" = 1\n"))
	f.Add([]byte("[services]\na = { limits = { slots = 1 }, idempotent = [{ path_prefix = '/' }] }\n"))
	f.Add([]byte("[[services.a.idempotent]]\nmethod = 'POST'\npath_prefix = \"/\\u00e9\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Parse(text)
		if err != nil {
			var invalid *Error
			assert.Assert(t, errors.As(err, &invalid) && len(invalid.Problems) > 0)
			return
		}
		for name, service := range list.Services {
			assert.Assert(t, service.Name == name && service.Limits.Slots >= 1 && service.Limits.Connections >= service.Limits.Slots)
			assert.Assert(t, service.Timeout > 0 && service.ResendWindow >= MinResendWindow && service.ResendWindow <= MaxResendWindow)
			assert.Assert(t, service.Retry.BudgetPercent <= MaxBudgetPercent && service.Retry.HedgePercent <= MaxHedgePercent)
			for _, dependency := range service.DependsOn {
				assert.Assert(t, list.Services[dependency] != nil)
			}
		}
	})
}
