package inbound

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// paceTimeout bounds a question about the target's pace. Targets answer it at once, within 2 ms on their own machine; a
	// request waits for it.
	paceTimeout = 100 * time.Millisecond
	// maxHealthBytes is the most of a health answer that is read, so that its connection can be kept.
	maxHealthBytes = 4 << 10
)

// pace is the factor by which work takes longer than usual at the target, as an answer tells it; false when it tells none.
func (h *Handler) pace(header http.Header) (float64, bool) {
	if h.config.Protocol != nil {
		return h.config.Protocol.Pace(header)
	}
	percent, err := strconv.ParseFloat(header.Get(wire.TargetPace), 64)
	return percent / 100, err == nil && percent > 0
}

// notePace takes over the pace that an answer tells.
func (h *Handler) notePace(answer *http.Response) {
	if factor, ok := h.pace(answer.Header); ok {
		h.gate.SetPace(factor)
	}
}

// PaceAge is the age of the last reading of the target's pace; -1 ms: none.
func (h *Handler) PaceAge() time.Duration { return h.gate.PaceAge() }

// readPace asks the target's health path for its pace. The answer's status is ignored: health says nothing about it.
func (h *Handler) readPace() (float64, bool) {
	path := h.healthPath()
	if path == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), paceTimeout)
	defer cancel()
	h.config.Metrics.Counter("pace.questions").Inc(1)
	answer, err := AskHealth(ctx, h.probes, h.config.TargetAddr, path)
	if err != nil {
		h.config.Metrics.Counter("pace.unread").Inc(1)
		logPaceUnread(h.config.Self.ID, err) // the gate starts requests without a reading
		return 0, false
	}
	return h.pace(answer.Header)
}

// AskHealth asks a target's health path and returns the answer without its body.
func AskHealth(ctx context.Context, over http.RoundTripper, addr, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build a question to the health path")
	}
	answer, err := over.RoundTrip(request)
	if err != nil {
		return nil, eris.Wrap(err, "ask the health path")
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxHealthBytes)) // only the header counts
	return answer, nil
}

// healthPath is the path of the settings or, without it, that of the service list.
func (h *Handler) healthPath() string {
	if h.config.HealthPath != "" {
		return h.config.HealthPath
	}
	if service := h.service.Load(); service != nil {
		return service.HealthPath
	}
	return ""
}

// newProbes returns the transport of questions to the target. They have a connection of their own, so that the end of one
// is never taken for a crash of the target by a request.
func newProbes() *http.Transport {
	return &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: idleConnTimeout, DisableCompression: true}
}
