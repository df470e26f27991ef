package allotment

import (
	"math"
	"time"

	"github.com/acacialock/acacialock/internal/servicelist"
)

const (
	// maxRetryAfter bounds the time that a refused caller is told to wait, and minRetryAfter is its least value.
	maxRetryAfter = time.Minute
	minRetryAfter = 20 * time.Millisecond
	// gateIdleTime is the time without requests after which a gate is dropped.
	gateIdleTime = 10 * time.Second
	// refusalPause is the time without refusals after which a tenant counts as no longer limited at the node.
	refusalPause = 5 * time.Second
)

// limit is what the node that holds the account of a tenant says to the others.
type limit struct {
	fraction float64 // part of the demand that is admitted, below 1
	tokens   float64 // tokens of the account; negative: debt
	demand   float64 // requests per second over all nodes
}

// gate admits the requests of one tenant at one node. It has a bucket of its own, so that no node admits more than the
// whole allotment of the nodes that it knows to count together, and admits the fraction of the demand that the account
// grants. The fraction is taken of the requests in their order and not of time: nodes need not know the demand of the
// others, and the sum over many nodes with few requests each is exact. It is not safe for concurrent use.
type gate struct {
	tenant     *servicelist.Tenant // as of the last request
	tokens     float64
	at         time.Duration
	share      float64       // of an admitted request that the fraction has granted so far
	demand     float64       // requests per second at this node
	returnable int           // admitted requests that can still be returned
	refused    int64         // requests in a row of refusals without a pause of refusalPause
	refusedAt  time.Duration // of the last refusal
	lastAt     time.Duration
}

// newGate returns a gate that holds the given number of requests. share is random in [0, 1), so that nodes that are limited
// at the same moment don't admit or refuse their first request all together.
func newGate(tenant *servicelist.Tenant, tokens, share float64, now time.Duration) *gate {
	return &gate{tenant: tenant, tokens: tokens, share: share, at: now, lastAt: now}
}

// refill adds the tokens since the last call. part is the part of the allotment that this node and those that it counts
// with may use.
func (g *gate) refill(part float64, now time.Duration) {
	if elapsed := now - g.at; elapsed > 0 {
		g.tokens += g.tenant.Rate * part * elapsed.Seconds()
		g.demand *= math.Exp(-float64(elapsed) / float64(demandTime))
		g.at = now
	}
	g.tokens = min(g.tokens, burst(g.tenant, part))
}

// minBurstTime is the time whose requests are saved up at least. Without it, a tenant with no burst would be refused
// whenever two of its requests arrive together.
const minBurstTime = 200 * time.Millisecond

// burst returns the number of requests that are saved up for the part of the allotment.
func burst(tenant *servicelist.Tenant, part float64) float64 {
	return max(1, max(tenant.Burst, tenant.Rate*minBurstTime.Seconds())*part)
}

// admit takes a request. limited is nil if the account admits the whole demand.
func (g *gate) admit(
	tenant *servicelist.Tenant, part float64, limited *limit, now time.Duration,
) (retryAfter time.Duration, ok bool) {
	g.tenant = tenant
	g.refill(part, now)
	g.lastAt = now
	g.demand += 1 / demandTime.Seconds()
	if limited != nil {
		g.share = min(g.share+limited.fraction, 2)
	}
	if wait := g.wait(part, limited); wait > 0 {
		g.refused++
		g.refusedAt = now
		return min(max(wait, minRetryAfter), maxRetryAfter), false
	}
	g.tokens--
	g.returnable++
	if limited != nil {
		g.share--
	}
	return 0, true
}

// wait returns the expected time until the gate admits a request; 0: now.
func (g *gate) wait(part float64, limited *limit) time.Duration {
	var seconds float64
	if g.tokens < 1 {
		seconds = (1 - g.tokens) / (g.tenant.Rate * part)
	}
	if limited != nil && g.share < 1 {
		// While a debt is paid back, the fraction that follows is not known; the node's demand bounds it.
		granted := g.demand
		if limited.fraction > 0 {
			granted *= limited.fraction
		}
		seconds = max(seconds, max(-limited.tokens, 0)/g.tenant.Rate+(1-g.share)/granted)
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// giveBack returns an admitted request. It returns false if there is none to return: credit must not arise from returns.
func (g *gate) giveBack(part float64) bool {
	if g.returnable == 0 {
		return false
	}
	g.returnable--
	g.tokens = min(g.tokens+1, burst(g.tenant, part))
	return true
}
