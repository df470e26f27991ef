package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
)

// takeoverSpread bounds the random delay before a takeover of an expired lease, so that most candidates see the commit
// of the first one instead of competing with it.
const takeoverSpread = time.Second

// leaseWatch holds what a node without a leader has observed of the lease row.
type leaseWatch struct {
	known      bool      // version is set
	version    uint64    // 0: the row does not exist
	takeoverAt time.Time // earliest takeover if the version does not change
	notBefore  time.Time // earliest takeover after this node yielded the lease
}

// pollLease reads the zone's lease row while no lease holder responds.
func (s *state) pollLease() {
	if s.hasLeader() {
		return
	}
	s.scheduleAfter(taskPoll, s.jittered(s.cfg.PollInterval))
	if !s.beginOperation("poll") {
		return
	}
	sent := time.Now()
	key := cluster.LeaseKey(s.self.Zone)
	runInBackground(s, s.cfg.StoreTimeout, func(ctx context.Context) (platform.Row, error) {
		return s.cfg.Table.Get(ctx, key)
	}, func(row platform.Row, err error) {
		s.endOperation("poll")
		if s.recordStoreResult(err) && !s.hasLeader() {
			s.handleLeaseRow(sent, row)
		}
	})
}

// recordStoreResult updates storeUp from the result of a store operation and returns it. A missing row or a conflict
// shows that the store is up.
func (s *state) recordStoreResult(err error) bool {
	var missing *platform.NotFoundError
	var conflict *platform.ConflictError
	up := err == nil || errors.As(err, &missing) || errors.As(err, &conflict)
	if !up {
		s.incrementCounter("store.failed")
	}
	if up != s.storeUp {
		s.storeUp = up
		s.incrementCounter("store.changed")
	}
	return up
}

// handleLeaseRow applies a lease row that was read at or after sent. A row of version 0 does not exist.
func (s *state) handleLeaseRow(sent time.Time, row platform.Row) {
	lease, err := decodeLease(row)
	if err != nil {
		s.incrementCounter("row.undecodable")
		return
	}
	if lease.Holder == s.self.ID && !sent.Before(s.watch.notBefore) {
		s.becomeLeader(lease, row.Version) // the takeover succeeded but its response was lost
		return
	}
	if !s.watch.known || s.watch.version != row.Version {
		s.observeLeaseVersion(lease, row.Version)
		return
	}
	if !sent.Before(s.watch.takeoverAt) && !sent.Before(s.watch.notBefore) && !s.leaving {
		s.takeOver(lease, row.Version)
		return
	}
	s.schedulePollAtTakeover()
}

// observeLeaseVersion starts the wait before a takeover for a new version of the lease row. The wait starts when the
// response arrives. If a read sent after it returns the same version, the row was unchanged for at least the lease
// duration.
func (s *state) observeLeaseVersion(lease cluster.LeaseRow, version uint64) {
	wait := s.cfg.LeaseDuration
	if lease.Holder == "" {
		wait = 0 // never held, or released by its holder
	}
	s.leader.epoch = max(s.leader.epoch, lease.Epoch)
	s.watch.known = true
	s.watch.version = version
	s.watch.takeoverAt = time.Now().Add(wait + s.randomBelow(takeoverSpread))
	if s.self.Draining {
		s.watch.takeoverAt = s.watch.takeoverAt.Add(s.cfg.RenewInterval) // prefer nodes that are not draining
	}
	s.schedulePollAtTakeover()
	s.contactHolder(lease)
}

// schedulePollAtTakeover moves the next poll forward to the earliest takeover.
func (s *state) schedulePollAtTakeover() {
	if s.watch.takeoverAt.Before(s.due[taskPoll]) {
		s.due[taskPoll] = s.watch.takeoverAt
	}
}

// contactHolder makes the lease holder the receiver of the next heartbeat and schedules it immediately.
func (s *state) contactHolder(lease cluster.LeaseRow) {
	if lease.Epoch < s.leader.epoch || lease.HolderAddr == "" || lease.HolderAddr == s.self.PeerAddr {
		return
	}
	s.leader.addr = lease.HolderAddr
	s.leader.confirmed = false
	s.leader.acting = false
	s.leader.failures = 0
	s.scheduleNow(taskHeartbeat)
}

// takeOver commits this node as holder of the next epoch, on condition that the lease row still has the given version.
func (s *state) takeOver(old cluster.LeaseRow, version uint64) {
	if !s.beginOperation("takeover") {
		return
	}
	next := cluster.LeaseRow{
		Zone:           s.self.Zone,
		Region:         s.self.Region,
		Epoch:          max(old.Epoch, s.leader.epoch) + 1,
		Holder:         s.self.ID,
		HolderAddr:     s.self.PeerAddr,
		MembersVersion: old.MembersVersion,
		MinListVersion: old.MinListVersion,
	}
	write := platform.Write{Key: cluster.LeaseKey(s.self.Zone), IfVersion: version, Value: encode(next)}
	runInBackground(s, s.cfg.StoreTimeout, func(ctx context.Context) ([]uint64, error) {
		return s.cfg.Table.Commit(ctx, []platform.Write{write})
	}, func(versions []uint64, err error) {
		s.endOperation("takeover")
		s.recordStoreResult(err)
		s.watch.known = false
		if err != nil {
			s.incrementCounter("takeover.failed")
			s.scheduleAfter(taskPoll, s.randomBelow(s.cfg.PollInterval/2))
			return
		}
		s.becomeLeader(next, versions[0])
	})
}

// decodeLease decodes a lease row. A row of version 0 does not exist and gives the zero lease. The error is a
// *RowError.
func decodeLease(row platform.Row) (cluster.LeaseRow, error) {
	var lease cluster.LeaseRow
	if row.Version == 0 {
		return lease, nil
	}
	return lease, decode(row, &lease)
}

// decode decodes a row's JSON value. The error is a *RowError.
func decode(row platform.Row, value any) error {
	if err := json.Unmarshal(row.Value, value); err != nil {
		return &RowError{Key: row.Key, Cause: err}
	}
	return nil
}

// encode encodes the value of a row as JSON. It panics on failure, which the types of package cluster can't cause.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
