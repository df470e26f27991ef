// Package servicelist holds the operators' service list: its TOML form, its checks and its immutable typed form.
package servicelist

import "time"

// List is a checked service list. It is immutable.
type List struct {
	// Version is the version under which the list was accepted; 0 for a list that was not.
	Version uint64
	// Text is the TOML text as the operators wrote it.
	Text      []byte
	Measuring Measuring
	Services  map[string]*Service
	// Rules choose the service of a request by host and path. Without rules the host names the service.
	Rules        RuleSet
	CallerLimits CallerLimits
}

// Measuring is the budget for measuring and control traffic of one node.
type Measuring struct {
	RegionBytesPerSecond int // within the region; default 14000
	LinkBytesPerSecond   int // across the link between regions; default 1000
}

// Service is one entry of the list. It is immutable.
type Service struct {
	Name       string
	DependsOn  []string
	HomeRegion string        // region whose nodes run calls with an Idempotency-Key; empty: such calls are refused
	Timeout    time.Duration // for a call without a timeout of its own; default 10 s
	// HealthPath is where targets tell their health and their pace; empty: nowhere.
	HealthPath string
	// ResendWindow is the time in which a repeated Idempotency-Key gets the first run's answer; default 10 min.
	ResendWindow time.Duration
	Idempotent   []Route
	Limits       Limits
	Retry        Retry
}

// Route matches requests by method and path prefix. An empty method matches every method.
type Route struct {
	Method     string
	PathPrefix string
}

// Limits are the hard limits of each target of a service.
type Limits struct {
	Slots       int // requests at the target at once; default 9
	Connections int // connections to the target at once; default 260
	Queue       int // requests waiting for a slot at the target's node; default 9
}

// Retry bounds repeated sends.
type Retry struct {
	BudgetPercent int // retries per 100 first attempts; default 10
	HedgePercent  int // hedges per 100 first attempts; default 5; 0 turns hedging off
	// SharedBurst is the number of retries that all nodes together may send at once beyond the share; 0: each node may
	// send the default of package budget.
	SharedBurst int
}

// IdempotentCall reports whether a call may run more than once: GET, HEAD, OPTIONS, TRACE and the routes listed.
func (s *Service) IdempotentCall(method, path string) bool {
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
