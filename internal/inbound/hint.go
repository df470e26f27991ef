package inbound

import (
	"context"
	"net/http"
	"time"

	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// healthInterval is the time between two questions to the health path.
	healthInterval = time.Second
	// healthTimeout bounds one question.
	healthTimeout = time.Second
)

// DrainHint is the time of the target's last hint that it drains, or zero. It is a hint only: the node goes on to serve.
func (h *Handler) DrainHint() time.Time {
	at := h.hint.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// noteHint looks for the target's announcement of a drain in an answer.
func (h *Handler) noteHint(answer *http.Response) {
	if answer.StatusCode != http.StatusServiceUnavailable || !answer.Close {
		return
	}
	if answer.Header.Get(wire.TargetDraining) == "1" {
		h.noteDraining()
	}
}

func (h *Handler) noteDraining() {
	h.hint.Store(time.Now().UnixNano())
	h.config.Metrics.Counter("target.drain-hints").Inc(1)
}

// WatchHealth asks the target's health path each second until the context ends. A 503 is taken as a hint of a drain;
// nothing else is concluded. It returns at once when no path is configured.
func (h *Handler) WatchHealth(ctx context.Context) {
	if h.config.HealthPath == "" {
		return
	}
	ticks := time.NewTicker(healthInterval)
	defer ticks.Stop()
	for {
		h.askHealth(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
	}
}

func (h *Handler) askHealth(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	answer, err := AskHealth(ctx, h.target.Load().transport, h.config.TargetAddr, h.config.HealthPath)
	if err != nil {
		return
	}
	if answer.StatusCode == http.StatusServiceUnavailable {
		h.noteDraining()
	}
}
