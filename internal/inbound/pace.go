package inbound

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// paceQueryTimeout limits a query of the target's pace. Targets on the same machine respond within 2 ms; a request
	// waits for the result.
	paceQueryTimeout = 100 * time.Millisecond
	// maxHealthBytes limits how much of a health response body is read to keep its connection reusable.
	maxHealthBytes = 4 << 10
)

// PaceAge returns the age of the last reading of the target's pace, or -1 ms if there is none.
func (h *Handler) PaceAge() time.Duration { return h.limiter.PaceAge() }

// queryPace requests the target's pace from its health path. The status of the response is ignored, since the
// pace does not depend on the health. It returns false if there is no path or no reading.
func (h *Handler) queryPace() (float64, bool) {
	path := h.healthPath()
	if path == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), paceQueryTimeout)
	defer cancel()
	h.config.Metrics.Counter("pace.questions").Inc(1)
	response, err := CheckHealth(ctx, h.healthTransport, h.config.TargetAddr, path)
	if err != nil {
		h.config.Metrics.Counter("pace.unread").Inc(1)
		logPaceError(h.config.Self.ID, err) // the limiter admits requests without a reading
		if ctx.Err() == nil {
			h.assumeRestarted(fromHealth) // the target closed or refused the connection
		}
		return 0, false
	}
	report := h.recordReport(response.Header, fromHealth)
	return report.Pace, report.Pace > 0
}

// CheckHealth sends a GET request to the health path of the target at addr and returns the response, whose body is
// closed. Errors come from building the request and from the transport.
func CheckHealth(ctx context.Context, transport http.RoundTripper, addr, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create health check request")
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, eris.Wrap(err, "send health check request")
	}
	defer response.Body.Close()
	if err := wire.CheckStatusLine(response); err != nil {
		return nil, eris.Wrap(err, "read health check response")
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes)) // only the header is used
	return response, nil
}

// healthPath returns the path of the settings or, if that is empty, the path of the service list; empty: none.
func (h *Handler) healthPath() string {
	if h.config.HealthPath != "" {
		return h.config.HealthPath
	}
	if service := h.service.Load(); service != nil {
		return service.HealthPath
	}
	return ""
}

// NewHealthTransport returns a transport for requests to the health path. It has a connection of its own, so that its
// close is never mistaken for a crash of the target by a request.
func NewHealthTransport() *http.Transport {
	return &http.Transport{
		MaxConnsPerHost:        1,
		MaxIdleConnsPerHost:    1,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxTargetHeaderBytes,
	}
}
