// Package keys makes calls with an Idempotency-Key run at most once. The members of a service's roster agree on the
// owner of each key through one table row; owners and runners hold the records in memory.
package keys

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// States of a roster member.
const (
	StateActive  = "active"
	StateLeaving = "leaving"
)

// Roster is the value of a service's roster row. A Roster is immutable once it is shared.
type Roster struct {
	Service string `json:"service"`
	Version uint64 `json:"version"` // raised when a member joins, leaves or is lost
	Commit  uint64 `json:"commit"`  // raised by each commit; the index row holds the same number
	// Members is sorted by id.
	Members []Member     `json:"members"`
	Lost    []LostMember `json:"lost,omitempty"`
	// Quorums holds the member sets of the last version that every member activated and of each later version.
	Quorums []Quorum `json:"quorums"`
	// Solo names the member that was the only active one since the last version that every member activated.
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
	Since    uint64 `json:"since"`             // roster version since which it has been active without a break
	Suspect  uint64 `json:"suspect,omitempty"` // commit that marked it; 0: not suspect
}

// LostMember is a member that was removed without a handover.
type LostMember struct {
	ID     string `json:"id"`
	Joined uint64 `json:"joined"`
	Lost   uint64 `json:"lost"`            // first roster version without it
	Alone  bool   `json:"alone,omitempty"` // no other member held its records
}

// Quorum is the member set of one roster version.
type Quorum struct {
	Version uint64   `json:"version"`
	Members []string `json:"members"`
}

func parseRoster(value []byte) (*Roster, error) {
	roster := &Roster{}
	if err := json.Unmarshal(value, roster); err != nil {
		return nil, &RosterError{Cause: err}
	}
	return roster, nil
}

// RosterError reports a roster row that can't be read.
type RosterError struct{ Cause error }

// Error implements error.
func (e *RosterError) Error() string { return "keys: the roster row is not valid: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RosterError) Unwrap() error { return e.Cause }

// encode returns the row's value. Marshalling plain structs of strings and numbers can't fail.
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

// member returns the member with that id, or nil.
func (r *Roster) member(id string) *Member {
	i, found := slices.BinarySearchFunc(r.Members, id, func(m Member, id string) int { return strings.Compare(m.ID, id) })
	if !found {
		return nil
	}
	return &r.Members[i]
}

// lost reports whether the roster shows the member as removed without a handover.
func (r *Roster) lost(id string) bool {
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

// Active returns the active members, sorted by id: the possible runners of keyed calls.
func (r *Roster) Active() []Member {
	active := make([]Member, 0, len(r.Members))
	for _, m := range r.Members {
		if m.State == StateActive {
			active = append(active, m)
		}
	}
	return active
}

func rank(id, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(id) // never fails
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// outranks orders members by rendezvous hashing; equal hashes are decided by id.
func outranks(idA, idB, key string) bool {
	a, b := rank(idA, key), rank(idB, key)
	return a > b || a == b && idA > idB
}

// holders returns the two highest-ranked active members for the key; the first is its owner. Either may be nil.
func (r *Roster) holders(key string) (owner, second *Member) {
	var high, next uint64
	for i := range r.Members {
		m := &r.Members[i]
		if m.State != StateActive {
			continue
		}
		value := rank(m.ID, key)
		switch {
		case owner == nil || value > high || value == high && m.ID > owner.ID:
			owner, second, high, next = m, owner, value, high
		case second == nil || value > next || value == next && m.ID > second.ID:
			second, next = m, value
		}
	}
	return owner, second
}

// Owner returns the owner of the key, or nil when no member is active.
func (r *Roster) Owner(key string) *Member {
	owner, _ := r.holders(key)
	return owner
}

// Runners returns the active members that may run a request with the key: all but the owner, unless it is alone.
func (r *Roster) Runners(key string) []Member {
	active := r.Active()
	owner := r.Owner(key)
	if len(active) < 2 {
		return active
	}
	return slices.DeleteFunc(active, func(m Member) bool { return m.ID == owner.ID })
}

// holds reports whether the member is one of the two holders of the key.
func (r *Roster) holds(id, key string) bool {
	owner, second := r.holders(key)
	return owner != nil && owner.ID == id || second != nil && second.ID == id
}

func (r *Roster) memberIDs() []string {
	ids := make([]string, len(r.Members))
	for i := range r.Members {
		ids[i] = r.Members[i].ID
	}
	return ids
}

// majorityOf reports whether the roster's members are a strict majority of the set.
func (r *Roster) majorityOf(set []string) bool {
	present := 0
	for _, id := range set {
		if r.member(id) != nil {
			present++
		}
	}
	return present*2 > len(set)
}
