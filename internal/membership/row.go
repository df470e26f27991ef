package membership

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

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
	// Era is the era of the store in which the node wrote the row, see platform.EraVersion. A row of an earlier one comes from
	// the copy.
	Era uint64 `json:"era,omitempty"`
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

const (
	// maxLinkMbps is 1 Tbit/s. The fastest member of a region reads the store for the others, so that an absurd value would
	// make a node of another writer the first choice of all.
	maxLinkMbps = 1e6
	// maxRequests bounds the slots and the concurrency of a target.
	maxRequests = 1 << 20
)

// RowError reports a field of a member row that no node writes.
type RowError struct{ Key, Field, Value, Want string }

// Error implements error.
func (e *RowError) Error() string {
	return fmt.Sprintf("member row %q: %s is %q, want %s", e.Key, e.Field, abbreviate(e.Value), e.Want)
}

// maxLoggedValue is the greatest length in bytes of a value in an error.
const maxLoggedValue = 64

func abbreviate(value string) string { return value[:min(len(value), maxLoggedValue)] }

// DecodeRow decodes the JSON value of a row of MembersTable. Rows of other writers may hold anything; one that this node could
// not use as written is a *RowError.
func DecodeRow(key string, value []byte) (Row, error) {
	var row Row
	if err := json.Unmarshal(value, &row); err != nil {
		return Row{}, err
	}
	if err := row.validate(key); err != nil {
		return Row{}, err
	}
	return row, nil
}

func (r *Row) validate(key string) error {
	member := r.Member
	name, incarnation, _ := strings.Cut(member.ID, "@")
	addr, addrErr := netip.ParseAddrPort(member.PeerAddr)
	for _, check := range []struct {
		valid              bool
		field, value, want string
	}{
		{name == key && incarnation != "", "member.ID", member.ID, "the key, @ and an incarnation"},
		{isHeaderValue(member.ID), "member.ID", member.ID, "printable ASCII"},
		{member.Service != "" && isHeaderValue(member.Service), "member.Service", member.Service, "printable ASCII"},
		{addrErr == nil && addr.Port() != 0, "member.PeerAddr", member.PeerAddr, "IP:port"},
		{member.LinkMbps >= 0 && member.LinkMbps <= maxLinkMbps, "member.LinkMbps", strconv.FormatFloat(member.LinkMbps, 'g', -1, 64), "0 to 1e6"},
		{member.FullSpeed >= 0 && member.FullSpeed <= maxRequests, "member.FullSpeed", strconv.Itoa(member.FullSpeed), "0 to 2^20"},
		{r.Target.Slots >= 0 && r.Target.Slots <= maxRequests, "target.slots", strconv.Itoa(r.Target.Slots), "0 to 2^20"},
	} {
		if !check.valid {
			return &RowError{key, check.field, check.value, check.want}
		}
	}
	return nil
}

// isHeaderValue reports whether the text can be sent in a header unchanged.
func isHeaderValue(text string) bool {
	return strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
