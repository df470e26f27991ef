package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	revoke       = 5 * time.Second        // the bound Revoke
	sinceRevoked = 7 * time.Second        // from the ack of the withdrawal to the drill
	storeAway    = 300 * time.Millisecond // the store is away for a moment
	copyAge      = 9 * time.Second        // the copy is some seconds old, and older than the withdrawal
	rewriteDelay = 2 * time.Second        // from the return of the store to the operator's second write
)

// withdrawnKey checks CONFIG where StrictRevoke is true: a request sent later than Revoke after the ack of a desired state that took
// its key away doesn't run, at any machine.
func withdrawnKey(s *site, trouble bool) (breaks []string, err error) {
	s.revoke = "5000ms"
	held := []tenant{{"clinic-a", []string{"key-a1", "key-a2"}}, {"clinic-b", []string{"key-b1"}}}
	s.store.put("op", "config", desiredState(1, salesServices, salesRoutes, held...))
	if err := smallSite(s, 20*time.Millisecond); err != nil {
		return nil, err
	}
	var acked time.Time
	try := func(n *node) {
		id, sent := newID("k"), time.Now()
		got := consumer{outbound: n.outbound, deadline: 2 * time.Second}.send(http.MethodPost, "/pufi791/2f", id, "Authorization: Bearer key-a1\r\n", "lot=7")
		ran := len(s.runs()[id])
		if acked.IsZero() {
			s.record.printf("%s with key-a1 sent to machine %s: %v, ran %d time(s)", id, n.name, got, ran)
			return
		}
		late := sent.Sub(acked)
		s.record.printf("%s with key-a1 sent to machine %s %.2f s after the ack: %v, ran %d time(s)", id, n.name, late.Seconds(), got, ran)
		if ran > 0 && late > revoke {
			breaks = append(breaks, fmt.Sprintf("CONFIG: %s ran, sent to machine %s with a withdrawn key %.2f s after the ack", id, n.name, late.Seconds()))
		}
	}
	for _, n := range s.nodes {
		try(n)
	}
	held[0].keys = []string{"key-a2"}
	withdrawal := desiredState(3, salesServices, salesRoutes, held...)
	s.store.put("op", "config", withdrawal)
	acked = time.Now()
	s.record.printf("the store acknowledges version 00000003, which takes key-a1 away")
	time.Sleep(sinceRevoked)
	for _, n := range s.nodes {
		try(n)
	}
	restarted := s.nodes[0]
	_ = restarted.process.Process.Kill()
	_ = restarted.process.Wait()
	s.record.printf("the process of machine %s is killed", restarted.name)
	if trouble {
		s.store.setDown(true)
		time.Sleep(storeAway)
		s.store.restore(copyAge)
		s.store.setDown(false)
		s.record.printf("the store was away for %v and is back from a copy of %v ago", storeAway, copyAge)
	}
	returned, rewritten := time.Now(), !trouble
	if err := s.start(restarted); err != nil {
		return nil, err
	}
	s.record.printf("the process of machine %s is started again", restarted.name)
	for time.Since(returned) < 2*rewriteDelay {
		if !rewritten && time.Since(returned) >= rewriteDelay {
			rewritten = true
			s.store.put("op", "config", withdrawal)
			s.record.printf("the operator has written version 00000003 again")
		}
		try(restarted)
		time.Sleep(100 * time.Millisecond)
	}
	for _, n := range s.nodes {
		try(n)
	}
	return breaks, nil
}
