package operator

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/listcheck"
)

// checkedList is a list with a finding of each kind that needs no platform, besides a hidden rule, which the form rejects.
const checkedList = `[callers]
max_header_bytes = 100

[services.shop]
[services.stock]

[[rules]]
name = "browse"
host = "shop.example"
prefix = "/"
split = [{ service = "shop", weight = 1 }]

[[rules]]
name = "buy"
host = "shop.example:80"
prefix = "/buy/"
timeout = "1s"
target_latency = "2s"
allowed_regions = ["north"]
split = [
  { service = "shop", weight = 1 },
  { service = "stock", weight = 0 },
]

[[tenants]]
name = "mill"
keys = ["secret-1", "secret-1"]
rate = 10
burst = 2
allowed_regions = ["south"]

[[tenants]]
name = "plant"
burst = 3
`

// runCheck writes a list to a file and runs check on it. "FILE" stands for the path of the file in its standard output.
func runCheck(t *testing.T, text string, args ...string) (int, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "list.toml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	var stdout, stderr strings.Builder
	code := Main(context.Background(), append([]string{"check", path}, args...), &stdout, &stderr, nil)
	assert.Assert(t, !strings.Contains(stdout.String()+stderr.String(), "secret"), "an API key is printed")
	return code, strings.ReplaceAll(stdout.String(), path, "FILE")
}

// Guards against a finding that is missed or names another place, in particular another element of an array.
func TestCheckOfServiceList(t *testing.T) {
	code, output := runCheck(t, checkedList)
	assert.Equal(t, code, ExitFindings)
	assert.Equal(t, output, `FILE: valid, 2 services, 2 rules, 2 tenants
entries without effect:
  line 5: service "stock": no rule leads to the service (unused-service)
  line 15: rule "buy": host: no request has the host "shop.example:80": it must be a name or an address without a port (impossible-host)
  line 22: rule "buy": split[1]: service "stock" has the weight 0 and gets no requests (zero-weight)
  line 27: tenant "mill": keys: a key occurs twice (repeated-key)
  line 30: tenant "mill": allowed_regions: the tenant's requests for rules buy are always refused: no region is allowed by both (disjoint-regions)
  line 32: tenant "plant": the tenant has no key, so that no request is served as its own (tenant-without-key)
limits that contradict each other:
  line 2: callers: max_header_bytes: a header of 100 bytes is below the 285 bytes that nodes add to a request: a target that passes them on in its calls is refused (small-header-limit)
  line 18: rule "buy": target_latency: the time to the full value, 2s, is above the timeout of 1s (target-latency-above-timeout)
  line 29: tenant "mill": burst: burst 2 is below the requests of one second at rate 10: requests that come unevenly within a second are refused before the rate is reached (burst-below-rate)
  line 34: tenant "plant": burst: burst 3 has no effect: without a rate there is no limit (burst-without-rate)
`)
}

// Guards against errors that name another entry of the same table, and against a change of the exit codes and of the JSON form
// of an invalid list, on which scripts rely.
func TestCheckOfInvalidServiceList(t *testing.T) {
	text := strings.NewReplacer(`"2s"`, `"2"`, `"stock", weight = 0`, `"gone", weight = -1`, `"plant"`, `"mill"`, `rate = 10`, `rate = -1`).Replace(checkedList)
	code, output := runCheck(t, text, "--json")
	assert.Equal(t, code, ExitBadInput)
	var result struct {
		Valid bool
		Error struct {
			Kind   string
			Detail []listcheck.Finding
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(output), &result))
	assert.Equal(t, result.Error.Kind, "bad-list")
	var lines []string
	for _, finding := range result.Error.Detail {
		lines = append(lines, finding.Key+" "+finding.String())
	}
	assert.Equal(t, strings.Join(lines, "\n"), `rules[1].target_latency line 18: rule "buy": target_latency: "2" is not a duration with a unit, such as "10s" or "500ms" (bad-duration)
rules[1].split line 20: rule "buy": split: rule "buy" has no service with a weight above 0 (missing)
rules[1].split[1] line 22: rule "buy": split[1]: service "gone" of rule "buy" is not in the list (unknown-dependency)
rules[1].split[1].weight line 22: rule "buy": split[1].weight: -1 is out of range: must be 0 to 1000 (out-of-range)
tenants[0].rate line 28: tenant "mill": rate: rate -1 of tenant "mill" is out of range: must be 0 to 1e+09 (out-of-range)
tenants[1].name line 33: tenant "mill": name: the tenant "mill" occurs twice (bad-name)`)

	var stdout, stderr strings.Builder
	assert.Equal(t, Main(context.Background(), []string{"check", filepath.Join(t.TempDir(), "none")}, &stdout, &stderr, nil), ExitBadInput)
	code, output = runCheck(t, string(listText(1)))
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, output, "FILE: valid, 1 services, 0 rules, 0 tenants\n")
	code, _ = runCheck(t, string(listText(1)), "--grace", "-1s")
	assert.Equal(t, code, ExitBadInput)
}

// Guards against a comparison that makes a version, fails without one, or counts differences as findings.
func TestCheckComparesWithAcceptedList(t *testing.T) {
	_, addr := startPlatform(t)
	code, output := runCheck(t, string(listText(1)), "--platform", addr)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(output, "differences from version 0:\n  added service \"storefront\""), output)
	operator := newOperator(t, addr, "rosa", time.Minute)
	_, err := operator.Apply(t.Context(), listText(1), nil)
	assert.NilError(t, err)
	code, output = runCheck(t, string(listText(2)), "--platform", addr)
	assert.Equal(t, code, ExitOK)
	assert.Equal(t, output, `FILE: valid, 1 services, 0 rules, 0 tenants
differences from version 1:
  changed service "storefront" (new requests; callers: storefront; services: storefront)
    timeout: 1.001s -> 1.002s (new requests)
`)
	_, output = runCheck(t, string(listText(1)), "--platform="+addr)
	assert.Assert(t, strings.HasSuffix(output, "no difference from version 1\n"), output)
	history, err := operator.History(t.Context(), 10)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 1)
}

// Guards against a panic and against a valid list of which no finding has a line, for any input.
func FuzzCheck(f *testing.F) {
	for _, seed := range []string{checkedList, string(listText(1)), "[[rules]]\n[rules.split]\n", "[[tenants]]\nkeys = 1", "rules = [[{}], {split = [{}]}]", "[[rules]]\n[[rules.split]]\nweight=1\n[[rules]]\nNAME=''"} {
		f.Add([]byte(seed))
	}
	before := readServiceList([]byte(checkedList)).List
	f.Fuzz(func(t *testing.T, text []byte) {
		configuration := readServiceList(text)
		findings := listcheck.Analyze(configuration, listcheck.Facts{})
		assert.Assert(t, configuration.List != nil || len(findings) > 0)
		for _, finding := range findings {
			assert.Assert(t, finding.Message != "" && (configuration.List == nil || finding.Line > 0 || finding.Entry == "callers"), "%v", finding)
		}
		assert.Equal(t, len(listcheck.Compare(configuration.List, configuration.List)), 0)
		listcheck.Compare(before, configuration.List)
	})
}
