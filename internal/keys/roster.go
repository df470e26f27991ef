// Package keys ensures that requests with an Idempotency-Key run at most once. Each service has a roster of members in
// one table row, from which all members derive the owner of each key. Owners grant attempts, and runners send granted
// attempts to their targets; both hold the records in memory.
package keys

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// States of a roster member. An active member may own and run keys; a leaving one hands over its records.
const (
	StateActive  = "active"
	StateLeaving = "leaving"
)

// Roster is the value of a service's roster row. It must not be modified once it is shared.
type Roster struct {
	Service string `json:"service"`
	Version uint64 `json:"version"` // incremented when a member joins, starts to leave, returns, leaves or is lost
	Commit  uint64 `json:"commit"`  // incremented by each commit; the index row holds the same number
	// Members is sorted by ID.
	Members []Member     `json:"members"`
	Lost    []LostMember `json:"lost,omitempty"` // removed without a handover; kept until their records have expired
	// Quorums holds the member set of the last version that every member activated and of each later version.
	Quorums []Quorum `json:"quorums"`
	// Solo is the ID of the member that, in the last version that every member activated or in a later one, was the
	// only active member; empty: none.
	Solo string `json:"solo,omitempty"`
}

// Member is one member of a roster.
type Member struct {
	ID       string `json:"id"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	PeerAddr string `json:"peer_addr"`
	State    string `json:"state"`             // StateActive or StateLeaving
	Joined   uint64 `json:"joined"`            // roster version at which it joined
	Since    uint64 `json:"since"`             // roster version since which it has been continuously active
	Suspect  uint64 `json:"suspect,omitempty"` // number of the commit that marked it as suspect; 0: not suspect
}

// LostMember is a member that was removed without a handover of its records.
type LostMember struct {
	ID     string `json:"id"`
	Joined uint64 `json:"joined"`          // roster version at which it joined
	Lost   uint64 `json:"lost"`            // first roster version without it
	Alone  bool   `json:"alone,omitempty"` // no other member held its records
}

// Quorum is the member set of one roster version.
type Quorum struct {
	Version uint64   `json:"version"`
	Members []string `json:"members"` // member IDs
}

func parseRoster(value []byte) (*Roster, error) {
	roster := &Roster{}
	if err := json.Unmarshal(value, roster); err != nil {
		return nil, &RosterError{Cause: err}
	}
	return roster, nil
}

// RosterError reports a roster row or index row that can't be decoded.
type RosterError struct{ Cause error }

// Error implements error.
func (e *RosterError) Error() string { return "keys: the roster row is not valid: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RosterError) Unwrap() error { return e.Cause }

// encode returns the value of the roster row. Marshalling structs of strings, numbers and booleans can't fail.
func (r *Roster) encode() []byte {
	value, _ := json.Marshal(r)
	return value
}

func (r *Roster) clone() *Roster {
	next := *r
	next.Members = slices.Clone(r.Members)
	next.Lost = slices.Clone(r.Lost)
	next.Quorums = slices.Clone(r.Quorums)
	return &next
}

// member returns the member with the ID, or nil.
func (r *Roster) member(id string) *Member {
	i, found := slices.BinarySearchFunc(r.Members, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
	if !found {
		return nil
	}
	return &r.Members[i]
}

// isLost reports whether the roster lists the member as removed without a handover.
func (r *Roster) isLost(id string) bool {
	return slices.ContainsFunc(r.Lost, func(m LostMember) bool { return m.ID == id })
}

func (r *Roster) activeCount() int {
	count := 0
	for i := range r.Members {
		if r.Members[i].State == StateActive {
			count++
		}
	}
	return count
}

// Active returns the active members, sorted by ID. They are the possible runners of requests with keys.
func (r *Roster) Active() []Member {
	active := make([]Member, 0, len(r.Members))
	for _, m := range r.Members {
		if m.State == StateActive {
			active = append(active, m)
		}
	}
	return active
}

// hashScore returns the rendezvous hash of a member for a key.
func hashScore(id, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(id) // never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// outranks reports whether member A ranks before member B for the key by rendezvous hashing. Equal hashes are ordered
// by member ID.
func outranks(idA, idB, key string) bool {
	a, b := hashScore(idA, key), hashScore(idB, key)
	return a > b || a == b && idA > idB
}

// recordHolders returns the two highest-ranked active members for the key, which hold its records. The first is its
// owner. Either may be nil.
func (r *Roster) recordHolders(key string) (owner, second *Member) {
	var high, next uint64
	for i := range r.Members {
		m := &r.Members[i]
		if m.State != StateActive {
			continue
		}
		value := hashScore(m.ID, key)
		switch {
		case owner == nil || value > high || value == high && m.ID > owner.ID:
			owner, second, high, next = m, owner, value, high
		case second == nil || value > next || value == next && m.ID > second.ID:
			second, next = m, value
		}
	}
	return owner, second
}

// Owner returns the owner of the key, or nil if no member is active.
func (r *Roster) Owner(key string) *Member {
	owner, _ := r.recordHolders(key)
	return owner
}

// Runners returns the active members that may run a request with the key: all except the owner, or the owner if it is
// the only active member.
func (r *Roster) Runners(key string) []Member {
	active := r.Active()
	owner := r.Owner(key)
	if len(active) < 2 {
		return active
	}
	return slices.DeleteFunc(active, func(m Member) bool { return m.ID == owner.ID })
}

// isRecordHolder reports whether the member is one of the two record holders of the key.
func (r *Roster) isRecordHolder(id, key string) bool {
	owner, second := r.recordHolders(key)
	return owner != nil && owner.ID == id || second != nil && second.ID == id
}

func (r *Roster) memberIDs() []string {
	ids := make([]string, len(r.Members))
	for i := range r.Members {
		ids[i] = r.Members[i].ID
	}
	return ids
}

// isMajorityOf reports whether the roster's members include a strict majority of the set of member IDs.
func (r *Roster) isMajorityOf(set []string) bool {
	present := 0
	for _, id := range set {
		if r.member(id) != nil {
			present++
		}
	}
	return present*2 > len(set)
}
