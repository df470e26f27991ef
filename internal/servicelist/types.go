// Package servicelist parses and validates the service list, which operators write in TOML.
package servicelist

import "time"

// List is a validated service list. It is immutable, except for the request counters of its rules.
type List struct {
	// Version is the version under which the list was accepted; 0 if it was not accepted.
	Version uint64
	// Text is the TOML text as the operators wrote it.
	Text      []byte
	Measuring Measuring
	Services  map[string]*Service
	// Rules select the service of a request by host and path. If there are none, the host is the name of the service.
	Rules        RuleSet
	CallerLimits CallerLimits
	// Tenants are the callers' organizations, which identify themselves with API keys. If there are none, requests need no key.
	Tenants TenantSet
}

// Measuring is the budget of one node for measurement and control traffic.
type Measuring struct {
	RegionBytesPerSecond int // within the region; default 14000
	LinkBytesPerSecond   int // across the link between regions; default 1000
}

// Service is one entry of the list. It is immutable.
type Service struct {
	Name       string
	DependsOn  []string
	HomeRegion string        // region whose nodes execute calls with an Idempotency-Key; if empty, such calls are refused
	Timeout    time.Duration // for a call without a timeout of its own; default 10 s
	// HealthPath is the path at which targets report their health and pace; empty if they do not.
	HealthPath string
	// ResendWindow is the time for which a repeated Idempotency-Key gets the response of the first execution; default
	// 10 min.
	ResendWindow time.Duration
	Idempotent   []Route // requests that may be executed more than once, besides those with a safe method
	Limits       Limits
	Retry        Retry
	// ColdRate is the number of requests per second that a target bears while it warms up; 0: no bound.
	ColdRate float64
}

// Route matches requests by method and path prefix. An empty method matches every method.
type Route struct {
	Method     string
	PathPrefix string
}

// Limits are the hard limits of each target of a service.
type Limits struct {
	Slots       int // maximum concurrent requests at the target; default 9
	Connections int // maximum open connections to the target; default 260
	Queue       int // maximum requests waiting for a slot at the target's node; default 9
}

// Retry limits retries and hedges.
type Retry struct {
	BudgetPercent int // maximum retries per 100 first attempts; default 10
	HedgePercent  int // maximum hedges per 100 first attempts; default 5; 0 disables hedging
	// SharedBurst is the number of retries that all nodes together may send at once beyond BudgetPercent; 0 gives each node
	// the default burst of package budget instead.
	SharedBurst int
}

// IsIdempotent reports whether a call may be executed more than once, which holds for GET, HEAD, OPTIONS and TRACE and
// for the routes in Idempotent.
func (s *Service) IsIdempotent(method, path string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	}
	for _, route := range s.Idempotent {
		if route.matches(method, path) {
			return true
		}
	}
	return false
}

func (r Route) matches(method, path string) bool {
	if r.Method != "" && r.Method != method {
		return false
	}
	return len(path) >= len(r.PathPrefix) && path[:len(r.PathPrefix)] == r.PathPrefix
}
