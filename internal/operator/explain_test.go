package operator

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against output that includes lines of other requests, that is sorted by file instead of time, or that ends at
// a line that can't be parsed.
func TestExplain(t *testing.T) {
	dir := t.TempDir()
	entry := filepath.Join(dir, "entry.log")
	target := filepath.Join(dir, "target.log")
	assert.NilError(t, os.WriteFile(entry, []byte(
		`I1204 06:16:28.774552   18431 log.go:28] "request failed" request="r7" reason="queue-full"`+"\n"+
			"\x00\x01 cut in the midd\n"+
			`I1204 06:16:28.770000   18431 log.go:28] "request failed" request="r77" reason="other"`+"\n"+
			`I1204 06:16:29.000000   18431 log.go:28] "request failed" request="r7.a1" reason="inner"`+"\n"), 0o600))
	assert.NilError(t, os.WriteFile(target, []byte(
		`  12.3 node-1 I1204 06:16:28.773544   18431 log.go:14] "target side refused" request="r7" in_flight=9`+"\n"), 0o600))
	var stdout, stderr bytes.Buffer
	code := Main(context.Background(), []string{"explain", "r7", entry, target}, &stdout, &stderr, nil)
	assert.Equal(t, code, ExitOK, stderr.String())
	lines := strings.Split(strings.TrimSpace(stdout.String()), "\n")
	assert.Equal(t, len(lines), 4, stdout.String())
	assert.Assert(t, strings.Contains(lines[0], "target side refused") && strings.Contains(lines[0], "in_flight=9"))
	assert.Assert(t, strings.Contains(lines[1], "queue-full"))
	assert.Assert(t, strings.Contains(lines[2], `request="r7.a1"`), "calls made while the request runs are included")
	assert.Equal(t, lines[3], "1 lines can't be read and were skipped")
	assert.Equal(t, Main(context.Background(), []string{"explain", "r7", filepath.Join(dir, "none")}, &stdout, &stderr, nil), ExitBadInput)
}
