package settings

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// InForce holds the settings of a running process, of which only the drain timeout can change. Safe for concurrent use.
type InForce struct {
	*Settings // of the start
	drain     atomic.Int64
}

// Start puts the settings of a process in force.
func Start(set *Settings) *InForce {
	inForce := &InForce{Settings: set}
	inForce.drain.Store(int64(set.DrainTimeout))
	return inForce
}

// Drain is the drain timeout in force.
func (f *InForce) Drain() time.Duration { return time.Duration(f.drain.Load()) }

// Take puts a changed drain timeout in force and logs the other keys that changed.
func (f *InForce) Take(changed *Settings) {
	if keys := changed.NeedStart(f.Settings); len(keys) > 0 {
		klog.InfoS("changed settings take effect at the next start", "keys", keys)
	}
	f.drain.Store(int64(changed.DrainTimeout))
}
