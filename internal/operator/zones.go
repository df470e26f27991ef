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
	// pollInterval is the time between two reads of the lease rows, which change every 2 s.
	pollInterval = time.Second
	// unreachableAfter is five renewals of a lease.
	unreachableAfter = 10 * time.Second
	// lastReadTimeout bounds the read that is made when the wait ends, which is the only one for a wait of 0.
	lastReadTimeout = 5 * time.Second
)

// ZoneState is what an availability zone's lease row says, and whether its lease is being renewed.
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
	// Unreachable reports that the lease was not renewed during at least 10 s of reads.
	Unreachable bool `json:"unreachable"`
}

// lag says for an operator why the zone is behind.
func (z ZoneState) lag() string {
	text := fmt.Sprintf("zone %s has version %d", z.Zone, z.MinList)
	if len(z.Behind) > 0 {
		text += fmt.Sprintf(", %d nodes behind (%s)", z.BehindCount, strings.Join(z.Behind, ", "))
	}
	if z.Unreachable {
		text += fmt.Sprintf(", unreachable: its lease was not renewed for %s", unreachableAfter)
	}
	return text
}

// watch follows the lease rows over several reads.
type watch struct {
	table platform.Table
	moved map[string]renewal
}

// renewal is the count of renewals that was read last, and when it was first read.
type renewal struct {
	count uint64
	since time.Time
}

func newWatch(table platform.Table) *watch {
	return &watch{table: table, moved: map[string]renewal{}}
}

// read returns the zones' state, sorted by zone.
func (w *watch) read(ctx context.Context) ([]ZoneState, error) {
	stored, err := w.table.Scan(ctx, cluster.ZonePrefix)
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
		zones = append(zones, w.state(lease, now))
	}
	return zones, nil
}

func (w *watch) state(lease cluster.LeaseRow, now time.Time) ZoneState {
	last, known := w.moved[lease.Zone]
	if !known || last.count != lease.Renewals {
		last = renewal{count: lease.Renewals, since: now}
		w.moved[lease.Zone] = last
	}
	return ZoneState{
		Zone:        lease.Zone,
		Region:      lease.Region,
		Holder:      lease.Holder,
		Epoch:       lease.Epoch,
		Nodes:       lease.Nodes,
		MinList:     lease.MinList,
		Behind:      lease.Behind,
		BehindCount: lease.BehindCount,
		Draining:    lease.DrainingIDs,
		Refusals:    lease.Refusals,
		Unreachable: now.Sub(last.since) >= unreachableAfter,
	}
}

// AwaitInForce waits until every zone reports the version or a later one, and returns the zones' state. It fails with
// *NotInForceError after the wait; a read in progress may take up to lastReadTimeout longer. Without any zone it
// returns at once.
func (o *Operator) AwaitInForce(ctx context.Context, version uint64, wait time.Duration) ([]ZoneState, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+lastReadTimeout)
	defer cancel()
	end := time.Now().Add(wait)
	watch := newWatch(o.Table)
	pending := &NotInForceError{Version: version}
	reported := ""
	for {
		zones, err := watch.read(ctx)
		pending.Cause = err
		if err == nil {
			pending.Zones = behind(zones, version)
		}
		if err == nil && len(pending.Zones) == 0 {
			return zones, nil
		}
		if line := pending.Error(); line != reported {
			o.progress(line)
			reported = line
		}
		if left := time.Until(end); left <= 0 || timing.Sleep(ctx, min(pollInterval, left)) != nil {
			return nil, pending
		}
	}
}

func behind(zones []ZoneState, version uint64) []ZoneState {
	var late []ZoneState
	for _, zone := range zones {
		if zone.MinList < version {
			late = append(late, zone)
		}
	}
	return late
}

func (o *Operator) progress(line string) {
	if o.Progress != nil {
		o.Progress(line)
	}
}

// Status is the state of the whole system as the table shows it.
type Status struct {
	List  cluster.ListRow `json:"list"` // the accepted list; zero when there is none
	Zones []ZoneState     `json:"zones"`
}

// Status reads the accepted list's row and the zones' state. Zones are found unreachable only when observe is 10 s or
// more, the time over which the lease rows are read.
func (o *Operator) Status(ctx context.Context, observe time.Duration) (Status, error) {
	watch := newWatch(o.Table)
	zones, err := watch.read(ctx)
	for end := time.Now().Add(observe); err == nil && time.Now().Before(end); {
		if timing.Sleep(ctx, min(pollInterval, time.Until(end))) != nil {
			return Status{}, eris.Wrap(ctx.Err(), "observe the zones")
		}
		zones, err = watch.read(ctx)
	}
	if err != nil {
		return Status{}, err
	}
	current, err := o.Current(ctx)
	return Status{List: current.Row, Zones: zones}, err
}
