package forward

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/telemetry"
)

// Guards against waiting until the request's own deadline for a connection to an unreachable node: the request then
// failed although no node had received it and another one could have served it.
func TestDialTimeoutBoundsAnyDial(t *testing.T) {
	transport := New(Config{
		DialTimeout: 20 * time.Millisecond,
		Metrics:     telemetry.New(),
		Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
	})
	defer transport.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:1/", nil)
	assert.NilError(t, err)
	_, sendStatus, err := transport.Generation("127.0.0.1:1").RoundTrip(request)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	assert.NilError(t, ctx.Err(), "the request's own deadline ended it")
	assert.Assert(t, !sendStatus.GotConn())
}
