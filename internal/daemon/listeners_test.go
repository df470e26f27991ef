package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

// Guards against relayed calls that are held outside of the memory that callers may use, and against a refusal that says of an
// earlier call with the same key that it has not run.
func TestRelayedCallsAreCounted(t *testing.T) {
	d := &Daemon{memory: callermem.NewAccount(1), metrics: telemetry.New()}
	recorder := httptest.NewRecorder()
	d.serveRelay(recorder, httptest.NewRequest(http.MethodPost, wire.RelayPath+"/", nil)) // would panic without an entry handler
	assert.Equal(t, recorder.Header().Get(wire.Reason), string(failure.CallerMemoryFull))
	assert.Equal(t, recorder.Header().Get(wire.Outcome), string(failure.Unknown))
	assert.Equal(t, d.memory.Total(), int64(0))
}
