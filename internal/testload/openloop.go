package testload

import (
	"sync"
	"time"
)

// OpenLoop starts perSecond calls per second for the duration, whether or not earlier calls have ended, and returns when
// all calls have ended. Latency must be measured from the planned time, so that a slow system does not reduce its own
// measured load and latency (coordinated omission).
func OpenLoop(perSecond int, duration time.Duration, call func(n int, planned time.Time)) {
	gap := time.Second / time.Duration(perSecond)
	started := time.Now()
	var wait sync.WaitGroup
	for n := range int(duration / gap) {
		planned := started.Add(time.Duration(n) * gap)
		time.Sleep(time.Until(planned))
		wait.Go(func() { call(n, planned) })
	}
	wait.Wait()
}
