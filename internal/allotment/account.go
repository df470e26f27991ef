package allotment

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tenantID identifies a tenant in messages: the first tenantIDBytes of a hash of its name.
type tenantID uint64

// tenantIDBytes is the size of a tenantID in messages. Among 5,000 tenants, two have the same with a probability of 1e-5;
// they then share the allotment of one of them.
const tenantIDBytes = 5

func newTenantID(name string) tenantID {
	return tenantID(xxhash.Sum64String(name) & (1<<(8*tenantIDBytes) - 1))
}

// tally counts requests of a tenant since the last report. Admitted can be negative: returned requests are subtracted.
type tally struct {
	admitted, requested int64
}

func (t tally) plus(other tally) tally {
	return tally{t.admitted + other.admitted, t.requested + other.requested}
}

const (
	// demandTime is the time constant of the measured demand.
	demandTime = time.Second
	// spendTime is the time in which the saved tokens may be spent, and debtTime the one in which a debt is paid back. The
	// counts are known about a second late; shorter times would let the rate oscillate.
	spendTime = time.Second
	debtTime  = time.Second
	// admittedTime is the time constant of the rate of admitted requests, and reactionTime the time until a lower fraction
	// holds at the nodes: what they admit until then beyond the rate is counted in advance.
	admittedTime = 500 * time.Millisecond
	reactionTime = 500 * time.Millisecond
	// rateDeviations is the number of standard deviations by which the admitted requests must exceed the rate to be counted in
	// advance.
	rateDeviations = 2
	// maxDebt bounds a debt, in seconds of the rate. The allotment is measured in windows of 5 s; older debts don't count.
	maxDebt = 5.0
	// minDemand is the demand in requests per second below which an account with all its tokens is dropped.
	minDemand = 0.01
)

// account is the token bucket of one tenant over all nodes that report, directly or through others, to the node that holds
// it. Counts arrive after the fact, so the tokens can be negative. It is not safe for concurrent use.
type account struct {
	tokens   float64
	demand   float64 // requests per second, admitted or not
	admitted float64 // admitted requests per second
	at       time.Duration
}

// advance adds the tokens since the last call. rate is in requests per second; burst is the number of tokens that are saved.
func (a *account) advance(rate, burst float64, now time.Duration) {
	if elapsed := now - a.at; elapsed > 0 {
		a.tokens += rate * elapsed.Seconds()
		a.demand *= math.Exp(-float64(elapsed) / float64(demandTime))
		a.admitted *= math.Exp(-float64(elapsed) / float64(admittedTime))
		a.at = now
	}
	a.tokens = max(min(a.tokens, burst), -maxDebt*rate)
}

// count takes the tokens of admitted requests.
func (a *account) count(t tally) {
	a.tokens -= float64(t.admitted)
	a.demand += float64(t.requested) / demandTime.Seconds()
	a.admitted = max(0, a.admitted+float64(t.admitted)/admittedTime.Seconds())
}

// fraction returns the part of the demand that the allotment admits: 1 if it admits all.
func (a *account) fraction(rate float64) float64 {
	expected := rate + rateDeviations*math.Sqrt(rate/admittedTime.Seconds())
	tokens := a.tokens - max(0, a.admitted-expected)*reactionTime.Seconds()
	budget := rate + tokens/spendTime.Seconds()
	if tokens < 0 {
		budget = rate + tokens/debtTime.Seconds()
	}
	switch {
	case budget <= 0:
		return 0
	case a.demand <= budget:
		return 1
	}
	return budget / a.demand
}

// idle reports whether the account holds nothing that a new one wouldn't.
func (a *account) idle(saved float64) bool { return a.demand < minDemand && a.tokens >= saved }
