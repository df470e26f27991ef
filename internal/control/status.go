package control

import "github.com/acacialock/acacialock/internal/cluster"

// Status summarizes the control state of a node, for operators and for readiness checks.
type Status struct {
	Self cluster.Member
	// Ready is true once startup is complete and a service list is in force.
	Ready       bool
	ListVersion uint64 // of the service list in force; 0: none
	// Leader is true while the node considers itself the holder of its zone's lease.
	Leader bool
	Epoch  uint64 // last known epoch of the zone's lease
	// LeaderAddr is the peer address of the node that receives this node's heartbeats; empty if none responds.
	LeaderAddr string
	// Acting is true if the node at LeaderAddr does not hold the lease and only distributes soft state.
	Acting bool
	// StoreUp is false from a failed store operation until the next successful one.
	StoreUp bool
	Members int // number of members in the snapshot
}
