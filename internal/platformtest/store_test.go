package platformtest

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acacialock/acacialock/internal/platform"
)

// TestMain sets a fixed seed for the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid registers the flag when it is imported
	os.Exit(m.Run())
}

// Guards against commits that are applied in part, versions that repeat after a delete, and a write ID that is decided
// twice or retained for too long.
func TestStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		store := newStore()
		store.now = func() time.Time { return now }
		model := map[string]platform.Row{}
		highest := map[string]uint64{}
		decided := map[string]decision{}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			writes := drawWrites(t, model)
			id := fmt.Sprint("id", rapid.IntRange(0, step).Draw(t, "write id"))
			got, repeated := store.commit(id, writes)
			before, known := decided[id]
			assert.Equal(t, repeated, known)
			if known {
				assert.DeepEqual(t, got.versions, before.versions)
				assert.DeepEqual(t, got.conflict, before.conflict)
				continue
			}
			decided[id] = got
			holds := true
			for _, write := range writes {
				holds = holds && model[write.Key].Version == write.IfVersion
			}
			assert.Equal(t, len(got.conflict) == 0, holds)
			if holds {
				applyToModel(t, model, highest, writes, got.versions)
			}
			rows := store.scanRows("")
			assert.Equal(t, len(rows), len(model))
			for _, row := range rows {
				assert.DeepEqual(t, row, model[row.Key])
			}
		}
		now = now.Add(platform.WriteIDRetention + time.Second)
		store.commit("later", []platform.Write{{Key: "z"}})
		assert.Equal(t, len(store.decisions), 1)
	})
}

func drawWrites(t *rapid.T, model map[string]platform.Row) []platform.Write {
	keys := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 3, rapid.ID).Draw(t, "keys")
	writes := make([]platform.Write, len(keys))
	for i, key := range keys {
		version := model[key].Version
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			version += uint64(rapid.IntRange(1, 2).Draw(t, "too high"))
		}
		writes[i] = platform.Write{Key: key, IfVersion: version, Delete: rapid.Bool().Draw(t, "delete")}
		if !writes[i].Delete {
			writes[i].Value = []byte(rapid.StringN(0, 3, 8).Draw(t, "value"))
		}
	}
	return writes
}

func applyToModel(t *rapid.T, model map[string]platform.Row, highest map[string]uint64, writes []platform.Write, versions []uint64) {
	for i, write := range writes {
		if write.Delete {
			assert.Equal(t, versions[i], uint64(0))
			delete(model, write.Key)
			continue
		}
		assert.Assert(t, versions[i] > highest[write.Key], "version repeats")
		highest[write.Key] = versions[i]
		model[write.Key] = platform.Row{Key: write.Key, Version: versions[i], Value: write.Value}
	}
}

// Guards against faults that can't be set from another process, and against a misspelt field that is silently ignored.
func TestAdminSetsFaults(t *testing.T) {
	server := New()
	addr, err := server.Start("127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	admin := NewAdminClient(addr)
	want := Faults{Down: true, DelayMS: 5, LoseResponses: 2, ReadsPerSecond: 7}
	assert.NilError(t, admin.SetFaults(t.Context(), want))
	assert.Equal(t, server.Faults(), want)
	var refused *AdminError
	misspelt := admin.do(t.Context(), http.MethodPut, "/admin/faults", []byte(`{"downn": true}`), nil)
	assert.Assert(t, errors.As(misspelt, &refused))
	got, err := admin.Faults(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	assert.NilError(t, admin.SilenceConnections(t.Context()))
	assert.Assert(t, server.faults.firstLiveConn.Load() > 1)
}
