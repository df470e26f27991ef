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

// summary is one policy at one size over all rounds.
type summary struct {
	policy string
	size   int
	all    *hdrhistogram.Histogram
	rounds []*measured
}

// summarize merges the rounds by policy and size, in the order of the first round.
func summarize(results []*measured) []*summary {
	var summaries []*summary
	for _, result := range results {
		found := find(summaries, result.policy, result.size)
		if found == nil {
			found = &summary{policy: result.policy, size: result.size, all: hdrhistogram.New(1, highestLatency, 3)}
			summaries = append(summaries, found)
		}
		found.all.Merge(result.latency)
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

func find(summaries []*summary, policy string, size int) *summary {
	for _, s := range summaries {
		if s.policy == policy && s.size == size {
			return s
		}
	}
	return nil
}

// sum adds a figure over the rounds.
func (s *summary) sum(figure func(*measured) int64) float64 {
	total := int64(0)
	for _, round := range s.rounds {
		total += figure(round)
	}
	return float64(total)
}

func ms(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

// ratio gives the median, the lowest and the highest ratio of the rounds. The median is not moved by a round in which
// the machine was disturbed.
func ratio(of, to *summary, quantile float64) string {
	if to == nil {
		return "-"
	}
	var ratios []float64
	for i := range of.rounds {
		ratios = append(ratios, ms(of.rounds[i].latency, quantile)/ms(to.rounds[i].latency, quantile))
	}
	slices.Sort(ratios)
	return fmt.Sprintf("%.2f (%.2f-%.2f)", ratios[len(ratios)/2], ratios[0], ratios[len(ratios)-1])
}

// writeTable prints one line for each policy and size. Ratios are to the bounds, and for p99 also to random.
func writeTable(w io.Writer, summaries []*summary) {
	fmt.Fprintln(w, "| size | policy | calls | failed % | failed or late % | retries % | hedges % | far % | p50 ms | p99 ms | p99.9 ms "+
		"| p99 / queues (rounds) | p99.9 / queues (rounds) | p99 / perfect (rounds) | p99.9 / perfect (rounds) "+
		"| p99 / random (rounds) | probe B / 1,000 calls "+
		"| sample B / 1,000 calls |")
	fmt.Fprintln(w, "|"+strings.Repeat("---|", 18))
	for _, s := range summaries {
		queues, perfect := find(summaries, "queues", s.size), find(summaries, "perfect", s.size)
		random := find(summaries, "random", s.size)
		calls := s.sum(func(m *measured) int64 { return m.calls.Load() })
		all := s.sum(func(m *measured) int64 { return m.all.Load() })
		per := func(figure func(*measured) int64, unit float64) float64 { return s.sum(figure) / calls * unit }
		fmt.Fprintf(w, "| %d | %s | %.0f | %.2f | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f | %.1f | %s | %s | %s | %s | %s | %.0f | %.0f |\n",
			s.size, s.policy, calls,
			per(func(m *measured) int64 { return m.failed.Load() }, 100),
			per(func(m *measured) int64 { return m.late.Load() }, 100),
			per(func(m *measured) int64 { return m.retries.Load() }, 100*calls/all),
			per(func(m *measured) int64 { return m.hedges.Load() }, 100*calls/all),
			per(func(m *measured) int64 { return m.far.Load() }, 100),
			ms(s.all, 50), ms(s.all, 99), ms(s.all, 99.9),
			ratio(s, queues, 99), ratio(s, queues, 99.9),
			ratio(s, perfect, 99), ratio(s, perfect, 99.9), ratio(s, random, 99),
			per(func(m *measured) int64 { return m.probeBytes }, 1000*calls/all),
			per(func(m *measured) int64 { return m.sampleBytes }, 1000*calls/all))
	}
}

// writeFiles keeps the table and each policy's distribution in a directory of its own.
func writeFiles(options *options, command string, summaries []*summary) (string, error) {
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
		if _, err := s.all.PercentilesPrint(&text, 5, 1000); err != nil {
			return "", err
		}
		path := filepath.Join(directory, fmt.Sprintf("%s-%d.hgrm", s.policy, s.size))
		if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
			return "", err
		}
	}
	return directory, nil
}
