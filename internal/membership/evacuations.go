package membership

import (
	"strings"
	"time"

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
	// heldUntil is the end of an order whose row is missing since the store came back from an older copy; zero: it has a row.
	heldUntil time.Time
}

// evacuationHold is the time for which an order stays in force whose row the store has lost, until the operators have written
// it again.
const evacuationHold = 10 * time.Second

// replaceAll applies a full read, whose rows are all orders. If the store came back from an older copy, orders that were in
// force and are missing are held.
func (e evacuations) replaceAll(restored bool, now time.Time) {
	for zone, order := range e {
		switch {
		case order.takenBack:
			delete(e, zone)
		case restored && order.heldUntil.IsZero():
			order.heldUntil = now.Add(evacuationHold)
			e[zone] = order
		case !now.Before(order.heldUntil):
			delete(e, zone)
		}
	}
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
	e[zone] = evacuation{version: row.Version, takenBack: row.Removed}
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

// applyEvacuations applies the rows that order the evacuation of zones. If full is set, they are all orders in the store. It
// runs on the goroutine that owns the state.
func (d *Directory) applyEvacuations(rows []platform.FeedRow, full bool, era uint64) {
	before := d.evacuations.zones()
	if full {
		restored := d.currentList != nil && era > d.evacuationEra
		d.evacuationEra = max(d.evacuationEra, era)
		d.evacuations.replaceAll(restored, time.Now())
		if restored && len(d.evacuations) > 0 {
			time.AfterFunc(evacuationHold+time.Millisecond, d.signalHoldsExpired)
		}
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

// signalHoldsExpired makes the goroutine that owns the state end held orders.
func (d *Directory) signalHoldsExpired() {
	select {
	case d.holdsExpired <- struct{}{}:
	default:
	}
}

// endHolds takes back the held orders whose time is over.
func (d *Directory) endHolds(now time.Time) {
	before := d.evacuations.zones()
	for zone, order := range d.evacuations {
		if !order.heldUntil.IsZero() && !now.Before(order.heldUntil) {
			delete(d.evacuations, zone)
		}
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
