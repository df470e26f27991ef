package settings

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// InForce holds the settings that a running process uses. Only the drain timeout can change while it runs; the embedded
// Settings keep the value from the start. Safe for concurrent use.
type InForce struct {
	*Settings              // as loaded at the start of the process
	drain     atomic.Int64 // drain timeout in nanoseconds
}

// Start returns the settings in use by a process that starts with set.
func Start(set *Settings) *InForce {
	inForce := &InForce{Settings: set}
	inForce.drain.Store(int64(set.DrainTimeout))
	return inForce
}

// Drain returns the current drain timeout.
func (f *InForce) Drain() time.Duration { return time.Duration(f.drain.Load()) }

// Take applies the drain timeout of changed settings and logs the keys whose changes require a restart.
func (f *InForce) Take(changed *Settings) {
	if keys := changed.ChangedRestartKeys(f.Settings); len(keys) > 0 {
		klog.InfoS("changed settings take effect at the next start", "keys", keys)
	}
	f.drain.Store(int64(changed.DrainTimeout))
}
