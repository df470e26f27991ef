// Package cluster holds the immutable view of the system that the control goroutine publishes and traffic reads.
package cluster

import (
	"sync/atomic"

	"github.com/acacialock/acacialock/internal/servicelist"
)

// Member is one node with its target.
type Member struct {
	// ID is the node's name and incarnation, "name@incarnation"; a restarted node has a new id.
	ID       string
	Service  string
	Zone     string
	Region   string
	PeerAddr string // host:port of the peer listener
	Draining bool
	// FullSpeed is the number of requests at once up to which the target is found not to slow down; 0: not known.
	FullSpeed int `json:",omitempty"`
	// LinkMbps is the bandwidth of the node's link in Mbit/s; 0: not known.
	LinkMbps float64 `json:",omitempty"`
}

// NodeState is what a node tells operators of itself.
type NodeState struct {
	Member  Member `json:"member"`
	Ready   bool   `json:"ready"`   // callers may be sent to the node
	List    uint64 `json:"list"`    // version of the list in force; 0: none
	Members int    `json:"members"` // members known
	// Reader is the id of the member that reads the store for the node; empty: it reads it itself.
	Reader    string `json:"reader,omitempty"`
	StoreLost bool   `json:"store_lost"` // the node's last read of the store failed
	InFlight  int    `json:"in_flight"`  // requests at the local target
	Queued    int    `json:"queued"`     // requests that wait for it
}

// Snapshot is one state of the system as a node knows it. It is never changed after publication.
type Snapshot struct {
	Self Member
	// List is nil until the node knows an accepted service list.
	List *servicelist.List
	// Members holds, by service, the members that the node needs, sorted by id. Draining members are included.
	Members map[string][]Member
}

// ListVersion is the version of the list; 0: none.
func (s *Snapshot) ListVersion() uint64 {
	if s.List == nil {
		return 0
	}
	return s.List.Version
}

// Service returns the list's entry, or nil.
func (s *Snapshot) Service(name string) *servicelist.Service {
	if s.List == nil {
		return nil
	}
	return s.List.Services[name]
}

// View gives the latest snapshot. The zero value is not usable; call NewView. Safe for concurrent use.
type View struct{ current atomic.Pointer[Snapshot] }

// NewView returns a view that holds the snapshot.
func NewView(first *Snapshot) *View {
	view := &View{}
	view.current.Store(first)
	return view
}

// Load returns the latest snapshot; it is never nil.
func (v *View) Load() *Snapshot { return v.current.Load() }

// Publish replaces the snapshot.
func (v *View) Publish(next *Snapshot) { v.current.Store(next) }
