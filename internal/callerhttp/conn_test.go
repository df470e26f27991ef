package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/callermem"
	"github.com/acacialock/acacialock/internal/framing"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

// faultStatus are the statuses with which the test servers refuse faulty heads.
var faultStatus = map[framing.Fault]int{
	framing.ConflictingLengths: 400, framing.MalformedHeader: 400, framing.HeaderTooLarge: 431,
	framing.UnknownEncoding: 501, framing.UnknownExpectation: 417, framing.NoMemory: 503,
}

// startServer serves handler with the limits of testBounds. Requests may overlap unless their path begins with /once.
func startServer(t *testing.T, bounds Bounds, handler http.HandlerFunc) (server *Server, addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server = New(Config{
		Handler: handler, Bounds: bounds,
		Refuse: func(w http.ResponseWriter, _ *http.Request, fault framing.Fault) { w.WriteHeader(faultStatus[fault]) },
		Limits: func() framing.Limits {
			return framing.Limits{MaxHeaderBytes: 1000, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}
		},
		MayOverlap: func(r *http.Request) bool { return !strings.HasPrefix(r.URL.Path, "/once") },
	})
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return server, listener.Addr().String()
}

// dial connects to addr.
func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn, bufio.NewReader(conn)
}

func write(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

// get returns a request without a body.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

// readAnswer returns the status and the body of the next final answer, or status 0 if the connection ends before it or in it.
func readAnswer(reader *bufio.Reader, method string) (status int, body string, answer *http.Response) {
	answer, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return 0, "", nil
	}
	defer answer.Body.Close()
	if answer.StatusCode < 200 {
		return readAnswer(reader, method)
	}
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, "", nil
	}
	return answer.StatusCode, string(text), answer
}

// gate holds handlers back until they are released.
type gate struct {
	mu       sync.Mutex
	released map[string]chan struct{}
	started  chan string
}

func newGate() *gate {
	return &gate{released: map[string]chan struct{}{}, started: make(chan string, 100)}
}

func (g *gate) of(path string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.released[path] == nil {
		g.released[path] = make(chan struct{})
	}
	return g.released[path]
}

// pass waits until the request's path is released. It returns false if the request is cancelled first.
func (g *gate) pass(r *http.Request) bool {
	g.started <- r.URL.Path
	select {
	case <-g.of(r.URL.Path):
		return true
	case <-r.Context().Done():
		return false
	}
}

func (g *gate) release(path string) { close(g.of(path)) }

// awaitStarted waits for count requests to start.
func (g *gate) awaitStarted(t *testing.T, count int) {
	t.Helper()
	for range count {
		select {
		case <-g.started:
		case <-time.After(testTimeout):
			t.Fatal("a request was not started")
		}
	}
}

// Guards against requests that wait for those ahead of them on their connection although they may be repeated, and against
// answers in another order than the requests, however they finish and however long they are.
func TestAnswersKeepTheOrderOfRequests(t *testing.T) {
	const rounds = 20
	random := rand.New(rand.NewPCG(39, 6))
	g := newGate()
	server, addr := startServer(t, Bounds{}, func(w http.ResponseWriter, r *http.Request) {
		size, _ := strconv.Atoi(r.URL.Query().Get("size"))
		if r.URL.Query().Get("sized") == "true" {
			w.Header().Set("Content-Length", strconv.Itoa(size+len(r.URL.Path)))
		}
		_, _ = io.WriteString(w, r.URL.Path)
		if r.URL.Query().Get("flush") == "true" {
			_ = http.NewResponseController(w).Flush()
		}
		g.pass(r)
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	conn, reader := dial(t, addr)
	for round := range rounds {
		sizes := make([]int, maxOverlapping)
		var requests strings.Builder
		for i := range sizes {
			sizes[i] = []int{0, 100, 5000, 30 << 10, 300 << 10}[random.IntN(5)]
			requests.WriteString(get(fmt.Sprintf("/%d-%d?size=%d&sized=%v&flush=%v", round, i, sizes[i], random.IntN(2) == 0, random.IntN(2) == 0)))
		}
		write(t, conn, requests.String())
		g.awaitStarted(t, maxOverlapping)
		order := random.Perm(maxOverlapping)
		go func() {
			for _, i := range order {
				g.release(fmt.Sprintf("/%d-%d", round, i))
			}
		}()
		for i, size := range sizes {
			status, body, _ := readAnswer(reader, http.MethodGet)
			want := fmt.Sprintf("/%d-%d", round, i) + strings.Repeat("x", size)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, body == want, "round %d, request %d: %d bytes, want %d", round, i, len(body), len(want))
		}
	}
	server.requireNothingHeld(t)
}

// mixed is a sequence of requests of all kinds. Each path that begins with /once must run alone.
var mixed = []struct{ method, request, body string }{
	{"GET", get("/a"), "/a"},
	{"HEAD", "HEAD /b HTTP/1.1\r\nHost: x\r\n\r\n", ""},
	{"POST", "POST /once/c HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", "/once/cabc"},
	{"GET", "\r\n" + get("/d"), "/d"},
	{"POST", "POST /once/e HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n" +
		"2;x=y\r\nab\r\n1\r\nc\r\n0\r\nA: GET /once/no HTTP/1.1\r\n\r\n", "/once/eabc"},
	{"GET", get("/once/f"), "/once/f"},
	{"GET", get("/g"), "/g"},
	{"PUT", "PUT /once/h HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab", "/once/hab"},
	{"POST", "POST /once/i HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", "/once/i"},
	{"POST", "POST /once/unread HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", ""},
	{"GET", "GET /once/j HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nz", "/once/jz"},
	{"GET", get("/k"), "/k"},
	{"GET", "GET /once/l HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", "/once/l"},
	{"GET", get("/once/never"), "-"},
}

// Guards against a request that runs beside one that must run alone, a body that is taken for a request or loses bytes, and a
// request behind one that closes the connection, however the bytes are split.
func TestMixedRequestsSplitAnywhere(t *testing.T) {
	var running, failures atomic.Int64
	_, addr := startServer(t, Bounds{}, func(w http.ResponseWriter, r *http.Request) {
		beside := running.Add(1)
		defer running.Add(-1)
		if alone := strings.HasPrefix(r.URL.Path, "/once"); alone && beside > 1 || strings.HasSuffix(r.URL.Path, "never") {
			failures.Add(1)
		}
		if strings.HasSuffix(r.URL.Path, "unread") {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			failures.Add(1)
		}
		fmt.Fprintf(w, "%s%s", r.URL.Path, body)
	})
	var all strings.Builder
	for _, part := range mixed {
		all.WriteString(part.request)
	}
	text := all.String()
	exchange := func(parts ...string) {
		conn, reader := dial(t, addr)
		defer conn.Close()
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			for _, part := range parts {
				_, _ = io.WriteString(conn, part) // fails after the connection is closed
				time.Sleep(time.Duration(min(1, len(parts)-1)) * 100 * time.Microsecond)
			}
		}()
		for _, part := range mixed {
			_, body, _ := readAnswer(reader, part.method)
			if part.body == "-" {
				_, err := reader.ReadByte()
				assert.Assert(t, err != nil, "the connection is closed")
				break
			}
			assert.Equal(t, body, part.body, "%s, sent in %d parts, the first of %d bytes", part.request, len(parts), len(parts[0]))
		}
		<-sent
	}
	exchange(text)
	exchange(strings.Split(text, "")...)
	for i := range text {
		exchange(text[:i], text[i:])
	}
	assert.Equal(t, failures.Load(), int64(0))
}

// Guards against a faulty head that is served because it was sent behind a valid request in one write, and against a request
// behind it that is served.
func TestMalformedHeadsBehindARequest(t *testing.T) {
	var served atomic.Int64
	_, addr := startServer(t, Bounds{HeaderLines: testBounds.lines}, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	for head, fault := range malformedHeads {
		served.Store(0)
		conn, reader := dial(t, addr)
		write(t, conn, get("/")+head+"0\r\n\r\n"+get("/smuggled"))
		for _, want := range []int{200, faultStatus[fault], 0} {
			status, _, _ := readAnswer(reader, http.MethodGet)
			assert.Check(t, status == want, "%q: status %d, want %d", head, status, want)
		}
		assert.Check(t, served.Load() == 1, "%q: %d requests were served", head, served.Load())
		_ = conn.Close()
	}
}

// Guards against answers that are written behind one that ends the connection, against work that goes on for requests that
// can't be answered any more, and against answers ahead of the end that get lost.
func TestAbortedAnswerEndsTheConnection(t *testing.T) {
	const requests = 5
	for aborted := range requests {
		g := newGate()
		var cancelled atomic.Int64
		_, addr := startServer(t, Bounds{}, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "12345")
			if !g.pass(r) {
				cancelled.Add(1)
			}
			if r.URL.Path == fmt.Sprint("/", aborted) {
				panic(http.ErrAbortHandler)
			}
			_, _ = io.WriteString(w, "67890")
		})
		conn, reader := dial(t, addr)
		for i := range requests {
			write(t, conn, get(fmt.Sprint("/", i)))
		}
		g.awaitStarted(t, requests)
		g.release(fmt.Sprint("/", aborted))
		for end := time.Now().Add(testTimeout); cancelled.Load() < int64(requests-1-aborted); time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "%d requests were cancelled while those ahead run", cancelled.Load())
		}
		for i := range aborted {
			g.release(fmt.Sprint("/", i))
		}
		for range aborted {
			status, body, _ := readAnswer(reader, http.MethodGet)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, body, "1234567890")
		}
		rest, err := io.ReadAll(reader)
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(rest), "67890"), "%q", rest)
	}
}

// Guards against work for a caller that has closed its connection, or half of it: all its requests are cancelled, also while
// another one waits for its turn.
func TestCallerThatLeavesCancelsItsRequests(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { _ = c.Close() },
		"half-close": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
	} {
		for _, last := range []string{"", get("/once"), "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabc", "GET / HT"} {
			var wait sync.WaitGroup
			started := make(chan struct{}, 10)
			_, addr := startServer(t, Bounds{}, func(_ http.ResponseWriter, r *http.Request) {
				defer wait.Done()
				started <- struct{}{}
				<-r.Context().Done()
			})
			conn, _ := dial(t, addr)
			wait.Add(3)
			write(t, conn, strings.Repeat(get("/"), 3)+last)
			for range 3 {
				<-started
			}
			leave(conn.(*net.TCPConn))
			wait.Wait()
			assert.Equal(t, len(started), 0, "%s %q: another request was started", name, last)
		}
	}
}

// Guards against a request that is dropped unread although it arrived before the idle timeout, because the process did not run then:
// replays a machine that freezes while a request arrives.
func TestRequestThatArrivedBeforeTheIdleTimeout(t *testing.T) {
	server := New(Config{Limits: func() framing.Limits { return framing.Limits{} }})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	caller, _ := dial(t, listener.Addr().String())
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer accepted.Close()
	write(t, caller, get("/"))
	c := newConn(server, accepted, time.Now())
	assert.NilError(t, c.awaitData())
	c.start = c.end
	write(t, caller, get("/next"))
	var peeked [1]byte
	assert.NilError(t, c.raw.Read(func(fd uintptr) bool { // waits until the request has arrived
		n, _, _ := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK)
		return n > 0
	}))
	c.idleUntil = longPast
	assert.NilError(t, c.awaitData())
	assert.Equal(t, string(c.buffer[c.start:c.end]), get("/next"))
	c.start = c.end
	assert.ErrorIs(t, c.awaitData(), errExpired)
}

// Guards against work for a caller that has left after it exceeded the time limit of a head behind a request in progress.
func TestCallerThatLeavesAfterATimeLimit(t *testing.T) {
	limits := framing.Limits{HeaderTimeout: time.Millisecond, IdleTimeout: testTimeout}
	started, cancelled := make(chan struct{}), make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := New(Config{
		Limits: func() framing.Limits { return limits },
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			close(started)
			<-r.Context().Done()
			close(cancelled)
		}),
	})
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	conn, _ := dial(t, listener.Addr().String())
	write(t, conn, get("/"))
	<-started
	write(t, conn, "GET / HT")
	conns, _ := server.holdings()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		conns[0].mu.Lock()
		closing := conns[0].closing
		conns[0].mu.Unlock()
		if closing {
			break
		}
		assert.Assert(t, time.Now().Before(end), "the time limit has not ended the connection")
	}
	_ = conn.Close()
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the request was not cancelled")
	}
}

// awaitHeldBack waits until a request waits for its turn.
func (s *Server) awaitHeldBack(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		conns, _ := s.holdings()
		for _, c := range conns {
			c.mu.Lock()
			held := c.heldBack != nil
			c.mu.Unlock()
			if held {
				return
			}
		}
		assert.Assert(t, time.Now().Before(end), "no request waits for its turn")
	}
}

// Guards against requests in progress that are lost when their connection is to be closed: the last of those that run says so,
// and none is started after that.
func TestClosingLeavesTheLastAnswerToSayIt(t *testing.T) {
	var draining atomic.Bool
	g := newGate()
	server, addr := startServer(t, Bounds{}, framing.CloseConnectionsWhile(&draining, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		g.pass(r)
	})).ServeHTTP)
	conn, reader := dial(t, addr)
	write(t, conn, get("/0")+get("/1"))
	g.awaitStarted(t, 2)
	draining.Store(true)
	write(t, conn, get("/2")+get("/3"))
	g.awaitStarted(t, 2)
	for _, i := range []int{0, 2, 1} {
		g.release(fmt.Sprint("/", i))
	}
	for i := range 3 {
		status, _, answer := readAnswer(reader, http.MethodGet)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, !answer.Close, "answer %d", i)
	}
	write(t, conn, get("/4"))
	server.awaitHeldBack(t)
	g.release("/3")
	status, _, answer := readAnswer(reader, http.MethodGet)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, answer.Close)
	_, err := reader.ReadByte()
	assert.Assert(t, err != nil, "the connection is closed")
	assert.Equal(t, len(g.started), 0, "a request behind the closing answer was started")
}

// Guards against a shutdown that breaks off requests in progress or waits for connections without one.
func TestShutdown(t *testing.T) {
	g := newGate()
	server, addr := startServer(t, Bounds{}, func(w http.ResponseWriter, r *http.Request) {
		g.pass(r)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	dial(t, addr) // idle
	conn, reader := dial(t, addr)
	write(t, conn, get("/0")+get("/1"))
	g.awaitStarted(t, 2)
	ended := make(chan error)
	go func() { ended <- server.Shutdown(context.Background()) }()
	for {
		if other, err := net.Dial("tcp", addr); err != nil {
			break
		} else {
			_ = other.Close()
		}
	}
	g.release("/1")
	g.release("/0")
	for i := range 2 {
		_, body, answer := readAnswer(reader, http.MethodGet)
		assert.Equal(t, body, fmt.Sprint("/", i))
		assert.Equal(t, answer.Close, i == 1)
	}
	assert.NilError(t, <-ended)
}

// Guards against a process that exits, and thereby resets a connection that stays half-open, before the caller of pipelined requests
// has read its last answer.
func TestShutdownWaitsForHalfOpenConnections(t *testing.T) {
	g := newGate()
	server, addr := startServer(t, Bounds{}, func(_ http.ResponseWriter, r *http.Request) { g.pass(r) })
	conn, reader := dial(t, addr)
	write(t, conn, get("/first")+get("/once"))
	g.awaitStarted(t, 1)
	server.awaitHeldBack(t)
	ended := make(chan error)
	go func() { ended <- server.Shutdown(context.Background()) }()
	for !server.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	g.release("/first")
	status, _, answer := readAnswer(reader, http.MethodGet)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, answer.Close)
	assert.NilError(t, <-ended)
	assert.Equal(t, server.Held().Connections, 0)
}

// Guards against a caller that does not read its answers and holds up others, or makes the process hold more than its bound.
func TestCallerThatDoesNotReadHoldsUpItself(t *testing.T) {
	const bound = 1 << 20
	answer := strings.Repeat("x", 1<<20)
	server, addr := startServer(t, Bounds{Memory: bound}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			for range 20 {
				if _, err := io.WriteString(w, answer); err != nil {
					return
				}
			}
		}
	})
	var slow []net.Conn
	for range 4 {
		conn, _ := dial(t, addr)
		write(t, conn, strings.Repeat(get("/large"), maxOverlapping))
		slow = append(slow, conn)
	}
	conn, reader := dial(t, addr)
	for range 100 {
		write(t, conn, get("/")+get("/"))
		for range 2 {
			status, _, _ := readAnswer(reader, http.MethodGet)
			assert.Equal(t, status, http.StatusOK)
		}
		held := server.Held().Answers
		assert.Assert(t, held <= server.account.Share(callermem.Answers), "%d bytes", held)
	}
	for _, conn := range slow {
		_ = conn.Close()
	}
	server.requireNothingHeld(t)
}

// requireNothingHeld waits until the server holds nothing for its callers and no request is in progress.
func (s *Server) requireNothingHeld(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		held := s.Held()
		if held.Heads == 0 && held.Requests == 0 && held.Bodies == 0 && held.Answers == 0 {
			return
		}
		assert.Assert(t, time.Now().Before(end), "%+v", held)
	}
}

// Guards against answers whose end a caller can't find, in all forms that a handler can give them.
func TestFormsOfAnswers(t *testing.T) {
	_, addr := startServer(t, Bounds{}, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/empty":
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		case "/unchanged":
			w.Header().Set("Content-Length", "7")
			w.WriteHeader(http.StatusNotModified)
		case "/small":
			fmt.Fprint(w, "small")
		case "/long":
			fmt.Fprint(w, strings.Repeat("x", 3000))
		case "/parts":
			w.Header().Set("Trailer", "Sum")
			w.WriteHeader(http.StatusEarlyHints)
			for range 3 {
				fmt.Fprint(w, strings.Repeat("x", 1000))
				_ = http.NewResponseController(w).Flush()
			}
			fmt.Fprint(w, "y")
			w.Header().Set("Sum", "a\r\nb: c")
		case "/short":
			w.Header().Set("Content-Length", "10")
			fmt.Fprint(w, "small")
		}
	})
	conn, reader := dial(t, addr)
	for _, c := range []struct {
		path   string
		status int
		length int64
		body   string
	}{
		{"/empty", 200, 0, ""}, {"/none", 204, 0, ""}, {"/unchanged", 304, 0, ""}, {"/small", 200, 5, "small"},
		{"/long", 200, -1, strings.Repeat("x", 3000)}, {"/parts", 200, -1, strings.Repeat("x", 3000) + "y"},
	} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			write(t, conn, method+" "+c.path+" HTTP/1.1\r\nHost: x\r\n\r\n")
			status, body, answer := readAnswer(reader, method)
			assert.Equal(t, status, c.status, "%s", c.path)
			if method == http.MethodHead {
				assert.Equal(t, body, "")
				continue
			}
			assert.Equal(t, answer.ContentLength, c.length, "%s", c.path)
			assert.Equal(t, body, c.body)
			if c.path == "/parts" {
				assert.Equal(t, answer.Trailer.Get("Sum"), "a  b: c")
			}
		}
	}
	write(t, conn, get("/short"))
	status, _, _ := readAnswer(reader, http.MethodGet)
	assert.Equal(t, status, 0, "a short answer looked complete")

	old, oldReader := dial(t, addr)
	write(t, old, "GET /small HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
	_, body, answer := readAnswer(oldReader, http.MethodGet)
	assert.Equal(t, body, "small")
	assert.Equal(t, answer.Header.Get("Connection"), "keep-alive")
	write(t, old, "GET /long HTTP/1.0\r\n\r\n")
	_, body, _ = readAnswer(oldReader, http.MethodGet)
	assert.Equal(t, len(body), 3000)
}

// Guards against a body that is asked for although its handler refuses the request, and against the rest of a body that is taken
// for the next request.
func TestExpectedBodies(t *testing.T) {
	_, addr := startServer(t, Bounds{}, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			_, _ = io.Copy(w, r.Body)
		}
	})
	conn, reader := dial(t, addr)
	const head = " HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
	write(t, conn, "POST /read"+head)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
	_, _ = reader.ReadString('\n')
	write(t, conn, "abc")
	_, body, _ := readAnswer(reader, http.MethodPost)
	assert.Equal(t, body, "abc")
	write(t, conn, "POST /refuse"+head)
	first, err := reader.Peek(len("HTTP/1.1 200"))
	assert.NilError(t, err)
	assert.Equal(t, string(first), "HTTP/1.1 200", "the caller is asked for a body that nobody reads")
	status, _, answer := readAnswer(reader, http.MethodPost)
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, answer.Close)
	_, err = reader.ReadByte()
	assert.Assert(t, err != nil, "the connection is closed")
}

// Guards against a caller that waits in vain to be asked for its body, because the write deadline of the answer before has passed
// while the connection was idle.
func TestExpectedBodyAfterTheWriteDeadline(t *testing.T) {
	server, addr := startServer(t, Bounds{}, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	conn, reader := dial(t, addr)
	write(t, conn, get("/"))
	readAnswer(reader, http.MethodGet)
	conns, _ := server.holdings()
	conns[0].setWriteDeadline(longPast)
	write(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "HTTP/1.1 100 Continue\r\n")
}

// Guards against bodies whose end two servers may read differently: what follows must not be served as a request.
func TestMalformedChunks(t *testing.T) {
	var smuggled, failed atomic.Int64
	_, addr := startServer(t, Bounds{}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/smuggled" {
			smuggled.Add(1)
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			failed.Add(1)
		}
	})
	chunks := []string{
		"3\nabc\r\n0\r\n\r\n", "3\r\nabc\n0\r\n\r\n", "3\r\nabc\r\n0\n\r\n", "3\r\nabc\r\n0\r\n\n", "3\r\nabcd\r\n0\r\n\r\n",
		"3\r\nabc0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n", "+3\r\nabc\r\n0\r\n\r\n", "-3\r\nabc\r\n0\r\n\r\n", " 3\r\nabc\r\n0\r\n\r\n",
		"3 \r\nabc\r\n0\r\n\r\n", "\r\n3\r\nabc\r\n0\r\n\r\n", "3;a\rb\r\nabc\r\n0\r\n\r\n", "3;a\x00\r\nabc\r\n0\r\n\r\n", "1_0\r\nabc\r\n0\r\n\r\n",
		"10000000000000003\r\nabc\r\n0\r\n\r\n", "0\r\nA\r\n\r\n", "0\r\nA : b\r\n\r\n", "0\r\n A: b\r\n\r\n", "0\r\nA: b\n\r\n", ";a\r\n\r\n",
		"1;" + strings.Repeat("x", 2000) + "\r\na\r\n0\r\n\r\n", "0\r\n" + strings.Repeat("A: "+strings.Repeat("x", 900)+"\r\n", 20) + "\r\n",
	}
	for i, chunk := range chunks {
		conn, reader := dial(t, addr)
		write(t, conn, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk+get("/smuggled"))
		_, _, answer := readAnswer(reader, http.MethodPost)
		assert.Check(t, answer != nil && answer.Close, "%.60q", chunk)
		_, err := reader.ReadByte()
		assert.Check(t, err != nil, "%.60q: the connection stays open", chunk)
		assert.Check(t, failed.Load() == int64(i+1) && smuggled.Load() == 0, "%.60q", chunk)
		_ = conn.Close()
	}
}

// Guards against lost, doubled or mixed answers on connections with long random sequences of requests that are sent without
// waiting.
func TestRandomSequences(t *testing.T) {
	const connections, requests = 8, 300
	server, addr := startServer(t, Bounds{Memory: 1 << 20}, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		pause, _ := strconv.Atoi(query.Get("pause"))
		size, _ := strconv.Atoi(query.Get("size"))
		time.Sleep(time.Duration(pause) * time.Microsecond)
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s%s%s", r.URL.Path, body, strings.Repeat("x", size))
	})
	var wait sync.WaitGroup
	for id := range connections {
		conn, reader := dial(t, addr)
		random := rand.New(rand.NewPCG(39, uint64(id)))
		var wants []string
		var all strings.Builder
		for i := range requests {
			size := []int{0, 10, 3000, 40 << 10}[random.IntN(4)]
			path := fmt.Sprintf("/%d-%d", id, i)
			target := fmt.Sprintf("%s?pause=%d&size=%d", path, random.IntN(300), size)
			body := ""
			switch random.IntN(10) {
			case 0:
				body = strings.Repeat("b", random.IntN(20<<10))
				fmt.Fprintf(&all, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", target, len(body), body)
			case 1:
				body = strings.Repeat("c", 1+random.IntN(20<<10))
				fmt.Fprintf(&all, "PUT %s HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", target, len(body), body)
			case 2:
				path = "/once" + path
				all.WriteString(get("/once" + target))
			default:
				all.WriteString(get(target))
			}
			wants = append(wants, path+body+strings.Repeat("x", size))
		}
		wait.Go(func() { _, _ = io.WriteString(conn, all.String()) }) // a failure shows in the answers
		wait.Go(func() {
			for i, want := range wants {
				status, body, _ := readAnswer(reader, http.MethodGet)
				if status != http.StatusOK || body != want {
					t.Errorf("connection %d, request %d: status %d, %d bytes %.20q, want %d bytes %.20q", id, i, status, len(body), body, len(want), want)
					return
				}
			}
		})
	}
	wait.Wait()
	server.requireNothingHeld(t)
}

// deadlineConn is a connection from which a body can be read. It counts the read deadlines that are removed after the connection's
// reader may read again.
type deadlineConn struct {
	net.Conn
	body    io.Reader
	bodyEnd func() chan struct{}
	removed int
}

func (c *deadlineConn) RemoteAddr() net.Addr       { return &net.TCPAddr{} }
func (c *deadlineConn) Read(p []byte) (int, error) { return c.body.Read(p) }

func (c *deadlineConn) SetReadDeadline(until time.Time) error {
	if len(c.bodyEnd()) > 0 && until.IsZero() {
		c.removed++
	}
	return nil
}

// Guards against the read deadline of an incomplete head that is removed when the rest of the body before it has been discarded: its
// caller could keep the connection for any time.
func TestDiscardLeavesTheNextDeadline(t *testing.T) {
	server := New(Config{Limits: func() framing.Limits { return framing.Limits{} }})
	recorder := &deadlineConn{body: strings.NewReader("abc")}
	c := newConn(server, recorder, time.Now())
	recorder.bodyEnd = func() chan struct{} { return c.bodyEnd }
	b := &body{exchange: &exchange{conn: c}, remaining: 3}
	b.exchange.body = b
	assert.Assert(t, b.finish(false))
	assert.Equal(t, len(c.bodyEnd), 1)
	assert.Equal(t, recorder.removed, 0)
}
