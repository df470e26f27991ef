package testnet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two listeners of one node that get the same address.
func TestFreeAddrsDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		addr, err := FreeAddr()
		assert.NilError(t, err)
		assert.Assert(t, !seen[addr], addr)
		seen[addr] = true
	}
}
