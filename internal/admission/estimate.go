package admission

import "time"

// weight of a new measurement in the moving average.
const weight = 0.1

// estimator keeps a moving average of service times by the number of requests at the target when each one started.
type estimator struct {
	// byLoad[n-1] is the average in nanoseconds at concurrency n, or 0 when nothing was measured there.
	byLoad []float64
	// byKind is the average in nanoseconds of each kind of request.
	byKind map[string]float64
}

// maxKinds bounds the kinds that are told apart; further ones count like requests without a kind.
const maxKinds = 1024

// of returns the average of a kind, or that at concurrency n when the kind is not known yet.
func (e *estimator) of(kind string, n int) time.Duration {
	if known, ok := e.byKind[kind]; ok {
		return time.Duration(known)
	}
	return e.at(n)
}

func (e *estimator) recordKind(kind string, took time.Duration) {
	if kind == "" {
		return
	}
	old, ok := e.byKind[kind]
	switch {
	case ok:
		e.byKind[kind] = old + weight*(float64(took)-old)
	case len(e.byKind) < maxKinds:
		if e.byKind == nil {
			e.byKind = map[string]float64{}
		}
		e.byKind[kind] = float64(took)
	}
}

// record adds the service time of a request that started as the nth one at the target.
func (e *estimator) record(kind string, n int, took time.Duration) {
	e.recordKind(kind, took)
	for len(e.byLoad) < n {
		e.byLoad = append(e.byLoad, 0)
	}
	old := e.byLoad[n-1]
	if old == 0 {
		e.byLoad[n-1] = float64(took)
		return
	}
	e.byLoad[n-1] = old + weight*(float64(took)-old)
}

// at returns the average at concurrency n, or that of the nearest measured concurrency, or 0.
func (e *estimator) at(n int) time.Duration {
	for distance := 0; distance <= len(e.byLoad)+n; distance++ {
		if value := e.value(n - distance); value > 0 {
			return value
		}
		if value := e.value(n + distance); value > 0 {
			return value
		}
	}
	return 0
}

func (e *estimator) value(n int) time.Duration {
	if n < 1 || n > len(e.byLoad) {
		return 0
	}
	return time.Duration(e.byLoad[n-1])
}
