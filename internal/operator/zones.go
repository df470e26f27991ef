package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/timing"
)

const (
	// pollInterval is the time between two reads of the lease rows. Leases are renewed every 2 s.
	pollInterval = time.Second
	// unreachableAfter is the time without a renewal after which a zone counts as unreachable: five renewal intervals.
	unreachableAfter = 10 * time.Second
	// finalReadTimeout limits the read of the lease rows that is in progress when the wait ends. With a wait of 0 it is
	// the only read.
	finalReadTimeout = 5 * time.Second
)

// ZoneState is the content of an availability zone's lease row, and whether the lease is being renewed.
type ZoneState struct {
	Zone        string   `json:"zone"`
	Region      string   `json:"region"`
	Holder      string   `json:"holder"`
	Epoch       uint64   `json:"epoch"`
	Nodes       int      `json:"nodes"`
	MinList     uint64   `json:"min_list"` // lowest version in force at the zone's nodes
	Behind      []string `json:"behind"`   // nodes below the newest version, at most 10
	BehindCount int      `json:"behind_count"`
	Draining    []string `json:"draining"`
	Refusals    uint64   `json:"refusals"`
	// Unreachable reports that the lease rows were read for at least 10 s without a renewal of this lease.
	Unreachable bool `json:"unreachable"`
}

// lagText describes, for an operator, how far the zone is behind.
func (z ZoneState) lagText() string {
	text := fmt.Sprintf("zone %s has version %d", z.Zone, z.MinList)
	if len(z.Behind) > 0 {
		text += fmt.Sprintf(", %d nodes behind (%s)", z.BehindCount, strings.Join(z.Behind, ", "))
	}
	if z.Unreachable {
		text += fmt.Sprintf(", unreachable: its lease was not renewed for %s", unreachableAfter)
	}
	return text
}

// leaseWatcher detects over several reads of the lease rows which leases are no longer renewed.
type leaseWatcher struct {
	table    platform.Table
	renewals map[string]renewal // by zone
}

// renewal is the last known value of a lease's renewal counter and the time at which this value was first read.
type renewal struct {
	count uint64
	since time.Time
}

func newLeaseWatcher(table platform.Table) *leaseWatcher {
	return &leaseWatcher{table: table, renewals: map[string]renewal{}}
}

// readZones reads all lease rows and returns the state of the zones, sorted by zone.
func (w *leaseWatcher) readZones(ctx context.Context) ([]ZoneState, error) {
	stored, err := w.table.Scan(ctx, cluster.LeasePrefix)
	if err != nil {
		return nil, eris.Wrap(err, "read the zones' lease rows")
	}
	now := time.Now()
	zones := []ZoneState{}
	for _, row := range stored {
		if !strings.HasSuffix(row.Key, "/lease") {
			continue
		}
		var lease cluster.LeaseRow
		if err := json.Unmarshal(row.Value, &lease); err != nil {
			return nil, &CorruptError{Name: row.Key, Detail: err.Error()}
		}
		zones = append(zones, w.zoneState(lease, now))
	}
	return zones, nil
}

func (w *leaseWatcher) zoneState(lease cluster.LeaseRow, now time.Time) ZoneState {
	last, known := w.renewals[lease.Zone]
	if !known || last.count != lease.Renewals {
		last = renewal{count: lease.Renewals, since: now}
		w.renewals[lease.Zone] = last
	}
	return ZoneState{
		Zone:        lease.Zone,
		Region:      lease.Region,
		Holder:      lease.Holder,
		Epoch:       lease.Epoch,
		Nodes:       lease.Nodes,
		MinList:     lease.MinListVersion,
		Behind:      lease.BehindIDs,
		BehindCount: lease.BehindCount,
		Draining:    lease.DrainingIDs,
		Refusals:    lease.Refusals,
		Unreachable: now.Sub(last.since) >= unreachableAfter,
	}
}

// AwaitInForce waits until every zone reports this version or a later one, and returns the state of the zones. It fails
// with *NotInForceError when the wait ends; a read in progress may take up to finalReadTimeout longer. If there are no
// zones, it returns immediately.
func (o *Operator) AwaitInForce(ctx context.Context, version uint64, wait time.Duration) ([]ZoneState, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+finalReadTimeout)
	defer cancel()
	deadline := time.Now().Add(wait)
	watcher := newLeaseWatcher(o.Table)
	pending := &NotInForceError{Version: version}
	lastLine := ""
	for {
		zones, err := watcher.readZones(ctx)
		pending.Cause = err
		if err == nil {
			pending.Zones = zonesBehind(zones, version)
		}
		if err == nil && len(pending.Zones) == 0 {
			return zones, nil
		}
		if line := pending.Error(); line != lastLine {
			o.reportProgress(line)
			lastLine = line
		}
		if remaining := time.Until(deadline); remaining <= 0 || timing.Sleep(ctx, min(pollInterval, remaining)) != nil {
			return nil, pending
		}
	}
}

// zonesBehind returns the zones in which a node has a lower version in force.
func zonesBehind(zones []ZoneState, version uint64) []ZoneState {
	var behind []ZoneState
	for _, zone := range zones {
		if zone.MinList < version {
			behind = append(behind, zone)
		}
	}
	return behind
}

func (o *Operator) reportProgress(line string) {
	if o.Progress != nil {
		o.Progress(line)
	}
}

// Status is the state of the system as recorded in the platform's table.
type Status struct {
	List  cluster.ListRow `json:"list"` // row of the accepted list; zero if there is none
	Zones []ZoneState     `json:"zones"`
}

// Status reads the row of the accepted list and the state of the zones. observe is the time over which the lease rows
// are read; a zone can be reported as unreachable only if it is 10 s or more.
func (o *Operator) Status(ctx context.Context, observe time.Duration) (Status, error) {
	watcher := newLeaseWatcher(o.Table)
	zones, err := watcher.readZones(ctx)
	for end := time.Now().Add(observe); err == nil && time.Now().Before(end); {
		if timing.Sleep(ctx, min(pollInterval, time.Until(end))) != nil {
			return Status{}, eris.Wrap(ctx.Err(), "observe the zones' leases")
		}
		zones, err = watcher.readZones(ctx)
	}
	if err != nil {
		return Status{}, err
	}
	current, err := o.Current(ctx)
	return Status{List: current.Row, Zones: zones}, err
}
