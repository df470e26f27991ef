package main

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lagTick = time.Millisecond
	// maxLag is the highest 99% quantile of the timer lag with which a slice is valid. Above it the results reflect the
	// load of the machine rather than the policy. An idle machine shows 1 to 2 ms.
	maxLag = 8 * time.Millisecond
	// maxRepeats limits how often a slice with too much timer lag is repeated.
	maxRepeats = 3
)

// lagMeter measures how late timers fire, independently of the calls.
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
	lags := hdrhistogram.New(1, maxLatencyUS, 3)
	for {
		select {
		case <-m.stop:
			m.lag <- time.Duration(lags.ValueAtQuantile(99)) * time.Microsecond
			return
		default:
		}
		start := time.Now()
		time.Sleep(lagTick)
		_ = lags.RecordValue(min((time.Since(start) - lagTick).Microseconds(), maxLatencyUS))
	}
}

// finish stops the meter and returns the 99% quantile of the lag.
func (m *lagMeter) finish() time.Duration {
	close(m.stop)
	return <-m.lag
}
