package settings

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// Active holds the settings that a running process uses. Only the drain timeout can change while it runs; the embedded
// Settings keep the value from the start. Safe for concurrent use.
type Active struct {
	*Settings                 // as loaded at the start of the process
	drainTimeout atomic.Int64 // drain timeout in nanoseconds
}

// NewActive returns the active settings of a process that starts with the initial settings.
func NewActive(initial *Settings) *Active {
	active := &Active{Settings: initial}
	active.drainTimeout.Store(int64(initial.DrainTimeout))
	return active
}

// CurrentDrainTimeout returns the current drain timeout.
func (a *Active) CurrentDrainTimeout() time.Duration { return time.Duration(a.drainTimeout.Load()) }

// ApplyChanges applies the drain timeout of changed settings and logs the keys whose changes require a restart.
func (a *Active) ApplyChanges(changed *Settings) {
	if keys := changed.ChangedRestartKeys(a.Settings); len(keys) > 0 {
		klog.InfoS("changed settings take effect at the next start", "keys", keys)
	}
	a.drainTimeout.Store(int64(changed.DrainTimeout))
}
