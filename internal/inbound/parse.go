package inbound

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/admission"
	"github.com/acacialock/acacialock/internal/attempt"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/keys"
	"github.com/acacialock/acacialock/internal/wire"
)

// defaultTimeout is used when neither the request nor the service list has a timeout.
const defaultTimeout = 10 * time.Second

// maxKeyBytes is the maximum length of an Idempotency-Key in bytes.
const maxKeyBytes = 256

// forwardedRequest holds the validated headers of a forwarded request.
type forwardedRequest struct {
	call     attempt.Call
	deadline time.Time
	rank     admission.Request
	path     string   // as sent by the caller, not decoded
	url      *url.URL // its RequestURI is path and query as sent by the caller
	sends    int      // sends of the call so far, this one included; 0: not known
}

// parse checks that the request is addressed to this incarnation of the node and parses its headers.
func (h *Handler) parse(r *http.Request) (*forwardedRequest, *failure.Error) {
	if service := r.Header.Get(wire.Service); service != h.config.Self.Service {
		return nil, notRun(failure.WrongService, "service %q is not served here", service)
	}
	if id := r.Header.Get(wire.Incarnation); id != h.config.Self.ID {
		return nil, notRun(failure.WrongIncarnation, "this is %s, not %q", h.config.Self.ID, id)
	}
	timeout, err := wire.ParseTimeout(r.Header)
	if err != nil {
		return nil, notRun(failure.BadRequest, "%v", err)
	}
	if timeout == 0 {
		timeout = h.serviceTimeout()
	}
	forwarded := &forwardedRequest{deadline: time.Now().Add(timeout)}
	if !forwarded.setTarget(r) {
		return nil, notRun(failure.BadRequest, "the path of %q does not start with %s or can't be forwarded unchanged", r.RequestURI, wire.ForwardPath)
	}
	forwarded.rank = admission.Request{Deadline: forwarded.deadline, HasAlternative: r.Header.Get(wire.Stay) == "",
		Overflow: r.Header.Get(wire.Overflow) != "", CanOverflow: r.Header.Get(wire.CanOverflow) != ""}
	if text := r.Header.Get(wire.Rank); text != "" {
		kind, priority, softTimeout, err := wire.ParseRank(text)
		if err != nil {
			return nil, notRun(failure.BadRequest, "%v", err)
		}
		forwarded.rank.Kind, forwarded.rank.Priority, forwarded.rank.SoftDeadline = kind, priority, time.Now().Add(softTimeout)
	}
	h.setTenant(r, &forwarded.rank)
	forwarded.sends, _ = strconv.Atoi(r.Header.Get(wire.Attempts)) // only counted, so an invalid value does no harm
	forwarded.rank.Sends = forwarded.sends
	if refused := h.parseCall(r, forwarded); refused != nil {
		return nil, refused
	}
	return forwarded, nil
}

// setTenant sets the tenant that the entry node found by the caller's key, and its weight: its rate in the list in force.
func (h *Handler) setTenant(r *http.Request, rank *admission.Request) {
	rank.Tenant = r.Header.Get(wire.TenantName)
	if rank.Tenant == "" || h.config.View == nil {
		return
	}
	snapshot := h.config.View.Load()
	if snapshot.List == nil {
		return
	}
	if tenant := snapshot.List.Tenants.ByName(rank.Tenant); tenant != nil {
		rank.TenantWeight = tenant.Rate
	}
}

func notRun(reason failure.Reason, format string, args ...any) *failure.Error {
	return failure.New(reason, failure.NotRun, format, args...)
}

// serviceTimeout returns the timeout of the service list, or defaultTimeout.
func (h *Handler) serviceTimeout() time.Duration {
	service := h.service.Load()
	if service == nil || service.Timeout <= 0 {
		return defaultTimeout
	}
	return service.Timeout
}

// setTarget sets the path and the URL to those that the caller sent, without wire.ForwardPath. It returns false if the request
// target does not start with it or can't be forwarded unchanged.
func (f *forwardedRequest) setTarget(r *http.Request) bool {
	target, ok := strings.CutPrefix(r.RequestURI, wire.ForwardPath)
	if !ok {
		return false
	}
	f.path, _, _ = strings.Cut(target, "?")
	f.url = &url.URL{RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	return wire.SetPath(f.url, f.path)
}

// parseCall parses the attempt id and the key. Idempotent requests may omit the attempt id.
func (h *Handler) parseCall(r *http.Request, forwarded *forwardedRequest) *failure.Error {
	forwarded.call.Idempotent = r.Header.Get(wire.Idempotent) == "1"
	attemptText := r.Header.Get(wire.AttemptHeader)
	if forwarded.call.Idempotent && attemptText == "" {
		return nil
	}
	id, err := wire.ParseAttemptID(attemptText)
	if err != nil {
		return notRun(failure.BadRequest, "%v", err)
	}
	forwarded.call.ID = id
	if forwarded.call.Idempotent {
		return nil
	}
	return h.parseKey(r, forwarded)
}

func (h *Handler) parseKey(r *http.Request, forwarded *forwardedRequest) *failure.Error {
	keys := r.Header.Values(wire.IdempotencyKey)
	owner := r.Header.Get(wire.KeyOwner)
	switch {
	case len(keys) == 0 && owner == "":
		return nil
	case len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKeyBytes:
		return notRun(failure.BadIdempotencyKey, "one key of 1 to %d bytes is needed", maxKeyBytes)
	case owner == "":
		return notRun(failure.BadRequest, "a keyed attempt has no owner")
	}
	version, err := strconv.ParseUint(r.Header.Get(wire.RosterVersion), 10, 64)
	if err != nil {
		return notRun(failure.BadRequest, "the roster version is not a number")
	}
	forwarded.call.KeyInfo = &attempt.KeyInfo{
		Key:           wire.ScopedKey(r.Header.Get(wire.TenantName), keys[0]),
		Fingerprint:   wire.CallFingerprint(r.Method, forwarded.path),
		Owner:         owner,
		RosterVersion: version,
		Retention:     h.keyRetention(),
	}
	return nil
}

// keyRetention returns how long the ledger keeps a keyed attempt: as long as the key's owner may refer to it.
func (h *Handler) keyRetention() time.Duration {
	if service := h.service.Load(); service != nil {
		return keys.RecordRetention(service.ResendWindow, keys.DefaultGrantLife)
	}
	return 0
}
