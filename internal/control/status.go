package control

import "github.com/acacialock/acacialock/internal/cluster"

// Status is a node's control state, for operators and readiness.
type Status struct {
	Self cluster.Member
	// Ready is true once the start is complete and a service list is in force.
	Ready       bool
	ListVersion uint64
	// Leader is true while the node believes that it holds the lease of its zone.
	Leader bool
	Epoch  uint64 // of the zone's lease, as last seen
	// LeaderAddr is the peer address that receives the node's heartbeats; empty when none answers.
	LeaderAddr string
	// Acting is true when LeaderAddr holds no lease and shares soft state only.
	Acting bool
	// StoreUp is false after a failed operation of the store until one succeeds.
	StoreUp bool
	Members int // in the snapshot
}
