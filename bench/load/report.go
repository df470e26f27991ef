package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// summary holds the results of one policy at one service size over all rounds.
type summary struct {
	policy  string
	size    int
	latency *hdrhistogram.Histogram // of answered calls of all rounds, in microseconds
	rounds  []*measurement
}

// summarize merges the results of all rounds by policy and size. Summaries are sorted by size, then in the order of
// allPolicies.
func summarize(results []*measurement) []*summary {
	var summaries []*summary
	for _, result := range results {
		found := findSummary(summaries, result.policy, result.size)
		if found == nil {
			found = &summary{policy: result.policy, size: result.size, latency: hdrhistogram.New(1, maxLatencyUS, 3)}
			summaries = append(summaries, found)
		}
		found.latency.Merge(result.latency)
		found.rounds = append(found.rounds, result)
	}
	slices.SortStableFunc(summaries, func(a, b *summary) int {
		if a.size != b.size {
			return a.size - b.size
		}
		return slices.Index(allPolicies, a.policy) - slices.Index(allPolicies, b.policy)
	})
	return summaries
}

func findSummary(summaries []*summary, policy string, size int) *summary {
	for _, s := range summaries {
		if s.policy == policy && s.size == size {
			return s
		}
	}
	return nil
}

// sum returns the total of a figure over all rounds.
func (s *summary) sum(figure func(*measurement) int64) float64 {
	total := int64(0)
	for _, round := range s.rounds {
		total += figure(round)
	}
	return float64(total)
}

// quantileMS returns a quantile (0 to 100) of the latency in milliseconds.
func quantileMS(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// formatRatio formats the median, the lowest and the highest ratio of a latency quantile over the rounds, or "-" without
// a denominator. The median is robust against a single round in which other load disturbed the machine.
func formatRatio(numerator, denominator *summary, quantile float64) string {
	if denominator == nil {
		return "-"
	}
	var ratios []float64
	for i := range numerator.rounds {
		ratios = append(ratios,
			quantileMS(numerator.rounds[i].latency, quantile)/quantileMS(denominator.rounds[i].latency, quantile))
	}
	slices.Sort(ratios)
	return fmt.Sprintf("%.2f (%.2f-%.2f)", ratios[len(ratios)/2], ratios[0], ratios[len(ratios)-1])
}

// writeTable prints one row per policy and size. Ratios relate the policy to the bounds (queues and perfect), for p99
// also to random.
func writeTable(w io.Writer, summaries []*summary) {
	fmt.Fprintln(w, "| size | policy | calls | failed % | failed or late % | retries % | hedges % | far % | p50 ms | p99 ms | p99.9 ms "+
		"| p99 / queues (rounds) | p99.9 / queues (rounds) | p99 / perfect (rounds) | p99.9 / perfect (rounds) "+
		"| p99 / random (rounds) | probe B / 1,000 calls "+
		"| sample B / 1,000 calls |")
	fmt.Fprintln(w, "|"+strings.Repeat("---|", 18))
	for _, s := range summaries {
		queues, perfect := findSummary(summaries, "queues", s.size), findSummary(summaries, "perfect", s.size)
		random := findSummary(summaries, "random", s.size)
		calls := s.sum(func(m *measurement) int64 { return m.counted.Load() })
		started := s.sum(func(m *measurement) int64 { return m.started.Load() })
		per := func(figure func(*measurement) int64, unit float64) float64 { return s.sum(figure) / calls * unit }
		fmt.Fprintf(w, "| %d | %s | %.0f | %.2f | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f | %.1f | %s | %s | %s | %s | %s | %.0f | %.0f |\n",
			s.size, s.policy, calls,
			per(func(m *measurement) int64 { return m.failed.Load() }, 100),
			per(func(m *measurement) int64 { return m.late.Load() }, 100),
			per(func(m *measurement) int64 { return m.retries.Load() }, 100*calls/started),
			per(func(m *measurement) int64 { return m.hedges.Load() }, 100*calls/started),
			per(func(m *measurement) int64 { return m.crossRegion.Load() }, 100),
			quantileMS(s.latency, 50), quantileMS(s.latency, 99), quantileMS(s.latency, 99.9),
			formatRatio(s, queues, 99), formatRatio(s, queues, 99.9),
			formatRatio(s, perfect, 99), formatRatio(s, perfect, 99.9), formatRatio(s, random, 99),
			per(func(m *measurement) int64 { return m.probeBytes }, 1000*calls/started),
			per(func(m *measurement) int64 { return m.sampleBytes }, 1000*calls/started))
	}
}

// writeResultFiles writes the table and the latency distribution of each policy and size to a new directory and returns
// its path.
func writeResultFiles(options *options, command string, summaries []*summary) (string, error) {
	name := fmt.Sprintf("%s-load%d-seed%d", time.Now().UTC().Format("20060102-150405"), options.Load, options.Seed)
	directory := filepath.Join(options.Out, name)
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return "", err
	}
	var table strings.Builder
	fmt.Fprintf(&table, "%s\n\n", command)
	writeTable(&table, summaries)
	if err := os.WriteFile(filepath.Join(directory, "table.md"), []byte(table.String()), 0o644); err != nil {
		return "", err
	}
	for _, s := range summaries {
		var text strings.Builder
		if _, err := s.latency.PercentilesPrint(&text, 5, 1000); err != nil {
			return "", err
		}
		path := filepath.Join(directory, fmt.Sprintf("%s-%d.hgrm", s.policy, s.size))
		if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
			return "", err
		}
	}
	return directory, nil
}
