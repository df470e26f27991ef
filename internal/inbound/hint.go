package inbound

import (
	"context"
	"net/http"
	"time"

	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// healthInterval is the time between two requests to the health path.
	healthInterval = time.Second
	// healthTimeout limits one request to the health path.
	healthTimeout = time.Second
)

// DrainHint returns the time of the target's last hint that it is draining, or the zero time. It is only a hint: the
// node continues to serve.
func (h *Handler) DrainHint() time.Time {
	at := h.drainHint.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// recordDrainHint records a drain hint if the response announces a drain: status 503, a connection that closes, and the
// header wire.TargetDraining.
func (h *Handler) recordDrainHint(response *http.Response) {
	if response.StatusCode != http.StatusServiceUnavailable || !response.Close {
		return
	}
	if response.Header.Get(wire.TargetDraining) == "1" {
		h.recordTargetDraining()
	}
}

func (h *Handler) recordTargetDraining() {
	h.drainHint.Store(time.Now().UnixNano())
	h.config.Metrics.Counter("target.drain-hints").Inc(1)
}

// WatchHealth polls the target's health path every second until the context ends. A 503 counts as a drain hint; any
// other result is ignored. It returns at once if no path is configured.
func (h *Handler) WatchHealth(ctx context.Context) {
	if h.config.HealthPath == "" {
		return
	}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		h.checkHealth(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *Handler) checkHealth(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	response, err := CheckHealth(ctx, h.target.Load().transport, h.config.TargetAddr, h.config.HealthPath)
	if err != nil {
		return
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		h.recordTargetDraining()
	}
}
