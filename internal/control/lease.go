package control

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
)

// tenure is the state of a lease holder.
type tenure struct {
	lease        cluster.LeaseRow // as last committed
	leaseVersion uint64           // row version of the lease row
	rowVersion   uint64           // row version of the members row
	loaded       bool             // the members row was read after the takeover
	unsure       bool             // a commit may have taken effect without an answer
	released     bool             // the holder gives up the lease with its next commit
	wrote        time.Time        // last write of the members row
	records      map[string]*record
	gone         map[string]time.Time // ids that were replaced or left; their late heartbeats change nothing
}

// lead starts a tenure with the committed lease row.
func (s *state) lead(lease cluster.LeaseRow, version uint64) {
	klog.Infof("zone %s: %s holds the lease at epoch %d", lease.Zone, s.self.ID, lease.Epoch)
	s.count("lease.taken")
	s.lease = &tenure{
		lease:        lease,
		leaseVersion: version,
		records:      map[string]*record{},
		gone:         map[string]time.Time{},
	}
	s.leader.epoch = lease.Epoch
	s.leader.addr = ""
	s.leader.confirmed = false
	s.leader.acting = false
	s.watch = leaseWatch{}
	s.soft.received = nil
	s.soft.receivedVersion = 0
	for _, z := range s.zones {
		z.version = 0 // a leader needs the members of all services
	}
	s.changedSoft()
	s.due[taskHeartbeat] = time.Time{}
	s.due[taskPoll] = time.Time{}
	s.sooner(taskScan)
	s.sooner(taskRenew)
}

// stepDown ends the tenure without a write.
func (s *state) stepDown() {
	klog.Infof("zone %s: %s no longer holds the lease of epoch %d", s.self.Zone, s.self.ID, s.lease.lease.Epoch)
	s.count("lease.lost")
	s.lease = nil
	s.due[taskRenew] = time.Time{}
	s.due[taskScan] = time.Time{}
	s.leader.answered = time.Time{}
	s.changedSoft()
	s.loseLeader()
	s.sooner(taskHeartbeat)
}

// release gives up the lease, with the members row that no longer holds this node.
func (s *state) release() {
	s.lease.released = true
	s.sooner(taskRenew)
}

// renew commits the lease row, and with it the members row when it changed. Both writes are conditional on the versions
// that this tenure knows, so a holder of an old epoch can write neither.
func (s *state) renew() {
	if s.lease == nil {
		return
	}
	s.after(taskRenew, s.jittered(s.cfg.RenewInterval))
	if !s.begin("renew") {
		return
	}
	if !s.lease.loaded || s.lease.unsure {
		s.reload()
		return
	}
	s.commit()
}

func (s *state) commit() {
	tenure := s.lease
	lease := s.nextLease()
	members := s.nextMembers()
	lease.MembersVersion = s.zoneVersion(s.self.Zone)
	writes := []platform.Write{{Key: cluster.LeaseKey(s.self.Zone), IfVersion: tenure.leaseVersion}}
	if members != nil {
		lease.MembersVersion = members.Version
		tenure.wrote = time.Now()
		key := cluster.MembersKey(s.self.Zone)
		writes = append(writes, platform.Write{Key: key, IfVersion: tenure.rowVersion, Value: encode(members)})
	}
	writes[0].Value = encode(lease)
	background(s, s.cfg.StoreTimeout, func(ctx context.Context) ([]uint64, error) {
		return s.cfg.Table.Commit(ctx, writes)
	}, func(versions []uint64, err error) {
		s.finish("renew")
		if s.lease == tenure {
			s.committed(lease, members, versions, err)
		}
	})
}

func (s *state) committed(lease cluster.LeaseRow, members *cluster.MembersRow, versions []uint64, err error) {
	s.sawStore(err)
	if err != nil {
		s.commitFailed(err)
		return
	}
	s.count("lease.renewed")
	s.lease.lease = lease
	s.lease.leaseVersion = versions[0]
	if members != nil {
		s.lease.rowVersion = versions[1]
		s.zones[s.self.Zone] = &zoneView{version: members.Version, members: members.Members}
		s.changedSoft()
	}
	if lease.Holder == "" {
		s.released()
		return
	}
	s.scheduleMembers()
}

// commitFailed finds out at once whether a conflict came from this tenure's own write; an outage is retried later.
func (s *state) commitFailed(err error) {
	s.count("lease.commit-failed")
	s.lease.unsure = true
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		s.sooner(taskRenew)
		return
	}
	s.after(taskRenew, s.cfg.RenewInterval/2+s.upTo(s.cfg.RenewInterval/2))
}

func (s *state) released() {
	s.confirmLeft()
	s.stepDown()
}

// zoneRows are the two rows of a zone as read from the table.
type zoneRows struct{ lease, members platform.Row }

// reload reads both rows after a takeover or a commit without a clear answer.
func (s *state) reload() {
	tenure := s.lease
	background(s, 2*s.cfg.StoreTimeout, func(ctx context.Context) (zoneRows, error) {
		return readZone(ctx, s.cfg.Table, s.self.Zone)
	}, func(rows zoneRows, err error) {
		s.finish("renew")
		up := s.sawStore(err)
		if s.lease == tenure && up {
			s.reloaded(rows)
		}
	})
}

// readZone returns a zone's rows; rows that don't exist have version 0. The lease row is read last: when it still names
// the reader, no other node wrote the members row.
func readZone(ctx context.Context, table platform.Table, zone string) (zoneRows, error) {
	var rows zoneRows
	var err error
	if rows.members, err = getRow(ctx, table, cluster.MembersKey(zone)); err != nil {
		return rows, err
	}
	rows.lease, err = getRow(ctx, table, cluster.LeaseKey(zone))
	return rows, err
}

// getRow returns a row, or a row of version 0 when it does not exist.
func getRow(ctx context.Context, table platform.Table, key string) (platform.Row, error) {
	row, err := table.Get(ctx, key)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.Row{Key: key}, nil
	}
	return row, err
}

func (s *state) reloaded(rows zoneRows) {
	lease, err := decodeLease(rows.lease)
	if err == nil && s.lease.released && lease.Holder == "" && lease.Epoch == s.lease.lease.Epoch {
		s.released()
		return
	}
	if err != nil || lease.Holder != s.self.ID || lease.Epoch != s.lease.lease.Epoch {
		s.stepDown()
		return
	}
	var members cluster.MembersRow
	if rows.members.Version > 0 && decode(rows.members, &members) != nil {
		s.count("row.undecodable") // the next commit replaces it
	}
	s.lease.lease = lease
	s.lease.leaseVersion = rows.lease.Version
	s.lease.rowVersion = rows.members.Version
	s.lease.unsure = false
	s.zones[s.self.Zone] = &zoneView{version: members.Version, members: members.Members}
	if !s.lease.loaded {
		s.lease.loaded = true
		s.inherit(members.Members)
	}
	s.changedSoft()
	s.sooner(taskRenew)
}
