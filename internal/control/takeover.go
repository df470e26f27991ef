package control

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
)

// campaignSpread spreads the takers of a lapsed lease, so that most of them see the first one's commit.
const campaignSpread = time.Second

// leaseWatch is what a node without a leader has seen of the lease row.
type leaseWatch struct {
	known     bool
	version   uint64    // 0: the row does not exist
	takeAt    time.Time // earliest takeover while the version stays the same
	notBefore time.Time // no takeover earlier, after this node gave up the lease
}

// pollLease reads the zone's lease row while no lease holder answers.
func (s *state) pollLease() {
	if s.hasLeader() {
		return
	}
	s.after(taskPoll, s.jittered(s.cfg.PollInterval))
	if !s.begin("poll") {
		return
	}
	sent := time.Now()
	key := cluster.LeaseKey(s.self.Zone)
	background(s, s.cfg.StoreTimeout, func(ctx context.Context) (platform.Row, error) {
		return s.cfg.Table.Get(ctx, key)
	}, func(row platform.Row, err error) {
		s.finish("poll")
		if s.sawStore(err) && !s.hasLeader() {
			s.sawLease(sent, row)
		}
	})
}

// sawStore records whether the store answered; a missing row is an answer.
func (s *state) sawStore(err error) bool {
	var missing *platform.NotFoundError
	var conflict *platform.ConflictError
	up := err == nil || errors.As(err, &missing) || errors.As(err, &conflict)
	if !up {
		s.count("store.failed")
	}
	if up != s.storeUp {
		s.storeUp = up
		s.count("store.changed")
	}
	return up
}

// sawLease takes a lease row read at or after sent; a zero row does not exist.
func (s *state) sawLease(sent time.Time, row platform.Row) {
	lease, err := decodeLease(row)
	if err != nil {
		s.count("row.undecodable")
		return
	}
	if lease.Holder == s.self.ID && !sent.Before(s.watch.notBefore) {
		s.lead(lease, row.Version) // the answer of this node's own takeover was lost
		return
	}
	if !s.watch.known || s.watch.version != row.Version {
		s.newLeaseVersion(lease, row.Version)
		return
	}
	if !sent.Before(s.watch.takeAt) && !sent.Before(s.watch.notBefore) && !s.leaving {
		s.takeOver(lease, row.Version)
		return
	}
	s.pollAtTakeover()
}

// newLeaseVersion starts the wait for this version. The wait begins when the answer arrived, so the row was unchanged
// for at least the lease's duration when a read sent at its end shows the same version.
func (s *state) newLeaseVersion(lease cluster.LeaseRow, version uint64) {
	wait := s.cfg.LeaseDuration
	if lease.Holder == "" {
		wait = 0 // never held, or released by its holder
	}
	s.leader.epoch = max(s.leader.epoch, lease.Epoch)
	s.watch.known = true
	s.watch.version = version
	s.watch.takeAt = time.Now().Add(wait + s.upTo(campaignSpread))
	if s.self.Draining {
		s.watch.takeAt = s.watch.takeAt.Add(s.cfg.RenewInterval) // nodes that stay go first
	}
	s.pollAtTakeover()
	s.tryHolder(lease)
}

func (s *state) pollAtTakeover() {
	if s.watch.takeAt.Before(s.due[taskPoll]) {
		s.due[taskPoll] = s.watch.takeAt
	}
}

// tryHolder sends the next heartbeat to the lease's holder.
func (s *state) tryHolder(lease cluster.LeaseRow) {
	if lease.Epoch < s.leader.epoch || lease.HolderAddr == "" || lease.HolderAddr == s.self.PeerAddr {
		return
	}
	s.leader.addr = lease.HolderAddr
	s.leader.confirmed = false
	s.leader.acting = false
	s.leader.failures = 0
	s.sooner(taskHeartbeat)
}

// takeOver commits the next epoch, conditional on the version that stayed unchanged.
func (s *state) takeOver(old cluster.LeaseRow, version uint64) {
	if !s.begin("takeover") {
		return
	}
	next := cluster.LeaseRow{
		Zone:           s.self.Zone,
		Region:         s.self.Region,
		Epoch:          max(old.Epoch, s.leader.epoch) + 1,
		Holder:         s.self.ID,
		HolderAddr:     s.self.PeerAddr,
		MembersVersion: old.MembersVersion,
		MinList:        old.MinList,
	}
	write := platform.Write{Key: cluster.LeaseKey(s.self.Zone), IfVersion: version, Value: encode(next)}
	background(s, s.cfg.StoreTimeout, func(ctx context.Context) ([]uint64, error) {
		return s.cfg.Table.Commit(ctx, []platform.Write{write})
	}, func(versions []uint64, err error) {
		s.finish("takeover")
		s.sawStore(err)
		s.watch.known = false
		if err != nil {
			s.count("takeover.failed")
			s.after(taskPoll, s.upTo(s.cfg.PollInterval/2))
			return
		}
		s.lead(next, versions[0])
	})
}

// decodeLease returns the row's lease, or a zero lease for a row that does not exist.
func decodeLease(row platform.Row) (cluster.LeaseRow, error) {
	var lease cluster.LeaseRow
	if row.Version == 0 {
		return lease, nil
	}
	return lease, decode(row, &lease)
}

func decode(row platform.Row, into any) error {
	if err := json.Unmarshal(row.Value, into); err != nil {
		return &RowError{Key: row.Key, Cause: err}
	}
	return nil
}

// encode returns the JSON form of a row's value; the types of package cluster always have one.
func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}
