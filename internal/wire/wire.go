// Package wire defines the HTTP headers and paths used between callers and nodes and among nodes, and the encoding of
// header values.
package wire

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers that callers may send or receive.
const (
	IdempotencyKey = "Idempotency-Key"
	TimeoutMS      = "Acacialock-Timeout-Ms" // remaining time of the call, in milliseconds
	Depth          = "Acacialock-Depth"      // number of calls above this one, 0 to MaxDepth
	Attempts       = "Acacialock-Attempts"   // number of sends of the call so far, over all layers of nested calls
	Outcome        = "Acacialock-Outcome"    // a failure.Outcome: not-run, done or unknown; on refusals and failures
	Reason         = "Acacialock-Reason"     // a failure.Reason; on refusals and failures
)

// Headers between nodes. They are removed before a message goes to a caller or a target.
const (
	Service       = "Acacialock-Service"      // name of the service that is called
	AttemptHeader = "Acacialock-Attempt"      // an AttemptID, as 32 hexadecimal digits
	Incarnation   = "Acacialock-Incarnation"  // id of the member that the attempt is intended for
	Load          = "Acacialock-Load"         // a LoadSample of the target's node; see LoadSample.String
	Idempotent    = "Acacialock-Idempotent"   // "1" when the attempt may run more than once
	KeyOwner      = "Acacialock-Key-Owner"    // member id of the owner that granted the attempt
	RosterVersion = "Acacialock-Roster"       // roster version of the grant
	Rank          = "Acacialock-Rank"         // kind, priority and soft timeout; see FormatRank
	Stay          = "Acacialock-Stay"         // "1" when the node must not refuse because its target is slow or failing
	Overflow      = "Acacialock-Overflow"     // "1" when the attempt may only use a free slot and must not be queued
	CanOverflow   = "Acacialock-Can-Overflow" // "1" when the sender can offer the request to another region
	Link          = "Acacialock-Link"         // "1" when the message crosses the link between regions
	TenantName    = "Acacialock-Tenant-Name"  // name of the tenant whose API key the caller gave; the entry node sets it
)

// CurrentMember is the header with the id of the member that a node serves now. The node sets it when it refuses an
// attempt for another member id.
const CurrentMember = "Acacialock-Current-Member"

// RetryAfterMS is the header with the time in milliseconds after which a refused request may succeed. It is set on
// refusals between nodes.
const RetryAfterMS = "Acacialock-Retry-After-Ms"

// NotAfter is the header with the Unix time in milliseconds after which the target must not start the request.
const NotAfter = "Acacialock-Not-After"

// TargetDraining is the header that is "1" on a 503 response of a target that is shutting down. It is a hint to the
// target's node.
const TargetDraining = "Acacialock-Target-Draining"

// TargetCold is the header with the time in milliseconds for which the target still warms up. The target's node sets it on
// its responses to other nodes while the target is cold.
const TargetCold = "Acacialock-Target-Cold-Ms"

// TargetPace is the header with the current service time of a target in percent of its usual service time. The target sets
// it on its responses, including those of its health path.
const TargetPace = "Acacialock-Target-Pace"

// ForwardPath is the path prefix of forwarded requests on the peer listener. The original path and query follow it.
const ForwardPath = "/acacialock/v1/forward"

// FollowPath is the path under which the node that reads the store for its zone streams the tables to the other nodes.
const FollowPath = "/acacialock/v1/follow"

// AllotmentPath is the path under which a node takes the reports of other nodes about the requests of tenants.
const AllotmentPath = "/acacialock/v1/allotment"

// AllotmentLimitsPath is the path under which a node takes the limits of tenants from the node to which it reports.
const AllotmentLimitsPath = AllotmentPath + "/limits"

// StatePath is the path under which a node returns its cluster.NodeState to operators, in JSON.
const StatePath = "/acacialock/v1/state"

// RelayPath is the path prefix of keyed calls relayed to a node of the service's home region.
const RelayPath = "/acacialock/v1/relay"

// MaxDepth is the greatest depth of a nested call; see Depth.
const MaxDepth = 10

// CallFingerprint returns a digest of 16 bytes by which the reuse of an Idempotency-Key for another method or path is
// detected. The path is in its escaped form, without the query.
func CallFingerprint(method, path string) []byte {
	sum := sha256.Sum256([]byte(method + "\n" + path))
	return sum[:16]
}

// ScopedKey returns the key under which an Idempotency-Key is claimed: keys of different tenants are different keys. The
// tenant's name is empty for callers without one.
func ScopedKey(tenant, key string) string {
	if tenant == "" {
		return key
	}
	return tenant + "\x00" + key // no header value contains NUL
}

// AttemptID identifies one send of a request to one target.
type AttemptID [16]byte

// NewAttemptID returns a random attempt id.
func NewAttemptID() AttemptID {
	var id AttemptID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never fails
	return id
}

// String returns the id as 32 hexadecimal digits.
func (id AttemptID) String() string { return hex.EncodeToString(id[:]) }

// ParseAttemptID decodes 32 hexadecimal digits. The error is a *HeaderError.
func ParseAttemptID(text string) (AttemptID, error) {
	var id AttemptID
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(id) {
		return id, &HeaderError{Name: AttemptHeader, Value: text, Want: "32 hexadecimal digits"}
	}
	copy(id[:], raw)
	return id, nil
}

// LoadSample is the load of a target, as reported by its node.
type LoadSample struct {
	InFlight int           // requests at the target
	Queued   int           // requests waiting for a slot
	Latency  time.Duration // estimated time to the end of the response at that load, rounded to microseconds
	Draining bool          // the target is draining and gets no new requests
}

// String encodes the sample as "inflight,queued,latency in microseconds,draining".
func (s LoadSample) String() string {
	draining := 0
	if s.Draining {
		draining = 1
	}
	return fmt.Sprintf("%d,%d,%d,%d", s.InFlight, s.Queued, s.Latency.Microseconds(), draining)
}

// ParseLoadSample decodes the result of LoadSample.String. The error is a *HeaderError.
func ParseLoadSample(text string) (LoadSample, error) {
	fields := strings.Split(text, ",")
	invalid := &HeaderError{Name: Load, Value: text, Want: "four non-negative integers separated by commas"}
	if len(fields) != 4 {
		return LoadSample{}, invalid
	}
	var numbers [4]int64
	for i, field := range fields {
		number, err := strconv.ParseInt(field, 10, 32)
		if err != nil || number < 0 {
			return LoadSample{}, invalid
		}
		numbers[i] = number
	}
	return LoadSample{
		InFlight: int(numbers[0]),
		Queued:   int(numbers[1]),
		Latency:  time.Duration(numbers[2]) * time.Microsecond,
		Draining: numbers[3] != 0,
	}, nil
}

// FormatRank encodes the scheduling parameters of a request as "priority,soft timeout in milliseconds,kind". The kind is
// the key by which service times are tracked. The soft timeout is the time until the soft deadline; 0 or less: it has
// passed.
func FormatRank(kind string, priority int, softTimeout time.Duration) string {
	return fmt.Sprintf("%d,%d,%s", priority, softTimeout.Milliseconds(), kind)
}

// ParseRank decodes the result of FormatRank. The error is a *HeaderError.
func ParseRank(text string) (kind string, priority int, softTimeout time.Duration, err error) {
	invalid := &HeaderError{Name: Rank, Value: text, Want: "a priority, milliseconds and a kind, separated by commas"}
	fields := strings.SplitN(text, ",", 3)
	if len(fields) != 3 {
		return "", 0, 0, invalid
	}
	priority, err = strconv.Atoi(fields[0])
	ms, msErr := strconv.ParseInt(fields[1], 10, 32)
	if err != nil || msErr != nil {
		return "", 0, 0, invalid
	}
	return fields[2], priority, time.Duration(ms) * time.Millisecond, nil
}

// ParseTimeout returns the value of the TimeoutMS header; 0: it is absent. The error is a *HeaderError.
func ParseTimeout(header http.Header) (time.Duration, error) {
	text := header.Get(TimeoutMS)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, &HeaderError{Name: TimeoutMS, Value: text, Want: "a positive integer of milliseconds"}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// ParseDepth returns the value of the Depth header; 0: it is absent. The error is a *HeaderError.
func ParseDepth(header http.Header) (int, error) {
	text := header.Get(Depth)
	if text == "" {
		return 0, nil
	}
	depth, err := strconv.Atoi(text)
	if err != nil || depth < 0 {
		return 0, &HeaderError{Name: Depth, Value: text, Want: "a non-negative integer"}
	}
	return depth, nil
}

// HeaderError reports a header with an invalid value. Want describes the valid values.
type HeaderError struct {
	Name, Value, Want string
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: value %q is not %s", e.Name, e.Value, e.Want)
}
