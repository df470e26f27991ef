package inbound

import (
	"net/http"
	"strconv"
	"time"

	"github.com/acacialock/acacialock/internal/wire"
)

// internalRequestHeaders are meant for this node and are not forwarded to the target.
var internalRequestHeaders = []string{
	wire.Service, wire.AttemptHeader, wire.Incarnation, wire.Load, wire.Idempotent, wire.Link, wire.KeyOwner,
	wire.RosterVersion, wire.NotAfter, wire.TimeoutMS, wire.Rank, wire.Stay, wire.Overflow, wire.CanOverflow,
	wire.TargetStatus,
}

// internalResponseHeaders are set by nodes only and are removed from the target's responses: a target could use them to
// claim that a request was not run.
var internalResponseHeaders = []string{wire.RetryAfterMS, wire.Load, wire.Reason, wire.Outcome,
	wire.TargetDraining, wire.CurrentMember, wire.TargetStatus, wire.TargetCold}

// targetHeader returns the header of the request to the target; a zero notAfter is omitted.
func targetHeader(received http.Header, deadline, notAfter time.Time) http.Header {
	header := received.Clone()
	wire.RemoveHopByHop(header)
	wire.RemoveHeaders(header, internalRequestHeaders)
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "") // suppresses the default of net/http
	}
	remaining := max(1, time.Until(deadline).Milliseconds())
	header.Set(wire.TimeoutMS, strconv.FormatInt(remaining, 10))
	if !notAfter.IsZero() {
		header.Set(wire.NotAfter, strconv.FormatInt(notAfter.UnixMilli(), 10))
	}
	return header
}

// addHeader appends the fields of src to dst.
func addHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = append(dst[name], values...)
	}
}
