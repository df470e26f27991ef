// Package telemetry holds the metrics of a node and serves them over HTTP, and decides which requests are sampled for
// logging.
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

// Registry holds the counters, gauges and histograms of one node. It is safe for concurrent use.
type Registry struct{ metrics metrics.Registry }

// New returns an empty registry.
func New() *Registry { return &Registry{metrics: metrics.NewRegistry()} }

// Counter returns the counter with this name and creates it on first use. Parts of a name are separated by dots, for
// example "retry.queue-full".
func (r *Registry) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, r.metrics)
}

// Gauge returns the gauge with this name and creates it on first use.
func (r *Registry) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, r.metrics)
}

// Histograms use an exponentially decaying sample, which gives recent values more weight.
const (
	histogramSamples = 512   // values kept per histogram
	histogramDecay   = 0.015 // favors about the last five minutes, as go-metrics recommends
)

// ObserveDuration records a duration in microseconds in the histogram with this name and creates the histogram on first
// use. The number of distinct names must be bounded, since histograms are never removed.
func (r *Registry) ObserveDuration(name string, duration time.Duration) {
	histogram := r.metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSamples, histogramDecay))
	}).(metrics.Histogram)
	histogram.Update(duration.Microseconds())
}

// CountRefusal counts one refusal or failure returned to a caller or to another node, in the counter
// "refusal.<role>.<reason>".
func (r *Registry) CountRefusal(role string, reason failure.Reason) {
	r.Counter("refusal." + role + "." + string(reason)).Inc(1)
}

// CountRetry counts one retry, in the counter "retry.<reason>". reason is why the previous attempt failed.
func (r *Registry) CountRetry(reason failure.Reason) {
	r.Counter("retry." + string(reason)).Inc(1)
}

// Values returns the values of all counters and gauges by name. Each histogram gives three values: its count, and its
// median and 99th percentile in microseconds, with ".count", ".p50" and ".p99" appended to its name.
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

// SumPrefix returns the sum of all Values whose name starts with prefix.
func (r *Registry) SumPrefix(prefix string) int64 {
	var sum int64
	for name, value := range r.Values() {
		if strings.HasPrefix(name, prefix) {
			sum += value
		}
	}
	return sum
}

// ServeHTTP writes one line "name value" for each of the Values, sorted by name.
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
	_, _ = w.Write([]byte(text.String())) // fails only if the client has disconnected
}
