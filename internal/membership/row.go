package membership

import (
	"encoding/json"

	"github.com/acacialock/acacialock/internal/cluster"
)

// MembersTable is the store's table of member rows. Each node writes only its own row.
const MembersTable = "members"

// Row is the value of a node's row in MembersTable; the key is the node's name.
type Row struct {
	Member cluster.Member `json:"member"`
	// Target is the start of the target that the row describes.
	Target TargetStart `json:"target"`
	// Leaving is set when the target drains only because it states on its responses that it leaves, which it may withdraw.
	Leaving bool `json:"leaving,omitempty"`
	// Departed is set when the target has left permanently. The row is retained so that a restarted node still knows it.
	Departed bool `json:"gone,omitempty"`
}

// TargetStart identifies one start of a target, as reported by the target's check-ins.
type TargetStart struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"born"`     // start time in Unix milliseconds, by the target's clock
	Sequence  uint64 `json:"sequence"` // sequence number of the last check-in that the node applied
	Slots     int    `json:"slots,omitempty"`
}

func encodeRow(row Row) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic("membership: encode member row: " + err.Error())
	}
	return value
}

// DecodeRow decodes the JSON value of a row of MembersTable.
func DecodeRow(value []byte) (Row, error) {
	var row Row
	err := json.Unmarshal(value, &row)
	return row, err
}
