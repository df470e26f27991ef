// Package wire defines the HTTP headers between callers and nodes and between nodes, with their codecs.
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
	TimeoutMS      = "Acacialock-Timeout-Ms" // time left for the call, in milliseconds
	Depth          = "Acacialock-Depth"      // calls above this one, 0 to MaxDepth
	Attempts       = "Acacialock-Attempts"   // sends of the call so far, over all layers
	Outcome        = "Acacialock-Outcome"    // not-run, done or unknown; on refusals and failures
	Reason         = "Acacialock-Reason"     // a failure.Reason; on refusals and failures
)

// Headers between nodes; removed before the caller or the target sees them.
const (
	Service       = "Acacialock-Service"
	AttemptHeader = "Acacialock-Attempt"     // 32 hexadecimal digits
	Incarnation   = "Acacialock-Incarnation" // member id for which the attempt is meant
	Load          = "Acacialock-Load"        // load sample of the target's node
	Idempotent    = "Acacialock-Idempotent"  // "1" when the attempt may run more than once
	KeyOwner      = "Acacialock-Key-Owner"   // member id of the owner that granted the attempt
	RosterVersion = "Acacialock-Roster"      // roster version of the grant
	Rank          = "Acacialock-Rank"        // kind, priority and time left for an answer of full worth; see FormatRank
	Stay          = "Acacialock-Stay"        // "1" when the entry node has no other target to try
	Overflow      = "Acacialock-Overflow"    // "1" when the attempt may only take a slot that is free
	Link          = "Acacialock-Link"        // "1" when the message crosses the paid link between regions
)

// CurrentMember is the id of the member that a node serves now; on its refusals of attempts for an earlier one.
const CurrentMember = "Acacialock-Current-Member"

// RetryAfterMS is the time in milliseconds after which a refused request may succeed; on refusals between nodes.
const RetryAfterMS = "Acacialock-Retry-After-Ms"

// NotAfter tells the target the Unix time in milliseconds after which it must not start the request.
const NotAfter = "Acacialock-Not-After"

// TargetDraining is "1" on a 503 answer of a target that shuts down; it is a hint to the target's node.
const TargetDraining = "Acacialock-Target-Draining"

// TargetPace tells on a target's answers, also on those of its health path, how long work takes there now, in percent of
// the usual time.
const TargetPace = "Acacialock-Target-Pace"

// ForwardPath is the path prefix of forwarded requests on the peer listener; the original path and query follow it.
const ForwardPath = "/acacialock/v1/forward"

// FollowPath is where nodes of a zone follow the one that reads the store for them.
const FollowPath = "/acacialock/v1/follow"

// StatePath is where a node tells operators what it knows, as cluster.NodeState in JSON.
const StatePath = "/acacialock/v1/state"

// RelayPath is the path prefix of keyed calls relayed to a node of the service's home region.
const RelayPath = "/acacialock/v1/relay"

// MaxDepth is the greatest number of nested calls.
const MaxDepth = 10

// CallFingerprint is the digest of method and path by which a reused Idempotency-Key is found. The path is in its
// escaped form, without the query.
func CallFingerprint(method, path string) []byte {
	sum := sha256.Sum256([]byte(method + "\n" + path))
	return sum[:16]
}

// AttemptID names one send of a request to one target.
type AttemptID [16]byte

// NewAttemptID returns a random attempt id.
func NewAttemptID() AttemptID {
	var id AttemptID
	_, _ = rand.Read(id[:]) // crypto/rand.Read never fails
	return id
}

// String returns 32 hexadecimal digits.
func (id AttemptID) String() string { return hex.EncodeToString(id[:]) }

// ParseAttemptID reads 32 hexadecimal digits.
func ParseAttemptID(text string) (AttemptID, error) {
	var id AttemptID
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(id) {
		return id, &HeaderError{Name: AttemptHeader, Value: text, Want: "32 hexadecimal digits"}
	}
	copy(id[:], raw)
	return id, nil
}

// LoadSample is what a target's node reports about its target.
type LoadSample struct {
	InFlight int           // requests at the target
	Queued   int           // requests waiting for a slot
	Latency  time.Duration // estimated time to the answer's end at that load, rounded to microseconds
	Draining bool
}

// String encodes the sample as "inflight,queued,latency in microseconds,draining".
func (s LoadSample) String() string {
	draining := 0
	if s.Draining {
		draining = 1
	}
	return fmt.Sprintf("%d,%d,%d,%d", s.InFlight, s.Queued, s.Latency.Microseconds(), draining)
}

// ParseLoadSample decodes the form that String gives.
func ParseLoadSample(text string) (LoadSample, error) {
	fields := strings.Split(text, ",")
	wrong := &HeaderError{Name: Load, Value: text, Want: "four non-negative integers separated by commas"}
	if len(fields) != 4 {
		return LoadSample{}, wrong
	}
	var numbers [4]int64
	for i, field := range fields {
		number, err := strconv.ParseInt(field, 10, 32)
		if err != nil || number < 0 {
			return LoadSample{}, wrong
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

// FormatRank encodes how a request ranks among others: the kind that its time is learned by, its priority, and the time in
// milliseconds until which an answer has its full worth; 0 or less: it is past.
func FormatRank(kind string, priority int, aim time.Duration) string {
	return fmt.Sprintf("%d,%d,%s", priority, aim.Milliseconds(), kind)
}

// ParseRank decodes the form that FormatRank gives.
func ParseRank(text string) (kind string, priority int, aim time.Duration, err error) {
	wrong := &HeaderError{Name: Rank, Value: text, Want: "a priority, milliseconds and a kind, separated by commas"}
	fields := strings.SplitN(text, ",", 3)
	if len(fields) != 3 {
		return "", 0, 0, wrong
	}
	priority, err = strconv.Atoi(fields[0])
	ms, msErr := strconv.ParseInt(fields[1], 10, 32)
	if err != nil || msErr != nil {
		return "", 0, 0, wrong
	}
	return fields[2], priority, time.Duration(ms) * time.Millisecond, nil
}

// ParseTimeout reads the TimeoutMS header; absent gives 0.
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

// ParseDepth reads the Depth header; absent gives 0.
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

// HeaderError reports a header whose value can't be used.
type HeaderError struct {
	Name, Value, Want string
}

// Error implements error.
func (e *HeaderError) Error() string {
	return fmt.Sprintf("header %s: value %q is not %s", e.Name, e.Value, e.Want)
}
