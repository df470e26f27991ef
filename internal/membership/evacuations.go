package membership

import (
	"strings"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/platform"
)

// maxZoneName is the greatest length in bytes of the name of a zone in an order to evacuate it.
const maxZoneName = 100

// evacuations holds the operators' orders to evacuate availability zones, by zone, with the version of the order's last
// row. It is not safe for concurrent use and does no I/O.
type evacuations map[string]evacuation

type evacuation struct {
	version   uint64
	takenBack bool
}

// zones returns the evacuated zones, or nil if there are none.
func (e evacuations) zones() map[string]bool {
	var zones map[string]bool
	for zone, order := range e {
		if order.takenBack {
			continue
		}
		if zones == nil {
			zones = map[string]bool{}
		}
		zones[zone] = true
	}
	return zones
}

// apply applies the row of an order unless a later row is known.
func (e evacuations) apply(zone string, row platform.FeedRow) {
	if row.Version < e[zone].version {
		return // sent by a reader with older state
	}
	e[zone] = evacuation{row.Version, row.Removed}
}

// isZoneName reports whether a name can be that of a zone: printable ASCII without spaces and slashes.
func isZoneName(name string) bool {
	return name != "" && len(name) <= maxZoneName &&
		!strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' || r == '/' })
}

// isEvacuation reports whether the row orders the evacuation of a zone.
func (d *Directory) isEvacuation(row platform.FeedRow) bool {
	prefix := d.config.List.EvacuationPrefix
	return prefix != "" && strings.HasPrefix(row.Key, prefix)
}

// applyEvacuations applies the rows that order the evacuation of zones. If full is set, they are all orders in force. It runs
// on the goroutine that owns the state.
func (d *Directory) applyEvacuations(rows []platform.FeedRow, full bool) {
	before := d.evacuations.zones()
	if full {
		clear(d.evacuations)
	}
	for _, row := range rows {
		if !d.isEvacuation(row) {
			continue
		}
		zone := strings.TrimPrefix(row.Key, d.config.List.EvacuationPrefix)
		if !isZoneName(zone) {
			klog.InfoS("evacuation ignored: not the name of a zone", "key", row.Key, "version", row.Version)
			d.config.Metrics.Counter("zone.order-invalid").Inc(1)
			continue
		}
		d.evacuations.apply(zone, row)
	}
	d.logEvacuations(before, d.evacuations.zones())
}

// logEvacuations logs and counts the zones whose evacuation was ordered or taken back.
func (d *Directory) logEvacuations(before, after map[string]bool) {
	for zone := range after {
		if !before[zone] {
			klog.InfoS("zone evacuated", "zone", zone, "own", zone == d.config.Self.Zone, "version", d.evacuations[zone].version)
			d.config.Metrics.Counter("zone.evacuated").Inc(1)
		}
	}
	for zone := range before {
		if !after[zone] {
			klog.InfoS("evacuation taken back", "zone", zone, "own", zone == d.config.Self.Zone, "version", d.evacuations[zone].version)
			d.config.Metrics.Counter("zone.taken-back").Inc(1)
		}
	}
}
