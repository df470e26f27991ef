package failure

import "net/http"

// Reason identifies why a request was refused or failed. Each reason has its own counter.
type Reason string

// Reasons of refusals and failures, as sent in the Acacialock-Reason header.
const (
	// Reasons of the entry node.
	UnknownService      Reason = "unknown-service"
	UnknownRoute        Reason = "unknown-route"
	BodyTooLarge        Reason = "body-too-large"
	HeaderTooLarge      Reason = "header-too-large"
	CallerMemoryFull    Reason = "caller-memory-full" // the heads of requests in progress take all memory that callers may use
	BadRequest          Reason = "bad-request"
	NoServiceList       Reason = "no-service-list"
	NoTarget            Reason = "no-target"
	DepthExceeded       Reason = "depth-exceeded"
	DeadlineExceeded    Reason = "deadline-exceeded"
	ConnectFailed       Reason = "connect-failed"
	ConnectionLost      Reason = "connection-lost"
	ConnectionSilent    Reason = "connection-silent"
	CallerGone          Reason = "caller-gone"
	NodeUnreachable     Reason = "node-unreachable"
	DependencyForbidden Reason = "dependency-not-declared"
	InternalError       Reason = "internal-error"     // a defect of this node; see its log
	UnknownKey          Reason = "unknown-key"        // the route needs an API key, and no tenant holds the one given
	KeysUnconfirmed     Reason = "keys-unconfirmed"   // the node can't tell whether the API key was withdrawn
	AllotmentExceeded   Reason = "allotment-exceeded" // the tenant's allotment is used up
	RegionNotAllowed    Reason = "region-not-allowed" // no target in the regions that the route and the tenant allow

	// Reasons of the target's node.
	Starting              Reason = "starting"
	Draining              Reason = "draining"
	QueueFull             Reason = "queue-full"
	DeadlineUnreachable   Reason = "deadline-unreachable"
	ConnectionLimit       Reason = "connection-limit"
	WrongIncarnation      Reason = "wrong-incarnation"
	WrongService          Reason = "wrong-service"
	DuplicateAttempt      Reason = "duplicate-attempt"
	Fenced                Reason = "fenced"
	AttemptLedgerFull     Reason = "attempt-ledger-full"
	Quarantined           Reason = "quarantined"
	TargetUnreachable     Reason = "target-unreachable"
	TargetConnectionBroke Reason = "target-connection-broke"
	TargetShed            Reason = "target-shed"
	NoLocalTarget         Reason = "no-local-target"
	WrongTarget           Reason = "wrong-target"   // another target now has the address
	TargetSlow            Reason = "target-slow"    // the target is slow at the moment; another may be faster
	TargetFailing         Reason = "target-failing" // the target fails most requests; another may succeed
	TargetBusy            Reason = "target-busy"    // no slot is free, and another region may have one
	WaitTooLong           Reason = "wait-too-long"  // the request would miss its soft deadline in the queue; another target may be free
	TargetLimited         Reason = "target-limited" // the target's own limit admits no request now; another may have room
	CallerStalled         Reason = "caller-stalled" // the caller stopped in the body or the answer while others wanted its place
	ZoneEvacuated         Reason = "zone-evacuated" // targets of the availability zone get no requests, by the operators' order

	// Reasons for calls with an Idempotency-Key.
	BadIdempotencyKey   Reason = "bad-idempotency-key"
	KeyReused           Reason = "key-reused"
	KeyStoreFull        Reason = "key-store-full"
	KeyOwnerNotReady    Reason = "key-owner-not-ready"
	KeyOwnerUnreachable Reason = "key-owner-unreachable"
	KeyAuthorityLapsed  Reason = "key-authority-lapsed"
	KeyHistoryLost      Reason = "key-history-lost"
	KeyRosterMismatch   Reason = "key-roster-mismatch"
	KeyInProgress       Reason = "key-in-progress"
	AnswerNotKept       Reason = "answer-not-kept"
	KeyRunnerGone       Reason = "key-runner-gone"
)

// statuses maps reasons to HTTP statuses; see Error.Status for the others.
var statuses = map[Reason]int{
	UnknownService:        http.StatusNotFound,
	UnknownRoute:          http.StatusNotFound,
	UnknownKey:            http.StatusUnauthorized,
	AllotmentExceeded:     http.StatusTooManyRequests,
	BodyTooLarge:          http.StatusRequestEntityTooLarge,
	HeaderTooLarge:        http.StatusRequestHeaderFieldsTooLarge,
	BadRequest:            http.StatusBadRequest,
	DepthExceeded:         http.StatusLoopDetected,
	DeadlineExceeded:      http.StatusGatewayTimeout,
	DeadlineUnreachable:   http.StatusServiceUnavailable,
	ConnectionLost:        http.StatusBadGateway,
	ConnectionSilent:      http.StatusGatewayTimeout,
	DependencyForbidden:   http.StatusForbidden,
	TargetConnectionBroke: http.StatusBadGateway,
	BadIdempotencyKey:     http.StatusBadRequest,
	KeyReused:             http.StatusUnprocessableEntity,
	KeyInProgress:         http.StatusConflict,
	AnswerNotKept:         http.StatusConflict,
	Quarantined:           http.StatusUnprocessableEntity,
	InternalError:         http.StatusInternalServerError,
}

// IsMove reports whether a request refused for this reason is sent to another target. Such a request has not run.
func (r Reason) IsMove() bool {
	return r == TargetSlow || r == TargetFailing || r == TargetBusy || r == WaitTooLong || r == TargetLimited
}
