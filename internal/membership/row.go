package membership

import (
	"encoding/json"

	"github.com/acacialock/acacialock/internal/cluster"
)

// MembersTable is the table of the members' rows. Each node writes only its own.
const MembersTable = "members"

// Row is the value of a node's row in MembersTable; the key is the node's name.
type Row struct {
	Member cluster.Member `json:"member"`
	// Target is the boot of the target that the row speaks of.
	Target TargetBoot `json:"target"`
	// Gone is set when the target left for good. The row stays so that a restarted node still knows it.
	Gone bool `json:"gone,omitempty"`
}

// TargetBoot identifies one start of a target.
type TargetBoot struct {
	ID       string `json:"id"`
	Born     int64  `json:"born"`     // start, Unix milliseconds of the target's clock
	Sequence uint64 `json:"sequence"` // of the last check-in that the node acted on
	Slots    int    `json:"slots,omitempty"`
}

func encodeRow(row Row) []byte {
	value, err := json.Marshal(row)
	if err != nil {
		panic("membership: a row of plain fields can't be encoded: " + err.Error())
	}
	return value
}

// DecodeRow reads the value of a row of MembersTable.
func DecodeRow(value []byte) (Row, error) {
	var row Row
	err := json.Unmarshal(value, &row)
	return row, err
}
