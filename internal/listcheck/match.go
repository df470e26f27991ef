package listcheck

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/acacialock/acacialock/internal/servicelist"
)

// checkMatches finds entries that no request uses: hidden rules, hosts that no request can name, weights of 0, services that
// no rule leads to, tenants without a key, and keys listed twice.
func (c *checker) checkMatches() {
	for _, rule := range c.list.Rules.Hidden() {
		c.add(NoEffect, "hidden-rule", ruleRef(rule, "prefix"), "a later rule has the same host %q and prefix %q", rule.Host, rule.Prefix)
	}
	used := map[string]bool{}
	for _, rule := range c.rules {
		if !isHost(rule.Host) {
			c.add(NoEffect, "impossible-host", ruleRef(rule, "host"), "no request has the host %q: it must be a name or an address without a port", rule.Host)
		}
		for i, share := range rule.Split {
			if share.Weight > 0 {
				used[share.Service] = true
				continue
			}
			ref := ruleRef(rule, "split")
			ref.Element = i + 1
			c.add(NoEffect, "zero-weight", ref, "service %q has the weight 0 and gets no requests", share.Service)
		}
	}
	if len(c.rules) > 0 { // without rules the host is the name of the service
		for _, service := range sortedServices(c.list) {
			if !used[service.Name] {
				c.add(NoEffect, "unused-service", Ref{Kind: ServiceEntry, Name: service.Name}, "no rule leads to the service")
			}
		}
	}
	c.checkKeys()
}

func (c *checker) checkKeys() {
	keys := map[*servicelist.Tenant]int{}
	for _, tenant := range c.list.Tenants.AllKeys {
		keys[tenant]++
	}
	for _, tenant := range c.tenants {
		if keys[tenant] == 0 {
			c.add(NoEffect, "tenant-without-key", tenantRef(tenant, ""), "the tenant has no key, so that no request is served as its own")
		}
	}
	for _, tenant := range c.list.Tenants.Repeated() {
		c.add(NoEffect, "repeated-key", tenantRef(tenant, "keys"), "a key occurs twice")
	}
}

// isHost reports whether a request can carry the host, as nodes compare it: without a port.
func isHost(host string) bool {
	if _, err := netip.ParseAddr(strings.Trim(host, "[]")); err == nil {
		return true
	}
	return !strings.ContainsFunc(host, func(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune(`/?#@:\`, r) })
}

// checkRegions finds allowed regions that leave a request no target.
func (c *checker) checkRegions() {
	for _, rule := range c.rules {
		c.checkRuleRegions(rule)
	}
	for _, tenant := range c.tenants {
		if len(tenant.AllowedRegions) == 0 {
			continue
		}
		if len(c.facts.Targets) > 0 && !c.anyTargetIn(tenant.AllowedRegions) {
			c.add(NoEffect, "regions-without-target", tenantRef(tenant, "allowed_regions"), "no service has a target in %q", tenant.AllowedRegions)
		}
		c.checkTenantRegions(tenant)
	}
}

func (c *checker) checkRuleRegions(rule *servicelist.Rule) {
	if c.facts.Targets == nil || len(rule.AllowedRegions) == 0 {
		return
	}
	for _, share := range rule.Split {
		if share.Weight > 0 && countIn(c.facts.Targets[share.Service], rule.AllowedRegions) == 0 {
			c.add(NoEffect, "regions-without-target", ruleRef(rule, "allowed_regions"), "service %q has no target in %q", share.Service, rule.AllowedRegions)
		}
	}
}

// checkTenantRegions finds rules that the tenant's requests can't use because no region is allowed by both.
func (c *checker) checkTenantRegions(tenant *servicelist.Tenant) {
	var names []string
	for _, rule := range c.rules {
		if !rule.Public && len(rule.AllowedRegions) > 0 && !overlap(rule.AllowedRegions, tenant.AllowedRegions) {
			names = append(names, rule.Name)
		}
	}
	if len(names) > 0 {
		c.add(NoEffect, "disjoint-regions", tenantRef(tenant, "allowed_regions"), "the tenant's requests for rules %s are always refused: no region is allowed by both", shorten(names))
	}
}

func (c *checker) anyTargetIn(regions []string) bool {
	for _, counts := range c.facts.Targets {
		if countIn(counts, regions) > 0 {
			return true
		}
	}
	return false
}

// countIn returns the number of targets in the regions; no regions: in all.
func countIn(counts map[string]int, regions []string) int {
	total := 0
	for region, count := range counts {
		if len(regions) == 0 || slices.Contains(regions, region) {
			total += count
		}
	}
	return total
}

func overlap(a, b []string) bool {
	return slices.ContainsFunc(a, func(region string) bool { return slices.Contains(b, region) })
}
