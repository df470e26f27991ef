package admission

import (
	"math"
	"time"
)

const (
	// shareMemory is the time in which counts of requests lose 63% of their weight.
	shareMemory = 10 * time.Second
	// shareDecayInterval is the time between two updates of the decaying counts.
	shareDecayInterval = 200 * time.Millisecond
	// maxShares is the number of tenants, and of kinds, that are tracked; the least used one makes room for another.
	maxShares = 128
	// minShareCount is the count below which a tenant or kind is not tracked any more.
	minShareCount = 0.05
	// overservedRatio is the multiple of the requests due to a tenant from which it yields to others, and overservedMargin
	// the number of requests by which it may exceed them: a small tenant is due less than one.
	overservedRatio  = 1.25
	overservedMargin = 1.0
	// underservedRatio is the fraction of the average share of requests that got a slot below which a kind does not yield, and
	// minKindRequests the number of requests from which its share is known.
	underservedRatio = 0.25
	minKindRequests  = 4
)

// share counts requests of one tenant or kind that had to wait or were refused.
type share struct {
	granted, refused float64 // decaying counts
	weight           float64 // the tenant's part, in any unit common to all tenants; kinds have none
}

// shares tracks what tenants and kinds get while requests wait for slots. A tenant is due requests in proportion to its
// weight; a kind is due the same share of its requests as others. It is not safe for concurrent use and does no I/O.
type shares struct {
	tenants, kinds map[string]*share
	decayedAt      time.Time
}

// grant counts a request that waited and got a slot.
func (s *shares) grant(r *Request, now time.Time) {
	s.decay(now)
	s.count(r, func(counted *share) { counted.granted++ })
}

// refuse counts a request that was refused, unless it was refused elsewhere before: each request counts once, however many
// targets it is sent to.
func (s *shares) refuse(r *Request, now time.Time) {
	s.decay(now)
	if r.Sends > 1 {
		return
	}
	s.count(r, func(counted *share) { counted.refused++ })
}

// count calls add for the shares of the request's tenant and kind.
func (s *shares) count(r *Request, add func(*share)) {
	if tenant := trackShare(&s.tenants, r.Tenant); tenant != nil {
		tenant.weight = r.TenantWeight
		add(tenant)
	}
	if kind := trackShare(&s.kinds, r.Kind); kind != nil {
		add(kind)
	}
}

// requests returns the number of requests.
func (s *share) requests() float64 { return s.granted + s.refused }

// trackShare returns the share under the name, which it adds if it is missing. It returns nil without a name.
func trackShare(byName *map[string]*share, name string) *share {
	if name == "" {
		return nil
	}
	known := (*byName)[name]
	if known != nil {
		return known
	}
	if *byName == nil {
		*byName = map[string]*share{}
	}
	if len(*byName) >= maxShares {
		delete(*byName, leastUsed(*byName))
	}
	known = &share{}
	(*byName)[name] = known
	return known
}

// leastUsed returns the name with the fewest requests, the first in order of names among equals.
func leastUsed(byName map[string]*share) string {
	least, found := "", false
	for name, s := range byName {
		if !found || s.requests() < byName[least].requests() || s.requests() == byName[least].requests() && name < least {
			least, found = name, true
		}
	}
	return least
}

// decay reduces the counts by the time since the last call.
func (s *shares) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	if elapsed < shareDecayInterval {
		return
	}
	s.decayedAt = now
	kept := math.Exp(-elapsed.Seconds() / shareMemory.Seconds())
	for _, byName := range []map[string]*share{s.tenants, s.kinds} {
		for name, counted := range byName {
			counted.granted *= kept
			counted.refused *= kept
			if counted.requests() < minShareCount {
				delete(byName, name)
			}
		}
	}
}

// assess sets for each waiter, and for extra if it is not nil, whether its tenant has got more than it is due and its kind
// too little.
func (s *shares) assess(waiters []*waiter, extra *waiter, now time.Time) {
	s.decay(now)
	if extra != nil { // others are due less from its first request on
		s.count(&extra.Request, func(*share) {})
	}
	tenants, kinds := total(s.tenants), total(s.kinds)
	assess := func(w *waiter) {
		w.overserved = s.isOverserved(w.Tenant, tenants)
		w.underserved = s.isUnderserved(w.Kind, kinds)
	}
	for _, w := range waiters {
		assess(w)
	}
	if extra != nil {
		assess(extra)
	}
}

func total(byName map[string]*share) share {
	var sum share
	for _, s := range byName {
		sum.granted += s.granted
		sum.refused += s.refused
		sum.weight += s.weight
	}
	return sum
}

// isOverserved reports whether the tenant got more requests through than it is due. A tenant without a weight is not limited,
// and nothing tells what it is due.
func (s *shares) isOverserved(name string, all share) bool {
	tenant := s.tenants[name]
	if tenant == nil || len(s.tenants) < 2 || tenant.weight == 0 {
		return false
	}
	return tenant.granted > overservedRatio*all.granted*tenant.weight/all.weight+overservedMargin
}

// isUnderserved reports whether a kind got a much smaller share of its requests through than all kinds.
func (s *shares) isUnderserved(name string, all share) bool {
	kind := s.kinds[name]
	if kind == nil || kind.requests() < minKindRequests {
		return false
	}
	return kind.granted*all.requests() < underservedRatio*all.granted*kind.requests()
}
