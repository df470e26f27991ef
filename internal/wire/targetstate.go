package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TargetStatus is the header between nodes with what a target states about itself on its responses; see TargetState.String.
// The node beside the target sets it on its responses while there is something to tell. The receivers return it with their
// requests to that node, which may have restarted meanwhile.
const TargetStatus = "Acacialock-Target-Status"

// maxStateAge is the greatest age in a TargetState. An older statement is of no use.
const maxStateAge = time.Hour

// TargetState is what a target stated about itself.
type TargetState struct {
	Limit   float64 // requests per second that the target accepts from all nodes together; 0: it names no limit
	Leaving bool    // the target shuts down
	Age     time.Duration
	Boot    string // identifies the start of the target, see BootDigest; empty: not known
}

// maxBootLength is the length of a BootDigest.
const maxBootLength = 16

// BootDigest returns a short form of the identity of a target's start, which may hold characters that no header can.
func BootDigest(targetID string, startedAt int64) string {
	return strconv.FormatUint(xxhash.Sum64String(targetID+"/"+strconv.FormatInt(startedAt, 10)), 16)
}

// IsZero reports whether the target stated nothing.
func (s TargetState) IsZero() bool { return s.Limit == 0 && !s.Leaving }

// String encodes the state as "limit,leaving,age in milliseconds,boot".
func (s TargetState) String() string {
	leaving := 0
	if s.Leaving {
		leaving = 1
	}
	return fmt.Sprintf("%s,%d,%d,%s", strconv.FormatFloat(s.Limit, 'f', -1, 64), leaving, s.Age.Milliseconds(), s.Boot)
}

// ParseTargetState decodes the result of TargetState.String. The error is a *HeaderError.
func ParseTargetState(text string) (TargetState, error) {
	fields := strings.SplitN(text, ",", 4)
	invalid := &HeaderError{Name: TargetStatus, Value: text[:min(len(text), maxLimitLength)], Want: "a limit, 0 or 1, milliseconds and a boot, separated by commas"}
	if len(fields) != 4 || fields[1] != "0" && fields[1] != "1" || len(fields[3]) > maxBootLength || strings.Trim(fields[3], "0123456789abcdef") != "" {
		return TargetState{}, invalid
	}
	limit, ok := parseDecimal(fields[0])
	age, err := strconv.ParseUint(fields[2], 10, 32)
	if !ok || err != nil || time.Duration(age)*time.Millisecond > maxStateAge {
		return TargetState{}, invalid
	}
	return TargetState{Limit: limit, Leaving: fields[1] == "1", Age: time.Duration(age) * time.Millisecond, Boot: fields[3]}, nil
}
