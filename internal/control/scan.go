package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
)

// maxRosterAge is the age of the last roster confirmation at which a node reads the roster index from the table itself.
// It is well below 10 s, when the authority for keyed calls lapses.
const maxRosterAge = 4 * time.Second

// scanResult holds the rows that a leader reads every ScanInterval.
type scanResult struct {
	leases       []platform.Row
	list         platform.Row
	roster       platform.Row
	rosterReadAt time.Time // when the reads were sent
}

// scan reads the lease rows, the list row and the roster index, and applies them. Only a leader scans.
func (s *state) scan() {
	if s.lease == nil {
		return
	}
	s.scheduleAfter(taskScan, s.jittered(s.cfg.ScanInterval))
	if !s.beginOperation("scan") {
		return
	}
	runInBackground(s, s.cfg.StoreTimeout, func(ctx context.Context) (scanResult, error) {
		return readScanRows(ctx, s.cfg.Table)
	}, func(rows scanResult, err error) {
		s.endOperation("scan")
		if !s.recordStoreResult(err) {
			s.scheduleAfter(taskScan, s.cfg.ScanInterval+s.randomBelow(s.cfg.ScanInterval))
			return
		}
		s.applyScan(rows)
	})
}

// readScanRows reads the rows concurrently, so that a scan of a slow store fits in the timeout of one operation.
func readScanRows(ctx context.Context, table platform.Table) (scanResult, error) {
	rows := scanResult{rosterReadAt: time.Now()}
	var reads errgroup.Group
	reads.Go(func() (err error) {
		rows.roster, err = getRow(ctx, table, cluster.RosterIndexKey)
		return err
	})
	reads.Go(func() (err error) {
		rows.list, err = getRow(ctx, table, cluster.CurrentListKey)
		return err
	})
	reads.Go(func() (err error) {
		rows.leases, err = table.Scan(ctx, cluster.LeasePrefix)
		return err
	})
	err := reads.Wait()
	return rows, err
}

// applyScan applies the rows of a scan. Rows that can't be decoded are counted and ignored.
func (s *state) applyScan(rows scanResult) {
	s.applyRosterIndex(rows.roster, rows.rosterReadAt)
	s.applyListRow(rows.list)
	for _, row := range rows.leases {
		lease, err := decodeLease(row)
		if err != nil {
			s.incrementCounter("row.undecodable")
			continue
		}
		s.table.leases[lease.Zone] = lease
		s.applyLease(lease)
	}
}

// applyLease fetches the members of another zone if their version increased. A higher epoch in the lease of this zone
// ends this node's tenure.
func (s *state) applyLease(lease cluster.LeaseRow) {
	if lease.Zone != s.self.Zone {
		if lease.MembersVersion > s.zoneVersion(lease.Zone) {
			s.fetchZone(lease.Zone)
		}
		return
	}
	if s.lease != nil && lease.Epoch > s.lease.lease.Epoch {
		s.stepDown()
	}
}

// fetchZone reads the members row of another zone and applies it if it is newer.
func (s *state) fetchZone(zone string) {
	operation := "zone " + zone
	if !s.beginOperation(operation) {
		return
	}
	runInBackground(s, s.cfg.StoreTimeout, func(ctx context.Context) (platform.Row, error) {
		return getRow(ctx, s.cfg.Table, cluster.MembersKey(zone))
	}, func(row platform.Row, err error) {
		s.endOperation(operation)
		var members cluster.MembersRow
		if !s.recordStoreResult(err) || row.Version == 0 || s.lease == nil {
			return
		}
		if decode(row, &members) != nil {
			s.incrementCounter("row.undecodable")
			return
		}
		if members.Version > s.zoneVersion(zone) {
			s.zones[zone] = &zoneView{version: members.Version, members: members.Members}
			s.markSoftStateChanged()
		}
	})
}

// applyListRow records the row of the current service list and schedules a fetch if the list is new.
func (s *state) applyListRow(row platform.Row) {
	if row.Version == 0 {
		return
	}
	var current cluster.ListRow
	if decode(row, &current) != nil {
		s.incrementCounter("row.undecodable")
		return
	}
	s.table.list = &current
	s.scheduleListFetch(wantedListFromRow(&current))
}

// applyRosterIndex records the row that maps each service to the commit number of its key roster. readAt is when the
// read was sent.
func (s *state) applyRosterIndex(row platform.Row, readAt time.Time) {
	var index cluster.RosterIndexRow
	if row.Version > 0 && decode(row, &index) != nil {
		s.incrementCounter("row.undecodable")
		return
	}
	s.table.rosterCommits = index.CommitNumbers
	s.table.rosterReadAt = readAt
	s.confirmRoster(index.CommitNumbers[s.self.Service], readAt)
}

// pollRoster reads the roster index from the table while no leader confirms it. The allowed age grows with the
// heartbeat interval of a large zone.
func (s *state) pollRoster() {
	s.scheduleAfter(taskRoster, s.cfg.PollInterval+s.randomBelow(s.cfg.PollInterval))
	if s.lease != nil ||
		time.Since(s.leader.rosterConfirmedAt) < maxRosterAge+s.leader.interval-s.cfg.HeartbeatInterval ||
		!s.beginOperation("roster") {
		return
	}
	readAt := time.Now()
	runInBackground(s, s.cfg.StoreTimeout, func(ctx context.Context) (platform.Row, error) {
		return getRow(ctx, s.cfg.Table, cluster.RosterIndexKey)
	}, func(row platform.Row, err error) {
		s.endOperation("roster")
		if s.recordStoreResult(err) {
			s.applyRosterIndex(row, readAt)
		}
	})
}
