package allotment

import (
	"time"

	"github.com/acacialock/acacialock/internal/servicelist"
)

// keeping reports whether this node keeps accounts.
func (s *state) keeping() bool { return s.accounts != nil }

// alone reports whether this node keeps accounts for no other node. Its gates then hold its part exactly.
func (s *state) alone() bool {
	return s.keeping() && len(s.senders) == 0
}

// part returns the part of the allotments that the nodes may use that this node knows to count together.
func (s *state) part() float64 {
	if !s.keeping() {
		return 1
	}
	return min(1, float64(s.nodes()+s.peerNodes())/float64(s.size))
}

// ownPart returns the part of all nodes whose counts this node reports.
func (s *state) ownPart() float64 { return min(1, float64(s.nodes())/float64(s.size)) }

// nodes returns the number of nodes whose counts this node reports, and peerNodes that of the other regions' reports.
func (s *state) nodes() int {
	sum := 1
	for _, from := range s.senders {
		if from.scope != scopePeer {
			sum += from.nodes
		}
	}
	return sum
}

func (s *state) peerNodes() (sum int) {
	for _, from := range s.senders {
		if from.scope == scopePeer {
			sum += from.nodes
		}
	}
	return sum
}

// allotment returns the rate and the burst of the tenant that the accounts of this node may admit.
func (s *state) allotment(tenant *servicelist.Tenant, part float64) (rate, saved float64) {
	rate, saved = tenant.Rate*part, burst(tenant, part)+slackBurst*part
	if part < 1 && part >= minPartNodes && rate < smallRate {
		rate, saved = min(tenant.Rate, rate+extraRate), min(burst(tenant, 1)+slackBurst, saved+extraBurst)
	}
	return rate, saved
}

// settle adapts the state to the time: senders and the parent may have fallen silent.
func (s *state) settle(now time.Duration) {
	if now-s.settledAt >= suspendTime && s.keeping() {
		s.accounts = nil // others have kept the accounts since
		s.limits = map[tenantID]limit{}
	}
	s.settledAt = now
	for name, from := range s.senders {
		if now >= from.validTo {
			delete(s.senders, name)
		}
	}
	if len(s.senders) > 0 && s.parent.urgent && s.parent.overdue(now) {
		s.parent.suspect = true
	}
	for _, peer := range s.peers {
		if peer.urgent && peer.overdue(now) {
			s.dropPeer(peer.to)
		}
	}
	switch fresh := s.parent.fresh(now); {
	case fresh && s.keeping():
		s.accounts, s.limits = nil, map[tenantID]limit{}
		s.peers = map[string]*link{}
		s.followingSince = now
		s.changes++
	case !fresh && !s.keeping():
		s.beginKeeping(now)
	}
	if !s.parent.counted(now) && !s.parent.busy {
		s.parent.forget(now)
	}
	if alone := s.alone(); alone != s.wasAlone {
		if s.wasAlone = alone; alone {
			s.enterAlone(now)
		}
	}
	if s.keeping() {
		s.compute(now)
	}
}

// beginKeeping begins to keep accounts. They start with the debts that the former keeper stated.
func (s *state) beginKeeping(now time.Duration) {
	s.accounts = map[tenantID]*account{}
	for id, limited := range s.limits {
		if s.tenants[id] != nil {
			s.accounts[id] = &account{tokens: min(0, limited.tokens) * s.part(), demand: limited.demand * s.part(), at: now}
		}
	}
	s.countUnacked(now)
	s.limits = map[tenantID]limit{}
	s.keepingSince, s.computedAt, s.computedPart = now, now-accountInterval, s.part()
	s.changes++
}

// countUnacked counts the requests that the former keeper of the accounts may not know of, beyond what the part of these nodes
// has brought since.
func (s *state) countUnacked(now time.Duration) {
	if !s.parent.acked {
		return
	}
	elapsed := min(now-s.parent.ackedAt, calmLifetime).Seconds()
	for id, t := range s.parent.uncounted() {
		tenant := s.tenants[id]
		if tenant == nil {
			continue
		}
		a := s.accounts[id]
		if a == nil {
			a = &account{at: now}
			s.accounts[id] = a
		}
		a.count(t)
		a.tokens = min(0, a.tokens+tenant.Rate*s.part()*elapsed)
	}
}

// enterAlone lets the gates begin with one request of each tenant at most, or with the tenant's debt.
func (s *state) enterAlone(now time.Duration) {
	s.fallbacks++
	for id, g := range s.gates {
		g.refill(s.part(), now)
		g.tokens = min(g.tokens, 1)
		if a := s.accounts[id]; a != nil {
			g.tokens = min(g.tokens, a.tokens)
		}
	}
}

// compute updates the accounts and the limits that follow from them.
func (s *state) compute(now time.Duration) {
	if now-s.computedAt < accountInterval {
		return
	}
	s.computedAt = now
	part := s.part()
	kept := min(1, part/s.computedPart) // the nodes that fell silent may use their part of the tokens
	s.computedPart = part
	clear(s.limits)
	for id, a := range s.accounts {
		if a.tokens > 0 {
			a.tokens *= kept
		}
		rate, saved := s.allotment(s.tenants[id], part)
		a.advance(rate, saved, now)
		if fraction := a.fraction(rate); fraction < 1 {
			s.limits[id] = limit{fraction, a.tokens, a.demand}
		}
		if a.idle(saved) {
			delete(s.accounts, id)
		}
	}
	s.observeLimits()
}
