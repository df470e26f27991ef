package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lagTick = time.Millisecond
	// maxLag is the 99% quantile of timer lag above which a slice says more about the machine than about the policy.
	// A quiet machine shows 1 to 2 ms.
	maxLag = 8 * time.Millisecond
	// maxRepeats bounds the repeats of a disturbed slice.
	maxRepeats = 3
)

// lagMeter measures how late timers fire, independent of the calls.
type lagMeter struct {
	stop chan struct{}
	lag  chan time.Duration
}

func startLagMeter() *lagMeter {
	meter := &lagMeter{stop: make(chan struct{}), lag: make(chan time.Duration, 1)}
	go meter.run()
	return meter
}

func (m *lagMeter) run() {
	lags := hdrhistogram.New(1, highestLatency, 3)
	for {
		select {
		case <-m.stop:
			m.lag <- time.Duration(lags.ValueAtQuantile(99)) * time.Microsecond
			return
		default:
		}
		began := time.Now()
		time.Sleep(lagTick)
		_ = lags.RecordValue(min((time.Since(began) - lagTick).Microseconds(), highestLatency))
	}
}

// end returns the 99% quantile of the lag.
func (m *lagMeter) end() time.Duration {
	close(m.stop)
	return <-m.lag
}
