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
	crowdDeadline = 10 * time.Second // the longest deadline of the site's consumers; they leave then
	shoppers      = 10               // ordinary consumers that try to connect; the rule asks for seven
	contact       = 4 * time.Second  // the bound Contact
	tryFor        = 6 * time.Second  // longer than Contact
)

// stalledBody checks RECOVER: a machine that says it is ready takes new connections.
func stalledBody(s *site, trouble bool) ([]string, error) {
	s.store.put("op", "config", desiredState(1, salesServices, salesRoutes))
	if err := smallSite(s, 50*time.Millisecond); err != nil {
		return nil, err
	}
	n := s.nodes[0]
	crowd := min(s.fds/2, 2048) + 52 // consumers that stop in the middle of a body
	body := "lot=7&kilos=21"
	part := body
	if trouble {
		part = body[:5]
	}
	answered := make(chan bool, crowd)
	began := time.Now()
	for range crowd {
		conn, err := net.DialTimeout("tcp", n.outbound, time.Second)
		if err != nil {
			return nil, err
		}
		_ = conn.SetDeadline(time.Now().Add(crowdDeadline))
		_, _ = fmt.Fprintf(conn, "POST /pufi791/2f HTTP/1.1\r\nHost: %s\r\nAcacialock-Request-Id: %s\r\nAcacialock-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
			host, newID("s"), crowdDeadline.Milliseconds(), len(body), part)
		until := time.NewTimer(crowdDeadline)
		go func() {
			defer conn.Close()
			got, _ := io.ReadAll(io.LimitReader(conn, 12)) // ends at the deadline
			answered <- len(got) > 0
			<-until.C
		}()
	}
	opened := time.Since(began)
	s.record.printf("%d consumers of machine %s have sent a purchase's head and %s, within %v", crowd, n.name,
		map[bool]string{true: "5 of the 14 bytes of its body, and send nothing more", false: "its whole body"}[trouble], opened)
	if opened > crowdDeadline-tryFor-time.Second {
		return nil, fmt.Errorf("the crowd took %v to open its connections", opened)
	}
	breaks := ordinaryConsumers(s, n)
	withAnswer := 0
	for range crowd {
		if <-answered {
			withAnswer++
		}
	}
	s.record.printf("%d of the %d have got an answer before they left at their deadline of %v; the route's Timeout is 2 s", withAnswer, crowd, crowdDeadline)
	time.Sleep(time.Second)
	got := consumer{outbound: n.outbound, deadline: 3 * time.Second}.send(http.MethodGet, "/lohu930/2f", newID("b"), "", "")
	s.record.printf("once they have left, a consumer of machine %s gets %v", n.name, got)
	return breaks, nil
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
	if served == 0 && ready == asked && tryFor > contact {
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
