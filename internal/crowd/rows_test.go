package crowd

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/testcluster"
	"github.com/acacialock/acacialock/internal/testsite"
	"github.com/acacialock/acacialock/platform/standin"
)

// The crowds of the users' form, which were fixed with their bounds before the product had limits for them. maxPeakMemoryMB
// holds for these too.
const (
	bodyCrowdSize       = 1900
	stalledCrowdSize    = 250 // beyond the connections of loweredLimits
	streamCrowdSize     = 300
	stalledPlacesSize   = 150 // below the connections of loweredLimits, beyond the places at a target
	unreadCrowdSize     = 400
	mixedCrowdSize      = 400 // of each kind
	linesCrowdSize      = 180
	descriptorCrowdSize = 1000
	// spareDescriptors may be open beside the connections of callers.
	spareDescriptors = 200
)

const (
	// smallMachine is what a machine of 184 MiB sets by default.
	smallMachine            = "caller_memory = 24117248\ncaller_connections = 2048\n"
	smallMachineConnections = 2048
	smallMachineGoLimit     = "138MiB"
	loweredConnections      = 200

	shopHost = "shop.example"
	// routeTimeout is longer than the test waits, so that no time limit of a route ends a crowd.
	routeTimeout = 10 * time.Minute
	// maxHeaderBytes is the limit on heads that the desired state of the stand-in sets.
	maxHeaderBytes = 16384
	// bodyBytes is the size of the largest body that a node may read before it sends the request on.
	bodyBytes = 64 << 10
	// longBodyBytes is the size of a body that a node can't read whole before it sends the request on.
	longBodyBytes = 1 << 20
	// unreadBytes is the size of an answer that a node reads whole before it passes the answer on.
	unreadBytes = 120_000
	// answerLines is the number of header lines of the largest answer head that a node takes from its target.
	answerLines = 7_000
)

// site is a site of the users' form (platform = "rows") with two nodes: callers use the first one, and the targets of their requests are beside the
// second one.
type site struct {
	*testsite.Site
	entry, target *testsite.Node
}

// startSite starts a site whose nodes have the settings. respond, unless nil, writes the responses of the target.
func startSite(t *testing.T, settings string, respond func(w http.ResponseWriter, r *http.Request) bool) *site {
	t.Helper()
	program, err := testsite.Build(t.TempDir())
	assert.NilError(t, err)
	return startSiteOf(t, program, settings, respond)
}

// startSiteOf is startSite for nodes that run the given program.
func startSiteOf(t *testing.T, program, settings string, respond func(w http.ResponseWriter, r *http.Request) bool) *site {
	t.Helper()
	t.Setenv("GOMEMLIMIT", smallMachineGoLimit)
	started, err := testsite.New()
	assert.NilError(t, err)
	t.Cleanup(started.Close)
	s := &site{Site: started}
	dir := t.TempDir()
	onExit := func(problem string) { t.Error(problem) }
	configs := []testsite.NodeConfig{
		{Name: "entry", Service: "desk", Zone: "a", Settings: settings},
		{Name: "target", Service: "shop", Zone: "a", Settings: settings, Respond: respond},
	}
	for i, node := range []**testsite.Node{&s.entry, &s.target} {
		*node, err = started.Add(dir, program, configs[i], onExit)
		assert.NilError(t, err)
	}
	started.Store.PutDesiredState(1, []standin.Route{
		{Name: "buy", Host: shopHost, Prefix: "/buy/", Service: "shop", Timeout: routeTimeout, TargetLatency: time.Second, Priority: 1, MaxAttempts: 3},
		{Name: "browse", Host: shopHost, Prefix: "/", Service: "shop", Idempotent: true, Timeout: routeTimeout, TargetLatency: time.Second, Priority: 1, MaxAttempts: 3},
	})
	assert.NilError(t, started.AwaitReady(readyLimit))
	s.requireAnswer(t)
	return s
}

var lastRequest atomic.Int64

// head returns the start of a request's head, with an id of its own.
func head(method, path string) string {
	header := http.Header{}
	standin.SetRequestHeaders(header, fmt.Sprintf("crowd-%d", lastRequest.Add(1)), routeTimeout)
	var text bytes.Buffer
	_ = header.Write(&text) // a buffer takes all
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, path, shopHost, text.String())
}

// requireAnswer sends ordinary requests on new connections until one is answered.
func (s *site) requireAnswer(t *testing.T) {
	t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	err := testcluster.WaitFor(readyLimit, "an ordinary request", func() bool {
		request, err := http.NewRequest(http.MethodPost, "http://"+s.entry.Entry+"/buy/ordinary", strings.NewReader("one piece"))
		assert.NilError(t, err)
		request.Host = shopHost
		standin.SetRequestHeaders(request.Header, fmt.Sprintf("crowd-%d", lastRequest.Add(1)), routeTimeout)
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			return false
		}
		defer response.Body.Close()
		last = response.Status + " " + response.Header.Get("Acacialock-Reason")
		return response.StatusCode == http.StatusOK
	})
	assert.NilError(t, err, last)
}

// check checks both processes after the crowd, then lets one ordinary request in. connections is the limit on connections of
// callers in their settings.
func (s *site) check(t *testing.T, connections int) {
	t.Helper()
	s.checkBounds(t, connections)
	s.requireAnswer(t)
	s.checkBounds(t, connections)
}

func (s *site) checkBounds(t *testing.T, connections int) {
	t.Helper()
	for _, node := range s.Nodes {
		peak, descriptors := peakMemoryMB(t, node.PID()), openDescriptors(t, node.PID())
		t.Logf("%s: peak memory %d MB, %d open descriptors", node.Name, peak, descriptors)
		assert.Check(t, peak <= maxPeakMemoryMB, "peak memory of %s is %d MB, %d are allowed", node.Name, peak, maxPeakMemoryMB)
		assert.Check(t, descriptors <= connections+spareDescriptors, "%s has %d descriptors open", node.Name, descriptors)
		assert.Equal(t, node.Boots(), 1, "the process of %s has ended", node.Name)
	}
}

// crowd opens connections from callers with small receive buffers and sends on each what send writes. It returns once all have
// sent what the node took, and keeps the connections open until the test ends.
func (s *site) crowd(t *testing.T, size int, send func(conn net.Conn) error) {
	t.Helper()
	const receiveBufferBytes = 4 << 10 // so that answers nobody reads stay in the node
	dialer := net.Dialer{Timeout: sendLimit, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		}), err)
	}}
	var all sync.WaitGroup
	for range size {
		conn, err := dialer.Dial("tcp", s.entry.Entry)
		if err != nil {
			continue // the node may refuse connections
		}
		t.Cleanup(func() { _ = conn.Close() })
		all.Go(func() {
			_ = conn.SetDeadline(time.Now().Add(sendLimit))
			_ = send(conn) // the node may close the connection
		})
	}
	all.Wait()
}

// sendText returns a send function that sends a new head and then text.
func sendText(method, path, text string) func(conn net.Conn) error {
	return func(conn net.Conn) error {
		_, err := io.WriteString(conn, head(method, path)+text)
		return err
	}
}

// shortLines returns header lines of at most size bytes together. distinct selects lines with names of their own.
func shortLines(size, count int, distinct bool) string {
	var lines strings.Builder
	for i := range count {
		line := "a:\r\n"
		if distinct {
			line = "x" + strconv.FormatInt(int64(i), 36) + ":\r\n"
		}
		if lines.Len()+len(line) > size {
			break
		}
		lines.WriteString(line)
	}
	return lines.String()
}

// Guards against requests of legal size that are refused because of the number of their header lines: on the way through another
// node and up to the target too.
func TestRequestsOfManyLinesAreServed(t *testing.T) {
	for _, settings := range []string{"", loweredLimits} {
		s := startSite(t, settings, nil)
		for _, lines := range []string{
			shortLines(maxHeaderBytes, 600, true), shortLines(maxHeaderBytes, 600, false),
			shortLines(maxHeaderBytes-300, maxHeaderBytes, true), shortLines(maxHeaderBytes-300, maxHeaderBytes, false),
		} {
			conn, err := net.Dial("tcp", s.entry.Entry)
			assert.NilError(t, err)
			text := head(http.MethodPost, "/buy/lines") + "Content-Length: 0\r\n" + lines + "\r\n"
			assert.Assert(t, len(text) <= maxHeaderBytes)
			_, err = io.WriteString(conn, text)
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			_ = conn.Close()
			assert.Equal(t, response.StatusCode, http.StatusOK)
			workers := s.target.Backend.Workers()
			arrived := 0
			for _, values := range *workers[len(workers)-1].LastHeader.Load() {
				arrived += len(values)
			}
			assert.Assert(t, arrived >= strings.Count(lines, "\n"), "%d lines at the target", arrived)
		}
		s.check(t, smallMachineConnections)
	}
}

// Guards against the same refusal in the product's own form.
func TestRequestsOfManyLinesAreServedInTheOwnForm(t *testing.T) {
	node := startNode(t)
	for _, count := range []int{600, 4000} {
		conn, err := net.Dial("tcp", node.EntryAddr)
		assert.NilError(t, err)
		_, err = io.WriteString(conn, requestLine+shortLines(maxHeaderBytes, count, false)+"\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		_ = conn.Close()
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	checkNode(t, node)
}

// Guards against a crowd of requests of legal size whose many header lines take the memory of the node that reads them or of the
// node to which they are forwarded.
func TestCrowdOfManyLines(t *testing.T) {
	s := startSite(t, loweredLimits, nil)
	for _, distinct := range []bool{true, false} {
		lines := shortLines(maxHeaderBytes-300, maxHeaderBytes, distinct)
		s.crowd(t, linesCrowdSize, func(conn net.Conn) error {
			return sendAndRead([]byte(head(http.MethodGet, "/lines") + lines + "\r\n"))(conn)
		})
	}
	s.check(t, loweredConnections)
}

// Guards against bodies that are announced or read ahead without a bound on all of them together.
func TestBodiesWithoutTheirEnd(t *testing.T) {
	s := startSite(t, smallMachine, nil)
	body := strings.Repeat("x", bodyBytes-1)
	s.crowd(t, bodyCrowdSize, sendText(http.MethodPost, "/buy/x", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", bodyBytes, body)))
	s.check(t, smallMachineConnections)
}

// Guards against short bodies that stop and hold every connection of a node.
func TestBodiesThatStopHoldNoConnection(t *testing.T) {
	s := startSite(t, loweredLimits, nil)
	s.crowd(t, stalledCrowdSize, sendText(http.MethodPost, "/buy/x", "Content-Length: 14\r\n\r\nfive "))
	s.check(t, loweredConnections)
}

// Guards against chunked bodies that stop in a chunk and take every place at the targets.
func TestChunksThatStopHoldNoPlace(t *testing.T) {
	s := startSite(t, smallMachine, nil)
	s.crowd(t, streamCrowdSize, sendText(http.MethodPost, "/buy/x", "Transfer-Encoding: chunked\r\n\r\nff\r\nthe start"))
	s.check(t, smallMachineConnections)
}

// Guards against chunked bodies that stop in their trailers and take every place at the targets.
func TestTrailersThatStopHoldNoPlace(t *testing.T) {
	s := startSite(t, smallMachine, nil)
	s.crowd(t, streamCrowdSize, sendText(http.MethodPost, "/buy/x", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n"))
	s.check(t, smallMachineConnections)
}

// Guards against long bodies that stop after a part that the node has passed on, and take every place at the targets.
func TestLongBodiesThatStopHoldNoPlace(t *testing.T) {
	s := startSite(t, smallMachine, nil)
	part := strings.Repeat("x", 2*bodyBytes)
	s.crowd(t, streamCrowdSize, sendText(http.MethodPost, "/buy/x", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", longBodyBytes, part)))
	s.check(t, smallMachineConnections)
}

// Guards against the same in the product's own form.
func TestChunksThatStopHoldNoPlaceInTheOwnForm(t *testing.T) {
	node := startNodeWithList(t, fmt.Sprintf("[services.storefront]\nhome_region = \"sanjose\"\ntimeout = %q\n", routeTimeout))
	crowd(t, node, stalledPlacesSize, func(conn net.Conn) error {
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: storefront\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nthe start")
		return err
	})
	checkNode(t, node)
}

// writeUnread is a target's response that a node reads whole before it passes it on.
func writeUnread(w http.ResponseWriter, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, "/unread") {
		return false
	}
	w.Header().Set("Content-Length", strconv.Itoa(unreadBytes))
	_, _ = w.Write(make([]byte, unreadBytes)) // the node may close the connection
	return true
}

// leaveUnread asks for answers without reading them, on a connection whose first answer shows that the target has run.
func leaveUnread(conn net.Conn) error {
	const pipelined = 4
	var requests strings.Builder
	for range pipelined {
		requests.WriteString(head(http.MethodGet, "/unread") + "\r\n")
	}
	if _, err := io.WriteString(conn, requests.String()); err != nil {
		return err
	}
	var status [len("HTTP/1.1 200")]byte
	_, err := io.ReadFull(conn, status[:])
	return err
}

// Guards against answers that are read ahead for callers who never read them.
func TestAnswersThatNobodyReads(t *testing.T) {
	s := startSite(t, smallMachine, writeUnread)
	s.crowd(t, unreadCrowdSize, leaveUnread)
	s.check(t, smallMachineConnections)
}

// Guards against answers whose many header lines take the memory of the nodes that pass them on.
func TestAnswersOfManyLines(t *testing.T) {
	s := startSite(t, smallMachine, func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, "/lines") {
			return false
		}
		for i := range answerLines {
			w.Header()["x"+strconv.FormatInt(int64(i), 36)] = []string{""}
		}
		return false
	})
	statuses := map[int]int{}
	var mu sync.Mutex
	s.crowd(t, linesCrowdSize, func(conn net.Conn) error {
		if _, err := io.WriteString(conn, head(http.MethodGet, "/lines")+"\r\n"); err != nil {
			return err
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			mu.Lock()
			defer mu.Unlock()
			statuses[response.StatusCode]++
		}
		return err
	})
	t.Logf("statuses %v", statuses)
	assert.Assert(t, statuses[http.StatusOK] > 0)
	s.check(t, smallMachineConnections)
}

// Guards against crowds of several kinds that each stay under a limit of their own and together exceed the machine: incomplete
// heads, bodies and answers that nobody reads.
func TestMixedCrowd(t *testing.T) {
	s := startSite(t, smallMachine, writeUnread)
	body := strings.Repeat("x", bodyBytes-1)
	sends := []func(conn net.Conn) error{
		func(conn net.Conn) error {
			start := head(http.MethodGet, "/head")
			_, err := io.WriteString(conn, start+shortLines(maxHeaderBytes-len(start)-2, maxHeaderBytes, true))
			return err
		},
		sendText(http.MethodPost, "/buy/x", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", bodyBytes, body)),
		sendText(http.MethodPost, "/buy/x", "Transfer-Encoding: chunked\r\n\r\nfff0\r\n"+body[:bodyBytes/2]),
		leaveUnread,
	}
	var next atomic.Int64
	s.crowd(t, mixedCrowdSize*len(sends), func(conn net.Conn) error { return sends[next.Add(1)%int64(len(sends))](conn) })
	s.check(t, smallMachineConnections)
}
