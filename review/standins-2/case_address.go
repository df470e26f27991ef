package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

// storeAddress checks CONFIG: after the settings files named another address of the store, a new desired state is in force
// ConfigApply after its ack.
func storeAddress(s *site, trouble bool) ([]string, error) {
	s.store.put("op", "config", desiredState(1, salesServices, salesRoutes))
	if err := smallSite(s, 20*time.Millisecond); err != nil {
		return nil, err
	}
	if trouble {
		former := s.store.addr
		if err := s.store.listen(); err != nil {
			return nil, err
		}
		s.record.printf("the store listens on %s too; the settings files name that address instead of %s", s.store.addr, former)
		for _, n := range s.nodes {
			text, err := os.ReadFile(n.file)
			if err != nil {
				return nil, err
			}
			if err := os.WriteFile(n.file, []byte(strings.ReplaceAll(string(text), former, s.store.addr)), 0o600); err != nil {
				return nil, err
			}
		}
	}
	for _, n := range s.nodes {
		_ = n.process.Process.Signal(syscall.SIGHUP)
		s.record.printf("SIGHUP to machine %s", n.name)
	}
	time.Sleep(5 * time.Second)
	if trouble {
		s.store.closeFormer()
		s.record.printf("the store no longer listens on its former address")
	}
	time.Sleep(10 * time.Second) // Contact is 4 s
	changed := append([]route{}, salesRoutes[:2]...)
	changed = append(changed, route{name: "grade-query", prefix: "/nuga377/", kind: "idempotent", service: "inventory", timeout: 5 * time.Second, target: 2 * time.Second, priority: 2})
	s.store.put("op", "config", desiredState(3, salesServices, changed))
	s.record.printf("the store acknowledges version 00000003: it adds /nuga377/ and removes /volo102/")
	return checkApplied(s, time.Now()), nil
}

// listen adds a listener; addr becomes its address.
func (s *store) listen() error {
	listener, err := net.Listen("tcp", freeAddr())
	if err != nil {
		return err
	}
	s.former, s.listener, s.addr = s.listener, listener, listener.Addr().String()
	server := &http.Server{Handler: s.handler}
	s.formerServer, s.server = s.server, server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// closeFormer closes the listener before the last one and its connections.
func (s *store) closeFormer() { _ = s.formerServer.Close() }

// checkApplied sends each machine requests that only the newest or only an older version allows, ConfigApply and more after the ack.
func checkApplied(s *site, acked time.Time) (breaks []string) {
	time.Sleep(6 * time.Second) // ConfigApply is 2.5 s
	for _, n := range s.nodes {
		c := consumer{outbound: n.outbound, deadline: 4 * time.Second}
		id := newID("g")
		got := c.send(http.MethodGet, "/nuga377/2f", id, "", "")
		s.record.printf("GET /nuga377/2f %s sent to machine %s %.1f s after the ack: %v", id, n.name, time.Since(acked).Seconds(), got)
		if got.status == http.StatusNotFound {
			breaks = append(breaks, fmt.Sprintf("CONFIG: %s was refused with 404 at machine %s though the route is there", id, n.name))
		}
		id = newID("s")
		got = c.send(http.MethodGet, "/volo102/2f", id, "", "")
		ran := len(s.runs()[id])
		s.record.printf("GET /volo102/2f %s sent to machine %s %.1f s after the ack: %v, ran %d time(s)", id, n.name, time.Since(acked).Seconds(), got, ran)
		if ran > 0 {
			breaks = append(breaks, fmt.Sprintf("CONFIG: %s ran at machine %s on a dropped route", id, n.name))
		}
	}
	return breaks
}
