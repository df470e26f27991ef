package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/acacialock/acacialock/platform/standin"
)

const (
	maxCrowdSize = 60
	maxCrowdTime = 3 * time.Second
	crowdPause   = time.Second // mean time between two crowds
)

// crowdForms are what the callers of a crowd send behind the first header lines of a request. All of them stop there.
var crowdForms = map[string]string{
	"short bodies":   "Content-Length: 14\r\n\r\nfive ",
	"chunks":         "Transfer-Encoding: chunked\r\n\r\nff\r\nthe start",
	"trailers":       "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n",
	"long bodies":    "Content-Length: 1000000\r\n\r\n" + strings.Repeat("x", 128<<10),
	"heads":          strings.Repeat("a:\r\n", 3000),
	"whole requests": "Content-Length: 3\r\n\r\nabc", // whole requests whose answers nobody reads
}

// sendCrowds lets crowds of callers outside the limits stop in the middle of their requests, until s.ctx is done.
func (s *soak) sendCrowds(random *rand.Rand) {
	names := []string{"short bodies", "chunks", "trailers", "long bodies", "heads", "whole requests"}
	for crowd := 0; s.ctx.Err() == nil; crowd++ {
		n := s.site.Nodes[random.IntN(len(s.site.Nodes))]
		name, size := names[random.IntN(len(names))], 1+random.IntN(maxCrowdSize)
		s.logf("%d callers at %s stop in %s", size, n.Name, name)
		var open sync.WaitGroup
		for i := range size {
			open.Go(func() { s.stall(n.Entry, fmt.Sprintf("x%d-%d", crowd, i), crowdForms[name]) })
		}
		s.sleep(time.Duration(random.ExpFloat64() * float64(crowdPause)))
		open.Wait()
	}
}

// stall sends the start of a request and keeps its connection open for maxCrowdTime, or until s.ctx is done.
func (s *soak) stall(addr, id, text string) {
	conn, err := net.DialTimeout("tcp", addr, maxCrowdTime)
	if err != nil {
		return // the node may be down
	}
	defer conn.Close()
	header := http.Header{}
	standin.SetRequestHeaders(header, id, callTimeout)
	var start bytes.Buffer
	fmt.Fprintf(&start, "POST /buy/now HTTP/1.1\r\nHost: %s\r\n", host)
	_ = header.Write(&start) // a buffer takes all
	start.WriteString(text)
	_ = conn.SetDeadline(time.Now().Add(maxCrowdTime))
	_, _ = conn.Write(start.Bytes()) // the node may close the connection
	s.sleep(maxCrowdTime)
}
