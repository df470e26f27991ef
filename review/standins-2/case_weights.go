package main

import (
	"encoding/json"
	"time"
)

// weights checks CONFIG: a desired state whose weights are fractions is in force ConfigApply after its ack.
func weights(s *site, trouble bool) ([]string, error) {
	s.store.put("op", "config", desiredState(1, salesServices, salesRoutes))
	if err := smallSite(s, 20*time.Millisecond); err != nil {
		return nil, err
	}
	major, minor := json.RawMessage("90"), json.RawMessage("10")
	if trouble {
		major, minor = json.RawMessage("0.9"), json.RawMessage("0.1")
	}
	changed := []route{
		salesRoutes[0],
		{name: "bale-browse", prefix: "/lohu930/", kind: "idempotent", split: []splitOf{{"storefront", major}, {"inventory", minor}},
			timeout: 1500 * time.Millisecond, target: 800 * time.Millisecond, priority: 2},
		{name: "grade-query", prefix: "/nuga377/", kind: "idempotent", service: "inventory", timeout: 5 * time.Second, target: 2 * time.Second, priority: 2},
	}
	acked := time.Now()
	s.store.put("op", "config", desiredState(3, salesServices, changed))
	s.record.printf("the store acknowledges version 00000003: it adds /nuga377/, removes /volo102/ and splits /lohu930/ %s to %s", major, minor)
	return checkApplied(s, acked), nil
}
