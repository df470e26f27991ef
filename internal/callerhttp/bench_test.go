package callerhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/framing"
)

// BenchmarkRequest measures one request on a kept connection with an answer of 2 KB, on this server and on net/http with the
// inspecting listener that served callers before.
func BenchmarkRequest(b *testing.B) {
	body := []byte(strings.Repeat("x", 2000))
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header()["Content-Length"] = []string{"2000"}
		w.Header()["Content-Type"] = []string{"text/plain"}
		_, _ = w.Write(body)
	})
	limits := func() framing.Limits {
		return framing.Limits{MaxHeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	}
	for _, name := range []string{"callerhttp", "net/http"} {
		b.Run(name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			var server interface {
				Serve(net.Listener) error
				Close() error
			} = New(Config{Handler: handler, Limits: limits, MayOverlap: func(*http.Request) bool { return true }})
			if name == "net/http" {
				listener = framing.NewLimitedListener(listener, limits)
				server = &http.Server{
					Handler:     framing.Handler(handler, nil),
					ConnContext: framing.ConnContext, ConnState: framing.ConnState, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute,
				}
			}
			go func() { _ = server.Serve(listener) }()
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(b, err)
			defer conn.Close()
			reader := bufio.NewReaderSize(conn, 8<<10)
			request := "GET /titles?q=a HTTP/1.1\r\nHost: orders.example\r\nUser-Agent: bench\r\nAccept: */*\r\n" +
				"Acacialock-Request-Id: 0123456789\r\nAcacialock-Deadline-Ms: 1500\r\n\r\n"
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(conn, request)
				assert.NilError(b, err)
				size := 2000
				for {
					line, err := reader.ReadSlice('\n')
					assert.NilError(b, err)
					if len(line) == 2 {
						break
					}
				}
				_, err = reader.Discard(size)
				assert.NilError(b, err)
			}
		})
	}
}
