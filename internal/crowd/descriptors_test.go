package crowd

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/testsite"
)

// processDescriptors is the limit on descriptors that the operating system enforces on the nodes of TestDescriptorsUnderTheirLimit.
const processDescriptors = 512

// Guards against crowds that take the descriptors that a node needs for its targets, other nodes and the store: callers without a
// byte, and callers whose requests are in progress.
func TestDescriptorsUnderTheirLimit(t *testing.T) {
	dir := t.TempDir()
	program, err := testsite.Build(dir)
	assert.NilError(t, err)
	limited := filepath.Join(dir, "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %q \"$@\"\n", processDescriptors, program)
	assert.NilError(t, os.WriteFile(limited, []byte(script), 0o700))
	s := startSiteOf(t, limited, "", nil)
	s.crowd(t, descriptorCrowdSize, func(net.Conn) error { return nil })
	s.check(t, processDescriptors-spareDescriptors)
	s.crowd(t, descriptorCrowdSize, sendText(http.MethodPost, "/buy/x", "Content-Length: 14\r\n\r\nfive "))
	s.crowd(t, descriptorCrowdSize, sendText(http.MethodPost, "/buy/x", "Transfer-Encoding: chunked\r\n\r\nff\r\nthe start"))
	s.check(t, processDescriptors-spareDescriptors)
}
