package keys

import (
	"slices"
	"time"
)

// authority tracks the two grounds on which this member may act: confirmations of the roster row by the table, and
// promises of a majority of the members.
type authority struct {
	// confirmedAt maps a roster version to the time at which the table last showed that version with this member not
	// marked as suspect. The entry of the installed version covers older versions too.
	confirmedAt   map[uint64]time.Time
	lastConfirmed time.Time            // latest confirmation at any version; zero: none yet
	receivedUntil map[string]time.Time // by member ID: end of the promise it gave for the installed version
	givenUntil    map[string]time.Time // by member ID: end of the promise given to it
}

func newAuthority() authority {
	return authority{confirmedAt: map[uint64]time.Time{}, receivedUntil: map[string]time.Time{}, givenUntil: map[string]time.Time{}}
}

// confirm records that the table showed the roster version, with this member not marked, at asOf.
func (a *authority) confirm(version uint64, asOf time.Time) {
	if asOf.After(a.confirmedAt[version]) {
		a.confirmedAt[version] = asOf
	}
	if asOf.After(a.lastConfirmed) {
		a.lastConfirmed = asOf
	}
}

// onInstall carries confirmations of older versions over to the installed version and discards the promises received
// for older versions. Carrying over is safe because any suspect mark on this member was committed after those
// confirmations, and a member is removed only G after its mark.
//
// A confirmation of a newer version does not count until that version is installed, because this member may have been
// removed as lost and have joined again in between.
func (a *authority) onInstall(version uint64) {
	a.receivedUntil = map[string]time.Time{}
	for older, asOf := range a.confirmedAt {
		if older >= version {
			continue
		}
		if asOf.After(a.confirmedAt[version]) {
			a.confirmedAt[version] = asOf
		}
		delete(a.confirmedAt, older)
	}
}

// validUntil returns the time at which this member's authority at the installed roster ends; zero: it has none.
func (a *authority) validUntil(cfg *Config, roster *Roster) time.Time {
	if roster.member(cfg.Self.ID) == nil {
		return time.Time{}
	}
	end := a.promisedUntil(cfg, roster)
	if confirmed, ok := a.confirmedAt[roster.Version]; ok && confirmed.Add(cfg.G).After(end) {
		end = confirmed.Add(cfg.G)
	}
	return end
}

// promisedUntil returns the time until which a strict majority of the roster, this member included, has promised, but
// at most Gmax after the last confirmation; zero: there is no such majority.
func (a *authority) promisedUntil(cfg *Config, roster *Roster) time.Time {
	if a.lastConfirmed.IsZero() {
		return time.Time{}
	}
	limit := a.lastConfirmed.Add(cfg.Gmax)
	needed := len(roster.Members) / 2 // members other than this one
	if needed == 0 {
		return limit
	}
	var ends []time.Time
	for id, end := range a.receivedUntil {
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

// recordPromise records a promise given to the requester that lasts d on the requester's clock.
func (a *authority) recordPromise(now time.Time, requester string, d time.Duration) {
	a.givenUntil[requester] = now.Add(withDriftMargin(d))
}

// hasPromiseToLost reports whether a promise to a node that the roster lists as lost is still in force. Promises to a
// member that left by itself don't count: it ended its authority before it committed its removal. Expired promises
// are deleted.
func (a *authority) hasPromiseToLost(now time.Time, roster *Roster) bool {
	for id, end := range a.givenUntil {
		if !now.Before(end) {
			delete(a.givenUntil, id)
			continue
		}
		if roster.isLost(id) {
			return true
		}
	}
	return false
}
