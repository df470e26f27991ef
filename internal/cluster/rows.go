package cluster

import "fmt"

// Keys of the table's rows. Values are JSON.
const (
	CurrentListKey = "config/current"
	RosterIndexKey = "roster-index"
	ZonePrefix     = "zone/"    // lease rows only, because leaders scan it each second
	MembersPrefix  = "members/" // members rows
	RosterPrefix   = "roster/"
	// ListObjectPrefix is followed by the version, in 20 decimal digits, and the write id of the accepted text.
	ListObjectPrefix = "config/"
	// ListHistoryPrefix is followed by the version in 20 decimal digits. The row has the same value as CurrentListKey had
	// and is committed together with it, so an object without such a row was never accepted.
	ListHistoryPrefix = "config/history/"
)

// ListObjectName is the name of the object that holds the text proposed as that version under that write id.
func ListObjectName(version uint64, writeID string) string {
	return fmt.Sprintf("%s%020d-%s", ListObjectPrefix, version, writeID)
}

// ListHistoryKey is the key of the row that records the acceptance of a version.
func ListHistoryKey(version uint64) string {
	return fmt.Sprintf("%s%020d", ListHistoryPrefix, version)
}

// LeaseKey is the key of a zone's lease row.
func LeaseKey(zone string) string { return ZonePrefix + zone + "/lease" }

// MembersKey is the key of a zone's members row.
func MembersKey(zone string) string { return MembersPrefix + zone }

// RosterKey is the key of a service's roster row.
func RosterKey(service string) string { return RosterPrefix + service }

// ListRow is the value of the row CurrentListKey.
type ListRow struct {
	Version uint64 `json:"version"`
	Object  string `json:"object"` // name of the object that holds the text
	SHA256  string `json:"sha256"` // hexadecimal digest of the text
	// AcceptedAt is the operator's clock in Unix seconds; it is shown to operators and decides nothing.
	AcceptedAt int64  `json:"accepted_at"`
	Operator   string `json:"operator"`
}

// LeaseRow is the value of a zone's lease row.
type LeaseRow struct {
	Zone           string `json:"zone"`
	Region         string `json:"region"`
	Epoch          uint64 `json:"epoch"` // goes up at each takeover
	Holder         string `json:"holder"`
	HolderAddr     string `json:"holder_addr"`
	Renewals       uint64 `json:"renewals"`
	MembersVersion uint64 `json:"members_version"`
	// Summary of the heartbeats, for operators.
	Nodes       int      `json:"nodes"`
	MinList     uint64   `json:"min_list"` // lowest service list version in force at the zone's nodes
	Behind      []string `json:"behind"`   // nodes below the newest version, at most 10
	BehindCount int      `json:"behind_count"`
	DrainingIDs []string `json:"draining,omitempty"`
	Refusals    uint64   `json:"refusals"`
}

// MembersRow is the value of a zone's members row.
type MembersRow struct {
	Zone    string   `json:"zone"`
	Version uint64   `json:"version"` // goes up with each change
	Epoch   uint64   `json:"epoch"`   // lease epoch of the writer
	Members []Member `json:"members"` // sorted by id
}

// RosterIndexRow is the value of the row RosterIndexKey.
type RosterIndexRow struct {
	// Commits holds, by service, the commit count of its roster row. It stands for the table's version of that row,
	// which is not known yet when both rows are written in one commit.
	Commits map[string]uint64 `json:"commits"`
}
