package testnet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an address that is returned twice, which gives two listeners of a node the same port.
func TestFreeAddrsDiffer(t *testing.T) {
	seen := map[string]bool{}
	for range 2000 {
		addr, err := FreeAddr()
		assert.NilError(t, err)
		assert.Assert(t, !seen[addr], addr)
		seen[addr] = true
	}
}
