package inbound

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/acacialock/acacialock/internal/wire"
)

// innerRequest headers are for this node and not for the target.
var innerRequest = []string{
	wire.Service, wire.AttemptHeader, wire.Incarnation, wire.Load, wire.Idempotent, wire.Link, wire.KeyOwner, wire.RosterVersion,
	wire.NotAfter, wire.TimeoutMS, wire.Rank, wire.Stay, wire.Overflow,
}

// innerAnswer headers are set by nodes only: with them a target could claim that a request was not run.
var innerAnswer = []string{wire.RetryAfterMS, wire.Load, wire.Reason, wire.Outcome, wire.TargetDraining, wire.CurrentMember}

// targetHeader returns the header for the target.
func targetHeader(received http.Header, deadline, notAfter time.Time) http.Header {
	header := received.Clone()
	wire.RemoveHopByHop(header)
	wire.RemoveHeaders(header, innerRequest)
	if _, ok := header["User-Agent"]; !ok {
		header.Set("User-Agent", "") // keeps net/http from adding its own
	}
	left := max(1, time.Until(deadline).Milliseconds())
	header.Set(wire.TimeoutMS, strconv.FormatInt(left, 10))
	if !notAfter.IsZero() {
		header.Set(wire.NotAfter, strconv.FormatInt(notAfter.UnixMilli(), 10))
	}
	return header
}

// spellKeys changes the case of the headers that make net/http send a request without a body again. Names are equal in
// each case for the target.
func spellKeys(header http.Header) {
	for _, name := range [...]string{wire.IdempotencyKey, "X-Idempotency-Key"} {
		if values, ok := header[name]; ok {
			delete(header, name)
			header[strings.ToLower(name)] = values
		}
	}
}

// copyHeader adds the fields of an answer's header.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append(to[name], values...)
	}
}
