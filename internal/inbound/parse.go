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

// maxKey is the longest Idempotency-Key, in bytes.
const maxKey = 256

// incoming is a forwarded request, checked.
type incoming struct {
	call     attempt.Call
	deadline time.Time
	rank     admission.Request
	url      *url.URL // as the caller sent it: path and query
}

// parse checks that the request is meant for this incarnation and reads its headers.
func (h *Handler) parse(r *http.Request) (*incoming, *failure.Error) {
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
		timeout = h.timeout()
	}
	in := &incoming{deadline: time.Now().Add(timeout)}
	if in.url = originalURL(r.URL); in.url == nil {
		return nil, notRun(failure.BadRequest, "path %q does not start with %s", r.URL.Path, wire.ForwardPath)
	}
	in.rank = admission.Request{Deadline: in.deadline, Movable: r.Header.Get(wire.Stay) == "",
		Overflow: r.Header.Get(wire.Overflow) != ""}
	if text := r.Header.Get(wire.Rank); text != "" {
		kind, priority, aim, err := wire.ParseRank(text)
		if err != nil {
			return nil, notRun(failure.BadRequest, "%v", err)
		}
		in.rank.Kind, in.rank.Priority, in.rank.Aim = kind, priority, time.Now().Add(aim)
	}
	if refused := h.parseCall(r, in); refused != nil {
		return nil, refused
	}
	return in, nil
}

func notRun(reason failure.Reason, format string, args ...any) *failure.Error {
	return failure.New(reason, failure.NotRun, format, args...)
}

func (h *Handler) timeout() time.Duration {
	service := h.service.Load()
	if service == nil || service.Timeout <= 0 {
		return defaultTimeout
	}
	return service.Timeout
}

// originalURL removes the forward prefix; nil when it is absent.
func originalURL(forwarded *url.URL) *url.URL {
	path, ok := strings.CutPrefix(forwarded.Path, wire.ForwardPath)
	if !ok {
		return nil
	}
	return &url.URL{
		Path:       path,
		RawPath:    strings.TrimPrefix(forwarded.RawPath, wire.ForwardPath),
		RawQuery:   forwarded.RawQuery,
		ForceQuery: forwarded.ForceQuery,
	}
}

// parseCall reads the attempt and its key. The attempt id may be absent from idempotent requests.
func (h *Handler) parseCall(r *http.Request, in *incoming) *failure.Error {
	in.call.Idempotent = r.Header.Get(wire.Idempotent) == "1"
	given := r.Header.Get(wire.AttemptHeader)
	if in.call.Idempotent && given == "" {
		return nil
	}
	id, err := wire.ParseAttemptID(given)
	if err != nil {
		return notRun(failure.BadRequest, "%v", err)
	}
	in.call.ID = id
	if in.call.Idempotent {
		return nil
	}
	return h.parseKey(r, in)
}

func (h *Handler) parseKey(r *http.Request, in *incoming) *failure.Error {
	keys := r.Header.Values(wire.IdempotencyKey)
	owner := r.Header.Get(wire.KeyOwner)
	switch {
	case len(keys) == 0 && owner == "":
		return nil
	case len(keys) != 1 || keys[0] == "" || len(keys[0]) > maxKey:
		return notRun(failure.BadKey, "one key of 1 to %d bytes is needed", maxKey)
	case owner == "":
		return notRun(failure.BadRequest, "a keyed attempt has no owner")
	}
	version, err := strconv.ParseUint(r.Header.Get(wire.RosterVersion), 10, 64)
	if err != nil {
		return notRun(failure.BadRequest, "the roster version is not a number")
	}
	in.call.Keyed = &attempt.Keyed{
		Key:           keys[0],
		Fingerprint:   wire.CallFingerprint(r.Method, in.url.EscapedPath()),
		Owner:         owner,
		RosterVersion: version,
		Retention:     h.resendWindow(),
	}
	return nil
}

// resendWindow is how long a keyed attempt is remembered: as long as the key's owner may name it.
func (h *Handler) resendWindow() time.Duration {
	if service := h.service.Load(); service != nil {
		return keys.KeepTime(service.ResendWindow, keys.DefaultGrantLife)
	}
	return 0
}
