package listcheck

import "github.com/acacialock/acacialock/internal/servicelist"

// addedHeaderBytes is the greatest size of the headers that a node adds to a request for a target, besides the tenant's name:
// request id, time that remains, calling service, expected target, and the name of the tenant's header.
const addedHeaderBytes = 280

// checkLimits finds limits that contradict each other.
func (c *checker) checkLimits() {
	for _, rule := range c.rules {
		c.checkRuleLimits(rule)
	}
	for _, tenant := range c.tenants {
		switch {
		case tenant.Rate > 0 && tenant.Burst < tenant.Rate:
			c.add(Contradiction, "burst-below-rate", tenantRef(tenant, "burst"), "burst %v is below the requests of one second at rate %v: requests that come unevenly within a second are refused before the rate is reached", tenant.Burst, tenant.Rate)
		case tenant.Rate == 0 && tenant.Burst > 0:
			c.add(Contradiction, "burst-without-rate", tenantRef(tenant, "burst"), "burst %v has no effect: without a rate there is no limit", tenant.Burst)
		}
	}
	if limit, added := c.list.CallerLimits.MaxHeaderBytes, c.addedHeaderBytes(); limit > 0 && limit < added {
		c.add(Contradiction, "small-header-limit", Ref{Kind: CallersEntry, Field: "max_header_bytes"}, "a header of %d bytes is below the %d bytes that nodes add to a request: a target that passes them on in its calls is refused", limit, added)
	}
	if c.facts.Grace > 0 && c.facts.DrainTimeout > c.facts.Grace {
		c.add(Contradiction, "drain-above-grace", Ref{Kind: SettingsEntry, Field: "drain_timeout"}, "the node's drain_timeout of %v is longer than the grace of %v: it is killed with requests in flight", c.facts.DrainTimeout, c.facts.Grace)
	}
}

func (c *checker) checkRuleLimits(rule *servicelist.Rule) {
	if rule.TargetLatency > rule.Timeout {
		c.add(Contradiction, "target-latency-above-timeout", ruleRef(rule, "target_latency"), "the time to the full value, %v, is above the timeout of %v", rule.TargetLatency, rule.Timeout)
	}
	if c.facts.DrainTimeout > 0 && rule.Timeout > c.facts.DrainTimeout {
		c.add(Contradiction, "timeout-above-drain", ruleRef(rule, "timeout"), "the timeout of %v is longer than the node's drain_timeout of %v: a stopping node breaks such requests off", rule.Timeout, c.facts.DrainTimeout)
	}
	if c.facts.Targets == nil {
		return
	}
	for _, share := range rule.Split {
		targets := countIn(c.facts.Targets[share.Service], rule.AllowedRegions)
		if share.Weight > 0 && targets > 0 && rule.MaxAttempts > targets {
			c.add(Contradiction, "attempts-above-targets", ruleRef(rule, "max_attempts"), "%d attempts are more than the %d targets of service %q", rule.MaxAttempts, targets, share.Service)
		}
	}
}

func (c *checker) addedHeaderBytes() int {
	longest := 0
	for _, tenant := range c.tenants {
		longest = max(longest, len(tenant.Name))
	}
	return addedHeaderBytes + longest
}
