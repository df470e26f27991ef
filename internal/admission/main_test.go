package admission

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of property tests; -rapid.seed on the command line changes it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.nofailfile", "true")
	goleak.VerifyTestMain(m)
}
