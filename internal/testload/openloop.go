package testload

import (
	"sync"
	"time"
)

// OpenLoop starts calls at planned times, at a fixed rate, whether or not earlier ones have ended, and returns when all
// ended. Latency counts from the planned time, which keeps a slow system from slowing its own measurement.
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
