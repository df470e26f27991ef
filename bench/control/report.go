package main

import "fmt"

// System size expected in two years.
const (
	expectedMembers = 1200
	expectedZones   = 12
	expectedPerZone = expectedMembers / expectedZones
)

const tableHeader = "| members | zones | CPU ms/s per node | memory KiB per node | node sent B/s | node received B/s | " +
	"leader sent B/s | leader received B/s | calm reads/s | calm writes/s | zone restart reads/s | writes/s | " +
	"after outage reads/s | writes/s | list in force ms |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

func (r *result) tableRow() string {
	return fmt.Sprintf("| %d | %d | %.3f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f | %d |",
		r.members, r.zones, r.cpu, r.memory/1024,
		r.nonLeader.sent, r.nonLeader.received, r.leader.sent, r.leader.received,
		r.steady.reads, r.steady.writes, r.zoneRestart.reads, r.zoneRestart.writes, r.afterOutage.reads, r.afterOutage.writes,
		r.listDelay.Milliseconds())
}

// linearFit is a least-squares fit y = base + slope*x.
type linearFit struct{ base, slope float64 }

// fitLine fits y against x. If all x are equal, the slope is 0 and base is the mean of y.
func fitLine(results []result, x, y func(result) float64) linearFit {
	n := float64(len(results))
	var sx, sy, sxx, sxy float64
	for _, r := range results {
		sx += x(r)
		sy += y(r)
		sxx += x(r) * x(r)
		sxy += x(r) * y(r)
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return linearFit{base: sy / n}
	}
	slope := (n*sxy - sx*sy) / spread
	return linearFit{base: (sy - slope*sx) / n, slope: slope}
}

func (l linearFit) valueAt(x float64) float64 { return l.base + l.slope*x }

func memberCount(r result) float64 { return float64(r.members) }
func zoneSize(r result) float64    { return float64(r.members) / float64(r.zones) }

// printFit prints a linear fit of each figure and its value at the expected system size. The traffic of a leader is
// fitted against the number of members of its zone, all other figures against the number of all members.
func printFit(results []result) {
	fits := []struct {
		name string
		x    func(result) float64
		at   float64
		y    func(result) float64
	}{
		{"CPU ms/s, all nodes together", memberCount, expectedMembers, func(r result) float64 {
			return r.cpu * float64(r.members)
		}},
		{"memory KiB per node", memberCount, expectedMembers, func(r result) float64 { return r.memory / 1024 }},
		{"node sent B/s", memberCount, expectedMembers, func(r result) float64 { return r.nonLeader.sent }},
		{"node received B/s", memberCount, expectedMembers, func(r result) float64 { return r.nonLeader.received }},
		{"leader sent B/s, by members of its zone", zoneSize, expectedPerZone, func(r result) float64 { return r.leader.sent }},
		{"leader received B/s, by members of its zone", zoneSize, expectedPerZone, func(r result) float64 {
			return r.leader.received
		}},
		{"list in force ms", memberCount, expectedMembers, func(r result) float64 { return float64(r.listDelay.Milliseconds()) }},
	}
	fmt.Printf("\n| figure | base | slope | at %d members, %d zones |\n|---|---|---|---|\n", expectedMembers, expectedZones)
	for _, t := range fits {
		l := fitLine(results, t.x, t.y)
		fmt.Printf("| %s | %.3f | %.5f | %.2f |\n", t.name, l.base, l.slope, l.valueAt(t.at))
	}
}
