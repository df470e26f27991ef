// Package telemetry holds a node's counters and serves them.
package telemetry

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/acacialock/acacialock/internal/failure"
)

// Registry holds the counters and gauges of one node. Safe for concurrent use.
type Registry struct{ metrics metrics.Registry }

// New returns an empty registry.
func New() *Registry { return &Registry{metrics: metrics.NewRegistry()} }

// Counter returns the counter with that name, created on first use. Names are dotted, for example "retry.queue-full".
func (r *Registry) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, r.metrics)
}

// Gauge returns the gauge with that name, created on first use.
func (r *Registry) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, r.metrics)
}

// histogramSamples is the size of the sample that a histogram keeps; decaying gives the last minutes more weight.
const (
	histogramSamples = 512
	histogramDecay   = 0.015 // about five minutes, as go-metrics recommends
)

// Observe adds a time to the histogram with that name, in microseconds. The number of names must be bounded.
func (r *Registry) Observe(name string, took time.Duration) {
	histogram := r.metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramDecay))
	}).(metrics.Histogram)
	histogram.Update(took.Microseconds())
}

// Refused counts one refusal or failure given to a caller or to another node, under "refusal.<role>.<reason>".
func (r *Registry) Refused(role string, reason failure.Reason) {
	r.Counter("refusal." + role + "." + string(reason)).Inc(1)
}

// Retried counts one repeated send by the reason of the failed one, under "retry.<reason>".
func (r *Registry) Retried(reason failure.Reason) {
	r.Counter("retry." + string(reason)).Inc(1)
}

// Values returns all counters and gauges by name, and of each histogram its count and quantiles.
func (r *Registry) Values() map[string]int64 {
	values := map[string]int64{}
	r.metrics.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			values[name] = m.Count()
		case metrics.Gauge:
			values[name] = m.Value()
		case metrics.Histogram:
			snapshot := m.Snapshot()
			values[name+".count"] = snapshot.Count()
			values[name+".p50"] = int64(snapshot.Percentile(0.5))
			values[name+".p99"] = int64(snapshot.Percentile(0.99))
		}
	})
	return values
}

// Sum adds up the counters whose name starts with prefix.
func (r *Registry) Sum(prefix string) int64 {
	var sum int64
	for name, value := range r.Values() {
		if strings.HasPrefix(name, prefix) {
			sum += value
		}
	}
	return sum
}

// ServeHTTP writes one "name value" line for each metric, sorted by name.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	values := r.Values()
	names := make([]string, 0, len(values))
	for name := range values {
		names = append(names, name)
	}
	sort.Strings(names)
	var text strings.Builder
	for _, name := range names {
		fmt.Fprintf(&text, "%s %d\n", name, values[name])
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte(text.String())) // the client may have gone away
}
