package attempt

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of property tests, which -rapid.seed on the command line changes, and fails on goroutines that
// are left over.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}
