package cluster

import "fmt"

// Keys and key prefixes of the rows in the table, whose values are JSON, and of the objects in the object store.
const (
	CurrentListKey = "config/current" // row of type ListRow
	RosterIndexKey = "roster-index"   // row of type RosterIndexRow
	LeasePrefix    = "zone/"          // prefix of lease rows only: leaders scan it every second
	MembersPrefix  = "members/"       // prefix of members rows
	RosterPrefix   = "roster/"        // prefix of key roster rows
	// ListObjectPrefix is the prefix of the objects that hold list texts. The version, in 20 decimal digits, and the
	// write id follow it; see ListObjectName.
	ListObjectPrefix = "config/"
	// ListHistoryPrefix is the prefix of the rows of accepted list versions. The version in 20 decimal digits follows
	// it. Each row is a copy of the CurrentListKey row of its version and is committed together with it, so an object
	// without such a row was never accepted.
	ListHistoryPrefix = "config/history/"
)

// ListObjectName returns the name of the object that holds the text proposed as the given version. The write id
// distinguishes concurrent proposals of a version.
func ListObjectName(version uint64, writeID string) string {
	return fmt.Sprintf("%s%020d-%s", ListObjectPrefix, version, writeID)
}

// ListHistoryKey returns the key of the row that records the acceptance of a version.
func ListHistoryKey(version uint64) string {
	return fmt.Sprintf("%s%020d", ListHistoryPrefix, version)
}

// LeaseKey returns the key of the lease row of a zone.
func LeaseKey(zone string) string { return LeasePrefix + zone + "/lease" }

// MembersKey returns the key of the members row of a zone.
func MembersKey(zone string) string { return MembersPrefix + zone }

// RosterKey returns the key of the key roster row of a service.
func RosterKey(service string) string { return RosterPrefix + service }

// ListRow is the value of the row CurrentListKey and of the rows of the list history.
type ListRow struct {
	Version uint64 `json:"version"`
	Object  string `json:"object"` // name of the object that holds the text
	SHA256  string `json:"sha256"` // hexadecimal digest of the text
	// AcceptedAt is the time of acceptance by the operator's clock, in Unix seconds. It is for display only.
	AcceptedAt int64  `json:"accepted_at"`
	Operator   string `json:"operator"` // name of the operator who published the list
}

// LeaseRow is the value of the lease row of a zone.
type LeaseRow struct {
	Zone           string `json:"zone"`
	Region         string `json:"region"`
	Epoch          uint64 `json:"epoch"`           // incremented by each takeover
	Holder         string `json:"holder"`          // member id of the leader; empty after a release
	HolderAddr     string `json:"holder_addr"`     // peer address of the leader
	Renewals       uint64 `json:"renewals"`        // commits of the lease row after a takeover
	MembersVersion uint64 `json:"members_version"` // version in the members row

	// The fields below summarize the heartbeats of the zone for operators.
	Nodes          int      `json:"nodes"`              // nodes from which the leader has received heartbeats
	MinListVersion uint64   `json:"min_list"`           // lowest service list version in force on the nodes
	BehindIDs      []string `json:"behind"`             // ids of nodes with a version below the newest one, at most 10
	BehindCount    int      `json:"behind_count"`       // number of nodes with a version below the newest one
	DrainingIDs    []string `json:"draining,omitempty"` // ids of draining nodes
	Refusals       uint64   `json:"refusals"`           // requests refused by the nodes since their start
}

// MembersRow is the value of the members row of a zone.
type MembersRow struct {
	Zone    string   `json:"zone"`
	Version uint64   `json:"version"` // incremented by each change
	Epoch   uint64   `json:"epoch"`   // lease epoch of the leader that wrote the row
	Members []Member `json:"members"` // sorted by id
}

// RosterIndexRow is the value of the row RosterIndexKey.
type RosterIndexRow struct {
	// CommitNumbers maps each service to the commit number of its key roster row. It is used in place of the table's
	// version of that row, which is not known yet when both rows are written in one commit.
	CommitNumbers map[string]uint64 `json:"commits"`
}
