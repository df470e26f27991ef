package main

import "fmt"

// Size expected in two years.
const (
	expectedMembers = 1200
	expectedZones   = 12
	expectedPerZone = expectedMembers / expectedZones
)

const heading = "| members | zones | CPU ms/s per node | memory KiB per node | node sent B/s | node received B/s | " +
	"leader sent B/s | leader received B/s | calm reads/s | calm writes/s | zone restart reads/s | writes/s | " +
	"after outage reads/s | writes/s | list in force ms |\n" +
	"|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"

func (f *figures) row() string {
	return fmt.Sprintf("| %d | %d | %.3f | %.0f | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f | %d |",
		f.members, f.zones, f.cpu, f.memory/1024,
		f.plain.sent, f.plain.received, f.leader.sent, f.leader.received,
		f.calm.reads, f.calm.writes, f.restart.reads, f.restart.writes, f.outage.reads, f.outage.writes,
		f.list.Milliseconds())
}

// line is a least-squares fit y = base + slope*x.
type line struct{ base, slope float64 }

func fit(results []figures, x, y func(figures) float64) line {
	n := float64(len(results))
	var sx, sy, sxx, sxy float64
	for _, f := range results {
		sx += x(f)
		sy += y(f)
		sxx += x(f) * x(f)
		sxy += x(f) * y(f)
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return line{base: sy / n}
	}
	slope := (n*sxy - sx*sy) / spread
	return line{base: (sy - slope*sx) / n, slope: slope}
}

func (l line) at(x float64) float64 { return l.base + l.slope*x }

func members(f figures) float64 { return float64(f.members) }
func perZone(f figures) float64 { return float64(f.members) / float64(f.zones) }

// printFit prints the fitted slopes and what they give at the expected size. A leader's bytes follow the members of its
// zone, the other figures all members.
func printFit(results []figures) {
	fits := []struct {
		name string
		x    func(figures) float64
		at   float64
		y    func(figures) float64
	}{
		{"CPU ms/s, all nodes together", members, expectedMembers, func(f figures) float64 {
			return f.cpu * float64(f.members)
		}},
		{"memory KiB per node", members, expectedMembers, func(f figures) float64 { return f.memory / 1024 }},
		{"node sent B/s", members, expectedMembers, func(f figures) float64 { return f.plain.sent }},
		{"node received B/s", members, expectedMembers, func(f figures) float64 { return f.plain.received }},
		{"leader sent B/s, by members of its zone", perZone, expectedPerZone, func(f figures) float64 { return f.leader.sent }},
		{"leader received B/s, by members of its zone", perZone, expectedPerZone, func(f figures) float64 {
			return f.leader.received
		}},
		{"list in force ms", members, expectedMembers, func(f figures) float64 { return float64(f.list.Milliseconds()) }},
	}
	fmt.Printf("\n| figure | base | slope | at %d members, %d zones |\n|---|---|---|---|\n", expectedMembers, expectedZones)
	for _, t := range fits {
		l := fit(results, t.x, t.y)
		fmt.Printf("| %s | %.3f | %.5f | %.2f |\n", t.name, l.base, l.slope, l.at(t.at))
	}
}
