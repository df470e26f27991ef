package entry

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// authorizationHeader and bearerScheme are the form in which callers give an API key (RFC 6750).
	authorizationHeader = "Authorization"
	bearerScheme        = "bearer"
	// maxClockDrift is the relative difference between the clocks of two machines that the bound for withdrawn keys allows for.
	maxClockDrift = 0.01
	// maxUnknownKeyAge is the age of the proof that the list is the newest below which an unknown key is refused for good: the
	// time in which a new list must be in force on every node. A key that was added longer ago is then known. In ordinary
	// operation a proof is up to 2.5 s old.
	maxUnknownKeyAge = 3 * time.Second
	// unconfirmedRetryAfter is the time after which a node that can't confirm its list may have found a new source for it: the
	// interval at which it searches for one.
	unconfirmedRetryAfter = time.Second
)

// accessRequest holds what decides whose request it is.
type accessRequest struct {
	tenants *servicelist.TenantSet
	rule    *servicelist.Rule // nil when the host names the service
	// key is the API key that the caller gave, empty if it gave none or not in the right form.
	key string
	// listAge is the time for which the list has not been known to be the newest one.
	listAge time.Duration
	// withdrawalBound is Config.KeyWithdrawalBound.
	withdrawalBound time.Duration
}

// authorize returns the tenant of a request, or nil if the list has no tenants or the rule is public. It answers withdrawn
// and new keys at nodes that are cut off from the store: no key is accepted once it may have been withdrawn for longer than
// the bound, and none is called unknown that may have been added since.
func authorize(request accessRequest) (*servicelist.Tenant, *failure.Error) {
	if request.tenants.Len() == 0 || request.rule != nil && request.rule.Public {
		return nil, nil
	}
	var tenant *servicelist.Tenant
	if request.key != "" {
		tenant = request.tenants.ByKey(request.key)
	}
	switch {
	case tenant == nil && request.listAge >= maxUnknownKeyAge:
		return nil, keysUnconfirmed(request.listAge)
	case tenant == nil:
		return nil, failure.New(failure.UnknownKey, failure.NotRun, "no tenant holds the API key, or the request has none")
	case request.withdrawalBound > 0 && request.listAge >= confirmedWithin(request.withdrawalBound):
		return nil, keysUnconfirmed(request.listAge)
	}
	return tenant, nil
}

// confirmedWithin returns the age of the last proof below which keys are accepted under a bound for withdrawn keys.
func confirmedWithin(bound time.Duration) time.Duration {
	return bound - time.Duration(maxClockDrift*float64(bound))
}

func keysUnconfirmed(age time.Duration) *failure.Error {
	failed := failure.New(failure.KeysUnconfirmed, failure.NotRun, "the list has not been known to be the newest one for %v", age.Round(time.Millisecond))
	failed.RetryAfter = unconfirmedRetryAfter
	return failed
}

// bearerKey returns the API key in a request's header, or "" if there is not exactly one credential of the form "Bearer
// KEY". The scheme's case does not matter.
func bearerKey(header http.Header) string {
	values := header[authorizationHeader]
	if len(values) != 1 {
		return ""
	}
	scheme, key, found := strings.Cut(values[0], " ")
	if key = strings.Trim(key, " "); !found || !strings.EqualFold(scheme, bearerScheme) || strings.ContainsAny(key, " \t,") {
		return ""
	}
	return key
}

// allowedRegions returns the regions that both the rule and the tenant allow, either of which may be nil, and whether they
// are restricted at all.
func allowedRegions(rule *servicelist.Rule, tenant *servicelist.Tenant) (regions []string, restricted bool) {
	if rule != nil && len(rule.AllowedRegions) > 0 {
		regions, restricted = rule.AllowedRegions, true
	}
	switch {
	case tenant == nil || len(tenant.AllowedRegions) == 0:
	case !restricted:
		regions, restricted = tenant.AllowedRegions, true
	default:
		regions = slices.DeleteFunc(slices.Clone(regions), func(region string) bool {
			return !slices.Contains(tenant.AllowedRegions, region)
		})
	}
	return regions, restricted
}

// listAge returns the time for which the list in force has not been known to be the newest one, 0 if no bound for withdrawn
// keys asks for it: nodes pass such proofs on only then. It is read before the list: a list that is put in force in between
// is at least as new as the proof.
func (h *Handler) listAge() time.Duration {
	if h.config.ListConfirmed == nil || h.config.KeyWithdrawalBound == 0 {
		return 0
	}
	return h.config.ListConfirmed()
}

// identify sets the tenant of a request and removes the API key, which is neither forwarded nor logged. peer is true for
// calls relayed by another node, which has checked the key and names the tenant.
func (h *Handler) identify(c *call, listAge time.Duration, peer bool) *failure.Error {
	header := c.request.Header
	if peer {
		return c.identifyRelayed(header.Get(wire.TenantName))
	}
	tenants := &c.snapshot.List.Tenants
	if tenants.Len() == 0 {
		return nil
	}
	key := bearerKey(header)
	delete(header, authorizationHeader)
	var failed *failure.Error
	c.tenant, failed = authorize(accessRequest{
		tenants: tenants, rule: c.rule, key: key, listAge: listAge, withdrawalBound: h.config.KeyWithdrawalBound,
	})
	if c.tenant != nil {
		h.config.Metrics.Counter("tenant.calls").Inc(1)
	}
	return failed
}

// identifyRelayed sets the tenant that another node has found. If the list in force lacks it, the call's rank and regions are
// not known here.
func (c *call) identifyRelayed(name string) *failure.Error {
	if name == "" {
		return nil
	}
	if c.tenant = c.snapshot.List.Tenants.ByName(name); c.tenant == nil {
		return failure.New(failure.KeysUnconfirmed, failure.NotRun, "list %d has no tenant %q", c.snapshot.List.Version, name)
	}
	return nil
}

// restrictRegions sets the regions that the call may be sent to. It refuses the call if none of them has a member of the
// service, or if the region in which keyed calls run is not among them.
func (c *call) restrictRegions() *failure.Error {
	regions, restricted := allowedRegions(c.rule, c.tenant)
	if !restricted {
		return nil
	}
	c.regions = regions
	if c.key != "" && !slices.Contains(regions, c.service.HomeRegion) {
		return failure.New(failure.RegionNotAllowed, failure.NotRun, "the home region %q is not among the allowed regions %q", c.service.HomeRegion, regions)
	}
	for _, member := range c.snapshot.Members[c.service.Name] {
		if slices.Contains(regions, member.Region) {
			return nil
		}
	}
	return failure.New(failure.RegionNotAllowed, failure.NotRun, "service %q has no member in the regions %q, which the rule and tenant %q allow", c.service.Name, regions, c.tenantName())
}

// leavesRegion reports whether the call must be sent to another region than that of this node. It then goes there at once and
// is not offered to free slots elsewhere.
func (c *call) leavesRegion() bool {
	return c.regions != nil && !slices.Contains(c.regions, c.snapshot.Self.Region)
}

// takeAllotment takes the call from its tenant's allotment, or returns the failure with which it is refused.
func (h *Handler) takeAllotment(c *call) *failure.Error {
	if c.tenant == nil || h.config.Allotments == nil {
		return nil
	}
	retryAfter, ok := h.config.Allotments.Admit(c.tenant)
	if !ok {
		failed := failure.New(failure.AllotmentExceeded, failure.NotRun, "tenant %q has used up its %.3g requests/s", c.tenant.Name, c.tenant.Rate)
		failed.RetryAfter = retryAfter
		return failed
	}
	c.allotted = true
	return nil
}

// returnAllotment gives a call back to its tenant's allotment if no target has received it.
func (h *Handler) returnAllotment(c *call, failed *failure.Error) {
	if c.allotted && failed != nil && failed.Outcome == failure.NotRun && c.reached == 0 {
		h.config.Allotments.Return(c.tenant)
	}
}

// priority returns the rank of the call, 0 first: that of its tenant, or else that of its rule.
func (c *call) priority() int {
	switch {
	case c.tenant != nil && !c.tenant.InheritPriority:
		return c.tenant.Priority
	case c.rule != nil:
		return c.rule.Priority
	}
	return 0
}
