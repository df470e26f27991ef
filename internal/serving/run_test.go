package serving

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a failed part that is not reported or is followed by a drain, and against a drain after the parts have
// ended.
func TestRunOrder(t *testing.T) {
	for name, c := range map[string]struct {
		part, drain error
		want        []string
	}{
		"drained":     {want: []string{"drain", "close", "part ended"}},
		"drain fails": {drain: errors.New("in flight"), want: []string{"drain", "close", "part ended"}},
		"part fails":  {part: errors.New("broken"), want: []string{"close"}},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var order []string
			closed := make(chan struct{})
			part := func(partCtx context.Context) error {
				if c.part != nil {
					return c.part
				}
				cancel()
				<-partCtx.Done()
				<-closed
				order = append(order, "part ended")
				return nil
			}
			err := Run(ctx, []Part{part, Infallible(func(partCtx context.Context) { <-partCtx.Done() })},
				func() error { order = append(order, "drain"); return c.drain },
				func() { order = append(order, "close"); close(closed) })
			assert.Equal(t, err, cmp.Or(c.part, c.drain))
			assert.DeepEqual(t, order, c.want)
		})
	}
}

// Guards against listeners that stay open when a later one can't be opened.
func TestOpenClosesListenersOnFailure(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := free.Addr().String()
	assert.NilError(t, free.Close())
	_, err = Open(Listener{Name: "a", Addr: addr, Handler: http.NotFoundHandler()},
		Listener{Name: "b", Addr: taken.Addr().String(), Handler: http.NotFoundHandler()})
	assert.ErrorContains(t, err, "open the b listener")
	again, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}
