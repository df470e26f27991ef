package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/platformtest"
	"github.com/acacialock/acacialock/internal/timing"
)

// putLease writes a zone's lease row regardless of the row's current version.
func putLease(t *testing.T, table platform.Table, lease cluster.LeaseRow) {
	t.Helper()
	value, err := json.Marshal(lease)
	assert.NilError(t, err)
	key := cluster.LeaseKey(lease.Zone)
	stored, _ := table.Get(t.Context(), key) // an absent row has version 0
	_, err = table.Commit(t.Context(), []platform.Write{{Key: key, IfVersion: stored.Version, Value: value}})
	assert.NilError(t, err)
}

// renewLease renews a lease every 2 s until ctx is done. After inForceAfter the zone reports version 1.
func renewLease(ctx context.Context, t *testing.T, table platform.Table, lease cluster.LeaseRow, inForceAfter time.Duration) {
	start := time.Now()
	for ctx.Err() == nil {
		if time.Since(start) >= inForceAfter {
			lease.MinListVersion, lease.BehindIDs, lease.BehindCount = 1, nil, 0
		}
		lease.Renewals++
		putLease(t, table, lease)
		_ = timing.Sleep(ctx, 2*time.Second)
	}
}

// Guards against a wait that ends early, that reports a zone cut off from the store as merely behind, or that does not
// name the nodes behind. Runs on simulated time.
func TestAwaitInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := platformtest.NewMemory()
		var lines []string
		operator := &Operator{Table: memory, Objects: memory.Objects(), Progress: func(line string) { lines = append(lines, line) }}
		_, err := operator.Apply(t.Context(), listText(1), nil)
		assert.NilError(t, err)
		zones, err := operator.AwaitInForce(t.Context(), 1, time.Second)
		assert.Assert(t, err == nil && len(zones) == 0, "%v", err)

		ctx, cancel := context.WithCancel(t.Context())
		go renewLease(ctx, t, memory, cluster.LeaseRow{Zone: "sj-a", Nodes: 3}, 4*time.Second)
		go renewLease(ctx, t, memory, cluster.LeaseRow{Zone: "sj-b", Nodes: 2, BehindIDs: []string{"n1@1"}, BehindCount: 1}, time.Minute)
		putLease(t, memory, cluster.LeaseRow{Zone: "gc-a", Nodes: 4, Renewals: 7})
		_, err = memory.Commit(ctx, []platform.Write{{Key: cluster.MembersKey("gc-a"), Value: []byte("not a lease")}})
		assert.NilError(t, err)
		synctest.Wait()
		_, err = operator.AwaitInForce(ctx, 1, 30*time.Second)
		var pending *NotInForceError
		assert.Assert(t, errors.As(err, &pending), "%v", err)
		assert.Equal(t, ExitCode(err), ExitNotInForce)
		assert.Equal(t, len(pending.Zones), 2)
		assert.Assert(t, pending.Zones[0].Zone == "gc-a" && pending.Zones[0].Unreachable, "%v", err)
		assert.Assert(t, pending.Zones[1].Zone == "sj-b" && !pending.Zones[1].Unreachable, "%v", err)
		assert.ErrorContains(t, err, "1 nodes behind (n1@1)")
		assert.Equal(t, len(lines), 3, "one line for each change: %v", lines)

		putLease(t, memory, cluster.LeaseRow{Zone: "gc-a", Nodes: 4, Renewals: 8, MinListVersion: 1})
		zones, err = operator.AwaitInForce(ctx, 1, time.Minute)
		assert.NilError(t, err)
		assert.Equal(t, len(zones), 3)
		status, err := operator.Status(ctx, 12*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, status.List.Version, uint64(1))
		assert.DeepEqual(t, []bool{status.Zones[0].Unreachable, status.Zones[1].Unreachable}, []bool{true, false})
		cancel()
		synctest.Wait()
	})
}

// Guards against exit codes and output formats that differ from the documented ones.
func TestExitCodesAndOutput(t *testing.T) {
	server, addr := startPlatform(t)
	t.Setenv("ACACIALOCK_PLATFORM", addr)
	writeFile := func(text []byte) string {
		path := filepath.Join(t.TempDir(), "services.toml")
		assert.NilError(t, os.WriteFile(path, text, 0o600))
		return path
	}
	good, other, bad := writeFile(listText(1)), writeFile(listText(2)), writeFile([]byte("[services.A]\n"))
	cases := []struct {
		args string
		code int
		want string // part of stdout
	}{
		{"--help", ExitOK, "Exit codes:"},
		{"--version", ExitOK, "acacialock "},
		{"", ExitBadInput, ""},
		{"replace " + good, ExitBadInput, ""},
		{"--platform nowhere get", ExitBadInput, ""},
		{"apply " + good + " --wait -1s", ExitBadInput, ""},
		{"check " + bad + " --output json", ExitBadInput, `"kind": "unknown-key"`},
		{"check " + bad + "x", ExitBadInput, ""},
		{"apply " + bad, ExitBadInput, ""},
		{"get", ExitFailed, ""},
		{"check " + good, ExitOK, "1 services"},
		{"apply " + good + " --expect 0", ExitOK, "version 1"},
		{"apply " + good + " --expect 0 --output json", ExitOK, `"unchanged": true`},
		{"apply " + other + " --expect 0 --output json", ExitConflict, `"kind": "conflict"`},
		{"diff " + other, ExitOK, "+timeout = \"1002ms\""},
		{"get", ExitOK, string(listText(1))},
		{"get --version 1", ExitOK, string(listText(1))},
		{"history --output json", ExitOK, `"version": 1`},
		{"status", ExitOK, "service list version 1"},
	}
	run := func(args string) (int, string) {
		var stdout, stderr bytes.Buffer
		code := Main(t.Context(), strings.Fields(args), &stdout, &stderr, nil)
		assert.Equal(t, code != ExitOK, strings.Contains(stderr.String(), "error: "), "%s: %s", args, stderr.String())
		return code, stdout.String()
	}
	for _, c := range cases {
		code, stdout := run(c.args)
		assert.Equal(t, code, c.code, "%s: %s", c.args, stdout)
		assert.Assert(t, strings.Contains(stdout, c.want), "%s: %s", c.args, stdout)
	}
	client := newOperator(t, addr, "", time.Minute)
	putLease(t, client.Table, cluster.LeaseRow{Zone: "sj-a", Nodes: 1, BehindIDs: []string{"n1@1"}, BehindCount: 1})
	code, stdout := run("apply " + other + " --wait 0s --output json")
	assert.Equal(t, code, ExitNotInForce, stdout)
	assert.Assert(t, strings.Contains(stdout, `"n1@1"`), stdout)
	server.SetFaults(platformtest.Faults{Down: true})
	code, _ = run("get --timeout 200ms")
	assert.Equal(t, code, ExitUnavailable)
}

// Guards against a diff that does not transform the old text into the new one.
func TestDiffLinesReconstructBothTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "\n"})
		before := rapid.SliceOfN(line, 0, 30).Draw(t, "before")
		after := rapid.SliceOfN(line, 0, 30).Draw(t, "after")
		var old, changed []string
		for _, line := range diffLines(before, after) {
			if line.mark != '+' {
				old = append(old, line.text)
			}
			if line.mark != '-' {
				changed = append(changed, line.text)
			}
		}
		assert.Equal(t, strings.Join(old, ""), strings.Join(before, ""))
		assert.Equal(t, strings.Join(changed, ""), strings.Join(after, ""))
		text := Diff([]byte(strings.Join(before, "")), []byte(strings.Join(after, "")))
		assert.Equal(t, text == "", strings.Join(before, "") == strings.Join(after, ""))
	})
}
