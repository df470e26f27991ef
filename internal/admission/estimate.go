package admission

import "time"

// smoothingFactor is the weight of a new measurement in the exponential moving averages.
const smoothingFactor = 0.1

// estimator keeps moving averages of service times: by the load at the start of a request, which is the number of
// requests at the target, itself included, and by the kind of the request. It is not safe for concurrent use.
type estimator struct {
	// byLoad[load-1] is the average in nanoseconds at a load, or 0 if nothing was measured at it.
	byLoad []float64
	// byKind holds the service times of each kind of request.
	byKind map[string]*kindTimes
}

// kindTimes holds the service times of one kind in nanoseconds. Few requests that take many times as long as the others
// determine the mean, but tell little about the next one.
type kindTimes struct {
	mean    float64 // moving average
	typical float64 // moving average of the times up to maxTypicalFactor times its value
}

// maxTypicalFactor is the multiple of the typical time as which longer times count for it.
const maxTypicalFactor = 2.0

// maxKinds is the largest number of kinds with an average of their own. Requests of further kinds are treated like
// requests without a kind.
const maxKinds = 1024

// estimate returns the average of a kind, or that at the given load if the kind was not measured yet. 0 means unknown.
func (e *estimator) estimate(kind string, load int) time.Duration {
	if known := e.byKind[kind]; known != nil {
		return time.Duration(known.mean)
	}
	return e.averageNear(load)
}

// typical returns the service time of most requests of a kind, or estimate if the kind was not measured yet.
func (e *estimator) typical(kind string, load int) time.Duration {
	if known := e.byKind[kind]; known != nil {
		return time.Duration(known.typical)
	}
	return e.averageNear(load)
}

func (e *estimator) recordKind(kind string, serviceTime time.Duration) {
	if kind == "" {
		return
	}
	measured := float64(serviceTime)
	known := e.byKind[kind]
	switch {
	case known != nil:
		known.mean += smoothingFactor * (measured - known.mean)
		known.typical += smoothingFactor * (min(measured, maxTypicalFactor*known.typical) - known.typical)
	case len(e.byKind) < maxKinds:
		if e.byKind == nil {
			e.byKind = map[string]*kindTimes{}
		}
		e.byKind[kind] = &kindTimes{mean: measured, typical: measured}
	}
}

// record adds the service time of a request that started at the given load.
func (e *estimator) record(kind string, load int, serviceTime time.Duration) {
	e.recordKind(kind, serviceTime)
	for len(e.byLoad) < load {
		e.byLoad = append(e.byLoad, 0)
	}
	old := e.byLoad[load-1]
	if old == 0 {
		e.byLoad[load-1] = float64(serviceTime)
		return
	}
	e.byLoad[load-1] = old + smoothingFactor*(float64(serviceTime)-old)
}

// averageNear returns the average at the given load or at the nearest measured load, or 0 if there is none.
func (e *estimator) averageNear(load int) time.Duration {
	for distance := 0; distance <= len(e.byLoad)+load; distance++ {
		if value := e.average(load - distance); value > 0 {
			return value
		}
		if value := e.average(load + distance); value > 0 {
			return value
		}
	}
	return 0
}

// average returns the average at the given load, or 0 if nothing was measured at it.
func (e *estimator) average(load int) time.Duration {
	if load < 1 || load > len(e.byLoad) {
		return 0
	}
	return time.Duration(e.byLoad[load-1])
}
