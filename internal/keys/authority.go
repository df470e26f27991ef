package keys

import (
	"slices"
	"time"
)

// authority tracks what lets this member act: confirmations of the table and promises of members.
type authority struct {
	alive time.Time            // when the table last showed this member unmarked, at any version
	held  map[string]time.Time // end of the promises that members gave for the installed version
	given map[string]time.Time // end of the promises given to members
}

func newAuthority() authority {
	return authority{held: map[string]time.Time{}, given: map[string]time.Time{}}
}

func (a *authority) confirm(asOf time.Time) {
	if asOf.After(a.alive) {
		a.alive = asOf
	}
}

// installed forgets the promises that counted for an older version.
func (a *authority) installed() { a.held = map[string]time.Time{} }

// until is the end of the authority at the installed roster.
func (a *authority) until(cfg *Config, roster *Roster) time.Time {
	if roster.member(cfg.Self.ID) == nil {
		return time.Time{}
	}
	end := a.promisedUntil(cfg, roster)
	// A confirmation of an older version counts too: a mark on this member would have been committed after it, and the
	// member's removal waits for G after the mark.
	if confirmed := a.alive.Add(cfg.G); !a.alive.IsZero() && confirmed.After(end) {
		end = confirmed
	}
	return end
}

// promisedUntil is the end of the promises of a strict majority, this member included.
func (a *authority) promisedUntil(cfg *Config, roster *Roster) time.Time {
	if a.alive.IsZero() {
		return time.Time{}
	}
	limit := a.alive.Add(cfg.Gmax)
	needed := len(roster.Members) / 2 // others besides this member
	if needed == 0 {
		return limit
	}
	var ends []time.Time
	for id, end := range a.held {
		if id != cfg.Self.ID && roster.member(id) != nil {
			ends = append(ends, end)
		}
	}
	if len(ends) < needed {
		return time.Time{}
	}
	slices.SortFunc(ends, func(x, y time.Time) int { return y.Compare(x) })
	if end := ends[needed-1]; end.Before(limit) {
		return end
	}
	return limit
}

// promise records a promise that lasts d on the requester's clock.
func (a *authority) promise(now time.Time, requester string, d time.Duration) {
	a.given[requester] = now.Add(rateMargin(d))
}

// promisedToRemoved reports whether a promise is in force to a node that the roster shows as lost. A member that left by
// itself gave its authority up before it committed its removal, so promises to it don't count.
func (a *authority) promisedToRemoved(now time.Time, roster *Roster) bool {
	for id, end := range a.given {
		if !now.Before(end) {
			delete(a.given, id)
			continue
		}
		if roster.lost(id) {
			return true
		}
	}
	return false
}
