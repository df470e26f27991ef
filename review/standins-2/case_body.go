package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	patience = 20 * time.Second // longer than each time limit that the desired state sets
	shoppers = 10               // ordinary consumers that try to connect; the rule asks for seven
	tryFor   = 8 * time.Second  // twice Contact
)

// stalledBody checks RECOVER: a machine that says it is ready takes new connections.
func stalledBody(s *site, trouble bool) ([]string, error) {
	s.store.put("op", "config", desiredState(1, salesServices, salesRoutes))
	if err := smallSite(s, 50*time.Millisecond); err != nil {
		return nil, err
	}
	n := s.nodes[0]
	crowd := min(s.fds/2, 2048) + 52 // connections of consumers that stop in the middle of a body
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	answered := make(chan int, crowd)
	for range crowd {
		conn, err := net.DialTimeout("tcp", n.outbound, time.Second)
		if err != nil {
			return nil, err
		}
		open = append(open, conn)
		body := "lot=7&kilos=21"
		part := body
		if trouble {
			part = body[:5]
		}
		_, _ = fmt.Fprintf(conn, "POST /pufi791/2f HTTP/1.1\r\nHost: %s\r\nAcacialock-Request-Id: %s\r\nAcacialock-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s",
			host, newID("s"), len(body), part)
		go func() {
			_ = conn.SetReadDeadline(time.Now().Add(patience))
			got, _ := io.ReadAll(io.LimitReader(conn, 12))
			answered <- len(got)
		}()
		time.Sleep(2 * time.Millisecond)
	}
	s.record.printf("%d consumers of machine %s have sent a purchase's head and %s", crowd, n.name,
		map[bool]string{true: "5 of the 14 bytes of its body, and send nothing more", false: "its whole body"}[trouble])
	time.Sleep(patience)
	withAnswer := 0
	for range crowd {
		if <-answered > 0 {
			withAnswer++
		}
	}
	s.record.printf("%v later %d of them have an answer. HeaderTimeout is 3 s, IdleTimeout 15 s, the route's Timeout 2 s, the deadline 4 s", patience, withAnswer)
	return ordinaryConsumers(s, n), nil
}

// ordinaryConsumers lets ordinary consumers of the machine browse for tryFor, and asks for its readiness once a second.
func ordinaryConsumers(s *site, n *node) []string {
	var mu sync.Mutex
	served, tries, ready, asked := 0, 0, 0, 0
	problems := map[string]int{}
	end := time.Now().Add(tryFor)
	var group sync.WaitGroup
	for range shoppers {
		group.Go(func() {
			c := consumer{outbound: n.outbound, deadline: 3 * time.Second}
			for time.Now().Before(end) {
				got := c.send(http.MethodGet, "/lohu930/2f", newID("b"), "", "")
				mu.Lock()
				tries++
				if got.status != 0 {
					served++
				}
				problems[fmt.Sprintf("%d %s", got.status, firstWords(got.problem))]++
				mu.Unlock()
				time.Sleep(300 * time.Millisecond)
			}
		})
	}
	group.Go(func() {
		for time.Now().Before(end) {
			isReady := n.isReady()
			mu.Lock()
			asked++
			if isReady {
				ready++
			}
			mu.Unlock()
			time.Sleep(time.Second)
		}
	})
	group.Wait()
	s.record.printf("%d ordinary consumers of machine %s tried %d new connections in %v: %d got an answer (%v)", shoppers, n.name, tries, tryFor, served, problems)
	s.record.printf("readiness of machine %s: 200 to %d of %d questions", n.name, ready, asked)
	for _, other := range s.nodes[1:] {
		got := consumer{outbound: other.outbound, deadline: 3 * time.Second}.send(http.MethodGet, "/lohu930/2f", newID("b"), "", "")
		s.record.printf("a consumer of machine %s gets %v", other.name, got)
	}
	if served == 0 && ready == asked {
		return []string{fmt.Sprintf("RECOVER: machine %s said in %v that it is ready, %d of %d times, and took none of the %d new connections of %d consumers",
			n.name, tryFor, ready, asked, tries, shoppers)}
	}
	return nil
}

// firstWords shortens a problem, which ends with addresses.
func firstWords(problem string) string {
	if i := len(problem); i > 40 {
		return problem[i-40:]
	}
	return problem
}
