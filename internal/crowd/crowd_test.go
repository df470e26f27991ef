// Package crowd tests a node process against callers outside the limits. Each test starts separate processes on loopback and
// checks only what does not depend on the machine's speed: the process lives, its memory and open descriptors stay under a
// bound, and one ordinary request is answered afterwards.
package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acacialock/acacialock/internal/testcluster"
)

// The crowd and the bounds, which were fixed before the product had limits for such callers. The smallest machines of the
// users have 184 MB and 4,100 descriptors.
const (
	crowdSize       = 60
	idleCrowdSize   = 600
	maxPeakMemoryMB = 128
	maxDescriptors  = 400
)

const (
	readyLimit = 60 * time.Second
	// sendLimit ends a connection of the crowd whose bytes are no longer read.
	sendLimit = 5 * time.Second
	// headBytes is the size of a head just within the default limit of 1 MiB.
	headBytes = 1_000_000
	// endlessBytes is what a connection sends of something that has no end.
	endlessBytes = 8 << 20
)

const serviceList = `[services.storefront]
home_region = "sanjose"
timeout = "3s"
`

// startNode starts a platform stand-in, a target and a node with lowered limits.
func startNode(t *testing.T) *testcluster.Node {
	t.Helper()
	return startNodeWithList(t, serviceList)
}

// startNodeWithList is startNode with another service list.
func startNodeWithList(t *testing.T, serviceList string) *testcluster.Node {
	t.Helper()
	cluster, err := testcluster.Start(testcluster.Config{Dir: t.TempDir()})
	assert.NilError(t, err)
	t.Cleanup(func() {
		cluster.Stop(false)
		if t.Failed() {
			output := cluster.Nodes[0].Daemon.Output()
			t.Logf("end of the node's output:\n%s", output[max(0, len(output)-4000):])
		}
	})
	node, err := cluster.Add(testcluster.NodeConfig{Service: "storefront", Region: "sanjose", Zone: "sj-a", Settings: loweredLimits})
	assert.NilError(t, err)
	out, code := cluster.Apply(serviceList)
	assert.Equal(t, code, 0, out)
	assert.NilError(t, cluster.WaitReady(readyLimit))
	requireAnswer(t, node)
	return node
}

// requireAnswer sends ordinary requests until one is answered.
func requireAnswer(t *testing.T, node *testcluster.Node) {
	t.Helper()
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	err := testcluster.WaitFor(readyLimit, "an ordinary request", func() bool {
		request, err := http.NewRequest(http.MethodGet, "http://"+node.EntryAddr+"/", nil)
		assert.NilError(t, err)
		request.Host = "storefront"
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			return false
		}
		defer response.Body.Close()
		last = response.Status
		return response.StatusCode == http.StatusOK
	})
	assert.NilError(t, err, last)
}

// crowd opens connections and sends on each what send writes. It returns once all have sent what the node took, and keeps
// the connections open until the test ends.
func crowd(t *testing.T, node *testcluster.Node, size int, send func(conn net.Conn) error) {
	t.Helper()
	var all sync.WaitGroup
	for range size {
		conn, err := net.Dial("tcp", node.EntryAddr)
		if err != nil {
			continue // the node may refuse connections
		}
		t.Cleanup(func() { _ = conn.Close() })
		all.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(sendLimit))
			_ = send(conn) // the node may close the connection
		})
	}
	all.Wait()
}

// checkNode checks the process after the crowd, then lets one ordinary request in.
func checkNode(t *testing.T, node *testcluster.Node) {
	t.Helper()
	assert.Assert(t, !node.Daemon.Exited(), "the node's process has ended")
	peak := peakMemoryMB(t, node.Daemon.PID())
	descriptors := openDescriptors(t, node.Daemon.PID())
	t.Logf("peak memory %d MB, %d open descriptors", peak, descriptors)
	assert.Check(t, peak <= maxPeakMemoryMB, "peak memory is %d MB, %d are allowed", peak, maxPeakMemoryMB)
	assert.Check(t, descriptors <= maxDescriptors, "%d descriptors are open, %d are allowed", descriptors, maxDescriptors)
	requireAnswer(t, node)
	assert.Assert(t, !node.Daemon.Exited(), "the node's process has ended")
}

// peakMemoryMB returns the highest resident size that the process has had, in MB.
func peakMemoryMB(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(t, err)
	for _, line := range strings.Split(string(status), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(text, " kB")))
			assert.NilError(t, err)
			return kilobytes >> 10
		}
	}
	t.Fatal("the process status has no VmHWM")
	return 0
}

func openDescriptors(t *testing.T, pid int) int {
	t.Helper()
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	assert.NilError(t, err)
	return len(names)
}

const requestLine = "GET / HTTP/1.1\r\nHost: storefront\r\n"

// requestOfLines returns a request whose head consists of the given lines, repeated up to headBytes.
func requestOfLines(lines string) []byte {
	var text bytes.Buffer
	text.WriteString(requestLine)
	for text.Len()+len(lines) < headBytes {
		text.WriteString(lines)
	}
	text.WriteString("\r\n")
	return text.Bytes()
}

// sendAndRead returns a send function that sends text and reads one answer's head.
func sendAndRead(text []byte) func(conn net.Conn) error {
	return func(conn net.Conn) error {
		if _, err := conn.Write(text); err != nil {
			return err
		}
		_ = conn.SetReadDeadline(time.Now().Add(sendLimit))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
}

// repeat writes start and then part over and over, until endlessBytes are written or the node takes no more.
func repeat(start, part string) func(conn net.Conn) error {
	block := []byte(strings.Repeat(part, max(1, 16<<10/len(part))))
	return func(conn net.Conn) error {
		if _, err := io.WriteString(conn, start); err != nil {
			return err
		}
		for sent := 0; sent < endlessBytes; sent += len(block) {
			if _, err := conn.Write(block); err != nil {
				return err
			}
		}
		return nil
	}
}

// Guards against requests of legal size whose many short header lines take a hundred times their size in memory.
func TestManyShortHeaderLines(t *testing.T) {
	node := startNode(t)
	crowd(t, node, crowdSize, sendAndRead(requestOfLines("a:\r\n")))
	checkNode(t, node)
}

// Guards against header lines with odd names and values: repeated and new names, tabs, no value.
func TestOddHeaderLines(t *testing.T) {
	node := startNode(t)
	var lines strings.Builder
	for i := range 4000 {
		fmt.Fprintf(&lines, "x%d:\r\n~:\t\r\nA: \t b\r\n", i)
	}
	crowd(t, node, crowdSize, sendAndRead(requestOfLines(lines.String())))
	checkNode(t, node)
}

// Guards against lines that no HTTP header has: empty names, bare CR and LF.
func TestMalformedHeaderLines(t *testing.T) {
	node := startNode(t)
	crowd(t, node, crowdSize, sendAndRead(requestOfLines(": \r\n\rb:c\n \t\n")))
	checkNode(t, node)
}

// Guards against heads over the limit, in one line of 8 MB.
func TestHeadsOverTheLimit(t *testing.T) {
	node := startNode(t)
	crowd(t, node, crowdSize, repeat(requestLine+"Cookie: ", "0123456789abcdef"))
	checkNode(t, node)
}

// Guards against heads without end.
func TestHeadsWithoutEnd(t *testing.T) {
	node := startNode(t)
	crowd(t, node, crowdSize, repeat(requestLine, "Cookie: a=b\r\n"))
	checkNode(t, node)
}

// Guards against empty lines without end before a request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	node := startNode(t)
	crowd(t, node, crowdSize, repeat("", "\r\n"))
	checkNode(t, node)
}

// Guards against heads of which a large part arrives at once and the rest a byte at a time, so that each is held for long.
func TestHeadsByteByByte(t *testing.T) {
	node := startNode(t)
	text := requestOfLines("a:\r\n")
	crowd(t, node, crowdSize, func(conn net.Conn) error {
		if _, err := conn.Write(text[:len(text)-100]); err != nil {
			return err
		}
		for i := len(text) - 100; i < len(text)-2; i++ {
			if _, err := conn.Write(text[i : i+1]); err != nil {
				return err
			}
		}
		return nil
	})
	checkNode(t, node)
}

// Guards against bodies without end, with a length that never arrives and in chunks.
func TestBodiesWithoutEnd(t *testing.T) {
	node := startNode(t)
	half := repeat("POST / HTTP/1.1\r\nHost: storefront\r\nContent-Length: 100000000\r\n\r\n", "0123456789abcdef")
	crowd(t, node, crowdSize/2, half)
	chunk := "10\r\n0123456789abcdef\r\n"
	crowd(t, node, crowdSize/2, repeat("POST / HTTP/1.1\r\nHost: storefront\r\nTransfer-Encoding: chunked\r\n\r\n", chunk))
	checkNode(t, node)
}

// Guards against trailers without end and chunks whose size lines have no end.
func TestTrailersWithoutEnd(t *testing.T) {
	node := startNode(t)
	start := "POST / HTTP/1.1\r\nHost: storefront\r\nTransfer-Encoding: chunked\r\n\r\n"
	crowd(t, node, crowdSize/2, repeat(start+"0\r\n", "a:\r\n"))
	crowd(t, node, crowdSize/2, repeat(start+"1;", "a"))
	checkNode(t, node)
}

// Guards against callers that send requests and never read an answer.
func TestCallersThatNeverRead(t *testing.T) {
	node := startNode(t)
	crowd(t, node, crowdSize, repeat("", "GET / HTTP/1.1\r\nHost: storefront\r\n\r\n"))
	checkNode(t, node)
}

// Guards against connections without a byte, which use up the descriptors.
func TestConnectionsWithoutAByte(t *testing.T) {
	node := startNode(t)
	crowd(t, node, idleCrowdSize, func(net.Conn) error { return nil })
	checkNode(t, node)
}
