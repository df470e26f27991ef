package control

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
)

// tenure is the state of a leader while it holds the lease of its zone.
type tenure struct {
	lease             cluster.LeaseRow         // last committed value
	leaseRowVersion   uint64                   // table version of the lease row
	membersRowVersion uint64                   // table version of the members row
	membersLoaded     bool                     // the members row has been read since the takeover
	commitUncertain   bool                     // a commit failed but may have taken effect
	releasing         bool                     // the next commit releases the lease
	membersWrittenAt  time.Time                // when the members row was last written
	records           map[string]*memberRecord // by member id
	tombstones        map[string]time.Time     // removal time by id; late heartbeats of these ids are ignored
}

// becomeLeader starts a tenure with the committed lease row; version is the table version of that row.
func (s *state) becomeLeader(lease cluster.LeaseRow, version uint64) {
	klog.Infof("zone %s: %s holds the lease at epoch %d", lease.Zone, s.self.ID, lease.Epoch)
	s.incrementCounter("lease.taken")
	s.lease = &tenure{
		lease:           lease,
		leaseRowVersion: version,
		records:         map[string]*memberRecord{},
		tombstones:      map[string]time.Time{},
	}
	s.leader.epoch = lease.Epoch
	s.leader.addr = ""
	s.leader.confirmed = false
	s.leader.acting = false
	s.watch = leaseWatch{}
	s.soft.received = nil
	s.soft.receivedVersion = 0
	for _, z := range s.zones {
		z.version = 0 // fetch the zone again: a leader needs the members of all services
	}
	s.markSoftStateChanged()
	s.due[taskHeartbeat] = time.Time{}
	s.due[taskPoll] = time.Time{}
	s.scheduleNow(taskScan)
	s.scheduleNow(taskRenew)
}

// stepDown ends the tenure without writing to the table.
func (s *state) stepDown() {
	klog.Infof("zone %s: %s no longer holds the lease of epoch %d", s.self.Zone, s.self.ID, s.lease.lease.Epoch)
	s.incrementCounter("lease.lost")
	s.lease = nil
	s.due[taskRenew] = time.Time{}
	s.due[taskScan] = time.Time{}
	s.leader.lastResponse = time.Time{}
	s.markSoftStateChanged()
	s.searchForLeader()
	s.scheduleNow(taskHeartbeat)
}

// release schedules the commit that releases the lease and removes this node from the members row.
func (s *state) release() {
	s.lease.releasing = true
	s.scheduleNow(taskRenew)
}

// renew commits the lease row and, if it is outdated, the members row in one transaction. Both writes are conditional
// on the table versions known to this tenure, so the holder of an old epoch can't write either row. The rows are read
// first if their versions are not known for certain.
func (s *state) renew() {
	if s.lease == nil {
		return
	}
	s.scheduleAfter(taskRenew, s.jittered(s.cfg.RenewInterval))
	if !s.beginOperation("renew") {
		return
	}
	if !s.lease.membersLoaded || s.lease.commitUncertain {
		s.reloadRows()
		return
	}
	s.commit()
}

// commit writes the lease row and, if necessary, the members row.
func (s *state) commit() {
	tenure := s.lease
	lease := s.nextLease()
	members := s.nextMembers()
	lease.MembersVersion = s.zoneVersion(s.self.Zone)
	writes := []platform.Write{{Key: cluster.LeaseKey(s.self.Zone), IfVersion: tenure.leaseRowVersion}}
	if members != nil {
		lease.MembersVersion = members.Version
		tenure.membersWrittenAt = time.Now()
		key := cluster.MembersKey(s.self.Zone)
		writes = append(writes, platform.Write{Key: key, IfVersion: tenure.membersRowVersion, Value: encode(members)})
	}
	writes[0].Value = encode(lease)
	runInBackground(s, s.cfg.StoreTimeout, func(ctx context.Context) ([]uint64, error) {
		return s.cfg.Table.Commit(ctx, writes)
	}, func(versions []uint64, err error) {
		s.endOperation("renew")
		if s.lease == tenure {
			s.handleCommitResult(lease, members, versions, err)
		}
	})
}

// handleCommitResult applies the result of a commit; members is nil if only the lease row was written.
func (s *state) handleCommitResult(lease cluster.LeaseRow, members *cluster.MembersRow, versions []uint64, err error) {
	s.recordStoreResult(err)
	if err != nil {
		s.handleCommitError(err)
		return
	}
	s.incrementCounter("lease.renewed")
	s.lease.lease = lease
	s.lease.leaseRowVersion = versions[0]
	if members != nil {
		s.lease.membersRowVersion = versions[1]
		s.zones[s.self.Zone] = &zoneView{version: members.Version, members: members.Members}
		s.markSoftStateChanged()
	}
	if lease.Holder == "" {
		s.finishRelease()
		return
	}
	s.scheduleMembersWrite()
}

// handleCommitError schedules a read of both rows: immediately after a conflict, which an earlier write of this tenure
// may have caused, and with a delay after other errors.
func (s *state) handleCommitError(err error) {
	s.incrementCounter("lease.commit-failed")
	s.lease.commitUncertain = true
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		s.scheduleNow(taskRenew)
		return
	}
	s.scheduleAfter(taskRenew, s.cfg.RenewInterval/2+s.randomBelow(s.cfg.RenewInterval/2))
}

// finishRelease ends the tenure after the release of the lease was committed.
func (s *state) finishRelease() {
	s.confirmDeparture()
	s.stepDown()
}

// zoneRows holds the lease row and the members row of a zone.
type zoneRows struct{ lease, members platform.Row }

// reloadRows reads both rows after a takeover or a commit with an uncertain result.
func (s *state) reloadRows() {
	tenure := s.lease
	runInBackground(s, 2*s.cfg.StoreTimeout, func(ctx context.Context) (zoneRows, error) {
		return readZone(ctx, s.cfg.Table, s.self.Zone)
	}, func(rows zoneRows, err error) {
		s.endOperation("renew")
		up := s.recordStoreResult(err)
		if s.lease == tenure && up {
			s.applyReloadedRows(rows)
		}
	})
}

// readZone returns the rows of a zone; a row that does not exist has version 0. The lease row is read last: if it still
// names the caller as holder, no other node has written the members row.
func readZone(ctx context.Context, table platform.Table, zone string) (zoneRows, error) {
	var rows zoneRows
	var err error
	if rows.members, err = getRow(ctx, table, cluster.MembersKey(zone)); err != nil {
		return rows, err
	}
	rows.lease, err = getRow(ctx, table, cluster.LeaseKey(zone))
	return rows, err
}

// getRow returns a row, or a row of version 0 if it does not exist.
func getRow(ctx context.Context, table platform.Table, key string) (platform.Row, error) {
	row, err := table.Get(ctx, key)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.Row{Key: key}, nil
	}
	return row, err
}

// applyReloadedRows continues the tenure with the rows read by reloadRows, or ends it if another node holds the lease.
func (s *state) applyReloadedRows(rows zoneRows) {
	lease, err := decodeLease(rows.lease)
	if err == nil && s.lease.releasing && lease.Holder == "" && lease.Epoch == s.lease.lease.Epoch {
		s.finishRelease()
		return
	}
	if err != nil || lease.Holder != s.self.ID || lease.Epoch != s.lease.lease.Epoch {
		s.stepDown()
		return
	}
	var members cluster.MembersRow
	if rows.members.Version > 0 && decode(rows.members, &members) != nil {
		s.incrementCounter("row.undecodable") // the next commit overwrites it
	}
	s.lease.lease = lease
	s.lease.leaseRowVersion = rows.lease.Version
	s.lease.membersRowVersion = rows.members.Version
	s.lease.commitUncertain = false
	s.zones[s.self.Zone] = &zoneView{version: members.Version, members: members.Members}
	if !s.lease.membersLoaded {
		s.lease.membersLoaded = true
		s.inheritMembers(members.Members)
	}
	s.markSoftStateChanged()
	s.scheduleNow(taskRenew)
}
