package main

import (
	"fmt"
	"net/http"
	"time"
)

// callerName checks UNASKED: the Acacialock-Caller-Service of each request that runs is the service of the machine where the
// request began.
func callerName(s *site, trouble bool) ([]string, error) {
	s.store.put("op", "config", desiredState(1, salesServices, salesRoutes))
	if err := smallSite(s, 20*time.Millisecond); err != nil {
		return nil, err
	}
	header := "Connection: keep-alive\r\n"
	if trouble {
		header = "Connection: keep-alive, Acacialock-Caller-Service\r\n"
	}
	began := map[string]string{} // service of the machine by request id
	for range 5 {
		for _, n := range s.nodes {
			for _, target := range []struct{ method, path, body string }{{http.MethodPost, "/pufi791/2f", "lot=7"}, {http.MethodGet, "/volo102/2f", ""}} {
				id := newID("c")
				began[id] = n.service
				got := consumer{outbound: n.outbound, deadline: 4 * time.Second}.send(target.method, target.path, id, header, target.body)
				s.record.printf("%s %s %s sent to machine %s (%s) with %q: %v", target.method, target.path, id, n.name, n.service, header, got)
			}
		}
	}
	var breaks []string
	for id, service := range began {
		for _, r := range s.runs()[id] {
			s.record.printf("request %s runs at worker %s with Acacialock-Caller-Service %q", id, r.worker, r.caller)
			if len(r.caller) != 1 || r.caller[0] != service {
				breaks = append(breaks, fmt.Sprintf("UNASKED: worker %s ran request %s with Acacialock-Caller-Service %q; it began on a machine of %s",
					r.worker, id, r.caller, service))
			}
		}
	}
	return breaks, nil
}
