package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/framing"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/serving"
)

// Guards against pipelined requests of an idempotent rule that wait for each other, and against one of another rule that runs
// beside others although its method is GET.
func TestPipelinedRequests(t *testing.T) {
	rule := func(name, prefix string, idempotent bool) *servicelist.Rule {
		return &servicelist.Rule{
			Name: name, Host: "orders", Prefix: prefix, Idempotent: idempotent, Timeout: 5 * time.Second, MaxAttempts: 1,
			Split: []servicelist.Share{{Service: "orders", Weight: 1}},
		}
	}
	var mu sync.Mutex
	inProgress := map[string]bool{}
	together := make(chan struct{})
	f := newFixtureWithRules(t, []string{"r"}, []*servicelist.Rule{rule("search", "/search/", true), rule("buy", "/buy/", false)},
		func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			inProgress[r.URL.Path] = true
			if strings.HasPrefix(r.URL.Path, "/buy/") && len(inProgress) > 1 {
				t.Errorf("%s runs beside others", r.URL.Path)
			}
			if inProgress["/search/0"] && inProgress["/search/1"] && inProgress["/search/2"] {
				close(together)
			}
			mu.Unlock()
			if strings.HasPrefix(r.URL.Path, "/search/") {
				select {
				case <-together:
				case <-r.Context().Done():
				}
			}
			mu.Lock()
			delete(inProgress, r.URL.Path)
			mu.Unlock()
			fmt.Fprint(w, r.URL.Path)
		})
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := socket.Addr().String()
	assert.NilError(t, socket.Close())
	servers, err := serving.Open(func() { t.Error("a handler panicked") }, serving.Listener{
		Name: "entry", Addr: addr, Handler: framing.Handler(f.handler, f.handler.RefuseHeader),
		Limits: f.handler.CallerLimits, MayOverlap: f.handler.MayOverlap,
	})
	assert.NilError(t, err)
	t.Cleanup(servers.Close)
	go func() { _ = servers.Parts()[0](t.Context()) }()

	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	paths := []string{"/search/0", "/search/1", "/search/2", "/buy/3", "/buy/4"}
	for _, path := range paths {
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: orders\r\n\r\n", path)
		assert.NilError(t, err)
	}
	reader := bufio.NewReader(conn)
	for _, path := range paths {
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), path)
	}
}
