// Package cluster defines the members of the system, the immutable snapshots of it that the control plane publishes to
// the data plane, and the rows of the control table.
package cluster

import (
	"slices"
	"sync/atomic"

	"github.com/acacialock/acacialock/internal/servicelist"
)

// Member is a node together with its target.
type Member struct {
	// ID has the form "name@incarnation". A node gets a new id with each restart.
	ID       string
	Service  string
	Zone     string
	Region   string
	PeerAddr string // host:port on which the node listens for peers
	Draining bool
	// FullSpeed is the highest number of concurrent requests at which the target was found not to slow down; 0 if
	// unknown.
	FullSpeed int `json:",omitempty"`
	// LinkMbps is the bandwidth of the node's network link in Mbit/s; 0 if unknown.
	LinkMbps float64 `json:",omitempty"`
}

// NodeState is the state that a node reports to operators.
type NodeState struct {
	Member      Member `json:"member"`
	Ready       bool   `json:"ready"`   // the node accepts requests from callers
	ListVersion uint64 `json:"list"`    // version of the service list in force; 0 if none
	Members     int    `json:"members"` // number of known members
	// Reader is the id of the member that reads the store on behalf of the node; empty if the node reads it itself.
	Reader    string `json:"reader,omitempty"`
	StoreLost bool   `json:"store_lost"` // the node's last read of the store failed
	InFlight  int    `json:"in_flight"`  // requests being served by the local target
	Queued    int    `json:"queued"`     // requests waiting for the local target
	// Limit is the number of requests per second that the local target accepts from all nodes together, as it states; 0: it
	// states no limit. LimitAgeMS is the time in milliseconds since it last did.
	Limit float64 `json:"limit,omitempty"`
	// CallerBytes is what callers make the process hold before their requests are placed, and CallerMemory its bound, in bytes.
	CallerBytes  int64 `json:"caller_bytes"`
	CallerMemory int64 `json:"caller_memory"`
	LimitAgeMS   int64 `json:"limit_age_ms,omitempty"`
	// ColdMS is the time in milliseconds for which the local target still warms up, as far as the node knows; 0: it does not.
	ColdMS int64 `json:"cold_ms,omitempty"`
	// EvacuatedZones are the zones whose targets get no requests, by the operators' order, sorted.
	EvacuatedZones []string `json:"evacuated_zones,omitempty"`
}

// Snapshot is the state of the system as known to a node. It is immutable once published.
type Snapshot struct {
	Self Member
	// List is the service list in force; nil until the node has one.
	List *servicelist.List
	// Members maps each service that the node needs to its members, sorted by id. It includes draining members.
	Members map[string][]Member
	// EvacuatedZones are the availability zones whose targets get no requests, by the operators' order.
	EvacuatedZones map[string]bool
}

// ListVersion returns the version of the service list, or 0 if there is none.
func (s *Snapshot) ListVersion() uint64 {
	if s.List == nil {
		return 0
	}
	return s.List.Version
}

// Service returns the named service of the list, or nil if there is no such service or no list.
func (s *Snapshot) Service(name string) *servicelist.Service {
	if s.List == nil {
		return nil
	}
	return s.List.Services[name]
}

// Candidates returns the members of a service as a balancer should see them: those in an evacuated zone are marked as
// draining. The result must not be modified.
func (s *Snapshot) Candidates(service string) []Member {
	members := s.Members[service]
	if !slices.ContainsFunc(members, func(m Member) bool { return s.EvacuatedZones[m.Zone] }) {
		return members
	}
	members = slices.Clone(members)
	for i := range members {
		members[i].Draining = members[i].Draining || s.EvacuatedZones[members[i].Zone]
	}
	return members
}

// View holds the latest snapshot. Use NewView to create one: the zero value holds no snapshot. It is safe for
// concurrent use.
type View struct{ current atomic.Pointer[Snapshot] }

// NewView returns a View that holds the given snapshot, which must not be nil.
func NewView(first *Snapshot) *View {
	view := &View{}
	view.current.Store(first)
	return view
}

// Load returns the latest snapshot. It never returns nil.
func (v *View) Load() *Snapshot { return v.current.Load() }

// Publish replaces the snapshot, which must not be modified afterwards.
func (v *View) Publish(next *Snapshot) { v.current.Store(next) }
