package keys

import (
	"slices"
	"time"
)

// authority tracks what lets this member act: confirmations of the table and promises of members.
type authority struct {
	// confirmed holds by roster version when the table last showed it with this member unmarked. The entry of the
	// installed version counts for older ones too.
	confirmed map[uint64]time.Time
	alive     time.Time            // the latest of these, at any version
	held      map[string]time.Time // end of the promises that members gave for the installed version
	given     map[string]time.Time // end of the promises given to members
}

func newAuthority() authority {
	return authority{confirmed: map[uint64]time.Time{}, held: map[string]time.Time{}, given: map[string]time.Time{}}
}

func (a *authority) confirm(version uint64, asOf time.Time) {
	if asOf.After(a.confirmed[version]) {
		a.confirmed[version] = asOf
	}
	if asOf.After(a.alive) {
		a.alive = asOf
	}
}

// installed carries the confirmations of older versions over to the installed one: a mark on this member would have been
// committed after them, and the member's removal waits for G after the mark. It forgets the older promises.
//
// A confirmation of a newer version does not count before that version is installed, since the member may have been lost
// and have joined again in between.
func (a *authority) installed(version uint64) {
	a.held = map[string]time.Time{}
	for older, asOf := range a.confirmed {
		if older >= version {
			continue
		}
		if asOf.After(a.confirmed[version]) {
			a.confirmed[version] = asOf
		}
		delete(a.confirmed, older)
	}
}

// until is the end of the authority at the installed roster.
func (a *authority) until(cfg *Config, roster *Roster) time.Time {
	if roster.member(cfg.Self.ID) == nil {
		return time.Time{}
	}
	end := a.promisedUntil(cfg, roster)
	if confirmed, ok := a.confirmed[roster.Version]; ok && confirmed.Add(cfg.G).After(end) {
		end = confirmed.Add(cfg.G)
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
