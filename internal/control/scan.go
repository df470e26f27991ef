package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
)

// rosterPatience is the age of a roster confirmation at which a node reads the table itself. Authority for keyed calls
// lapses at 10 s.
const rosterPatience = 4 * time.Second

// scanned is what a leader reads each interval.
type scanned struct {
	leases     []platform.Row
	current    platform.Row
	roster     platform.Row
	rosterRead time.Time
}

func (s *state) scan() {
	if s.lease == nil {
		return
	}
	s.after(taskScan, s.jittered(s.cfg.ScanInterval))
	if !s.begin("scan") {
		return
	}
	background(s, s.cfg.StoreTimeout, func(ctx context.Context) (scanned, error) {
		return readAll(ctx, s.cfg.Table)
	}, func(rows scanned, err error) {
		s.finish("scan")
		if !s.sawStore(err) {
			s.after(taskScan, s.cfg.ScanInterval+s.upTo(s.cfg.ScanInterval))
			return
		}
		s.applyScan(rows)
	})
}

// readAll reads all three at once, so that a slow store can answer within the time of one operation.
func readAll(ctx context.Context, table platform.Table) (scanned, error) {
	rows := scanned{rosterRead: time.Now()}
	var reads errgroup.Group
	reads.Go(func() (err error) {
		rows.roster, err = getRow(ctx, table, cluster.RosterIndexKey)
		return err
	})
	reads.Go(func() (err error) {
		rows.current, err = getRow(ctx, table, cluster.CurrentListKey)
		return err
	})
	reads.Go(func() (err error) {
		rows.leases, err = table.Scan(ctx, cluster.ZonePrefix)
		return err
	})
	err := reads.Wait()
	return rows, err
}

func (s *state) applyScan(rows scanned) {
	s.applyRoster(rows.roster, rows.rosterRead)
	s.applyCurrent(rows.current)
	for _, row := range rows.leases {
		lease, err := decodeLease(row)
		if err != nil {
			s.count("row.undecodable")
			continue
		}
		s.table.leases[lease.Zone] = lease
		s.applyLease(lease)
	}
}

// applyLease fetches another zone's members when their version changed, and ends an overtaken tenure.
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

func (s *state) fetchZone(zone string) {
	operation := "zone " + zone
	if !s.begin(operation) {
		return
	}
	background(s, s.cfg.StoreTimeout, func(ctx context.Context) (platform.Row, error) {
		return getRow(ctx, s.cfg.Table, cluster.MembersKey(zone))
	}, func(row platform.Row, err error) {
		s.finish(operation)
		var members cluster.MembersRow
		if !s.sawStore(err) || row.Version == 0 || s.lease == nil {
			return
		}
		if decode(row, &members) != nil {
			s.count("row.undecodable")
			return
		}
		if members.Version > s.zoneVersion(zone) {
			s.zones[zone] = &zoneView{version: members.Version, members: members.Members}
			s.changedSoft()
		}
	})
}

func (s *state) applyCurrent(row platform.Row) {
	if row.Version == 0 {
		return
	}
	var current cluster.ListRow
	if decode(row, &current) != nil {
		s.count("row.undecodable")
		return
	}
	s.table.current = &current
	s.wantList(wantedFrom(&current))
}

// applyRoster takes the row that maps each service to the row version of its key roster.
func (s *state) applyRoster(row platform.Row, read time.Time) {
	roster := map[string]uint64{}
	if row.Version > 0 && decode(row, &roster) != nil {
		s.count("row.undecodable")
		return
	}
	s.table.roster = roster
	s.table.rosterRead = read
	s.confirmRoster(roster[s.self.Service], read)
}

// pollRoster reads the roster index directly while no leader's answer confirms it.
func (s *state) pollRoster() {
	s.after(taskRoster, s.cfg.PollInterval+s.upTo(s.cfg.PollInterval))
	if s.lease != nil || time.Since(s.leader.roster) < rosterPatience+s.leader.interval-s.cfg.HeartbeatInterval || !s.begin("roster") {
		return
	}
	read := time.Now()
	background(s, s.cfg.StoreTimeout, func(ctx context.Context) (platform.Row, error) {
		return getRow(ctx, s.cfg.Table, cluster.RosterIndexKey)
	}, func(row platform.Row, err error) {
		s.finish("roster")
		if s.sawStore(err) {
			s.applyRoster(row, read)
		}
	})
}
