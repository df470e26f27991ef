package serving

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
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
	_, err = Open(func() {}, Listener{Name: "a", Addr: addr, Handler: http.NotFoundHandler()},
		Listener{Name: "b", Addr: taken.Addr().String(), Handler: http.NotFoundHandler()})
	assert.ErrorContains(t, err, "open the b listener")
	again, err := net.Listen("tcp", addr)
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}

// Guards against a panic of a handler that ends the process or other requests, is not counted, or lets a partial response
// look complete; an abort on purpose is not counted.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	var panics atomic.Int64
	servers, err := Open(func() { panics.Add(1) }, Listener{Name: "a", Addr: "127.0.0.1:0",
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch r.URL.Path {
			case "/panic":
				_, _ = w.Write(make([]byte, 64<<10)) // more than the server buffers
				panic("unexpected message")
			case "/abort":
				panic(http.ErrAbortHandler)
			}
		})})
	assert.NilError(t, err)
	defer servers.Close()
	for _, part := range servers.Parts() {
		go func() { _ = part(context.Background()) }()
	}
	url := "http://" + servers.all[0].socket.Addr().String()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	get := func(path string) error {
		response, err := client.Get(url + path)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	assert.Assert(t, get("/abort") != nil)
	assert.Equal(t, panics.Load(), int64(0))
	assert.Assert(t, get("/panic") != nil)
	assert.Equal(t, panics.Load(), int64(1))
	assert.NilError(t, get("/"))
}
