package keys

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/rpc"
)

// perform makes one call for the state machine and returns its result.
func perform(ctx context.Context, cfg *Config, c call) result {
	r := result{call: c}
	self := cfg.Self
	switch c.kind {
	case callRead:
		r.read(ctx, cfg)
	case callCommit:
		r.commit(ctx, cfg)
	case callCollect:
		r.collect, r.err = cfg.Keys(c.addr).Collect(ctx, &rpc.CollectRequest{Service: self.Service, Requester: self.ID,
			RosterVersion: c.version, Roster: c.roster.encode()})
	case callPromise:
		r.promise, r.err = cfg.Keys(c.addr).Promise(ctx, &rpc.PromiseRequest{Service: self.Service, Requester: self.ID, RosterVersion: c.version})
	case callPing:
		r.ping, r.err = cfg.Keys(c.addr).Roster(ctx, &rpc.RosterRequest{Service: self.Service})
	}
	return r
}

func (r *result) read(ctx context.Context, cfg *Config) {
	row, err := cfg.Table.Get(ctx, cluster.RosterKey(cfg.Self.Service))
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		r.absent = true
		return
	}
	if err != nil {
		r.err = err
		return
	}
	r.tableVersion = row.Version
	r.roster, r.err = parseRoster(row.Value)
}

// commit writes the roster row and its commit number in the index row in one transaction.
func (r *result) commit(ctx context.Context, cfg *Config) {
	index, err := readIndex(ctx, cfg.Table)
	if err != nil {
		r.err = err
		return
	}
	commits := cluster.RosterIndexRow{CommitNumbers: map[string]uint64{}}
	if len(index.Value) != 0 {
		if err := json.Unmarshal(index.Value, &commits); err != nil {
			r.err = &RosterError{Cause: err}
			return
		}
	}
	if commits.CommitNumbers == nil {
		commits.CommitNumbers = map[string]uint64{}
	}
	commits.CommitNumbers[cfg.Self.Service] = r.call.roster.Commit
	value, _ := json.Marshal(commits) // marshalling a map of numbers can't fail
	versions, err := cfg.Table.Commit(ctx, []platform.Write{
		{Key: cluster.RosterKey(cfg.Self.Service), IfVersion: r.baseVersion, Value: r.call.roster.encode()},
		{Key: cluster.RosterIndexKey, IfVersion: index.Version, Value: value},
	})
	if err != nil {
		r.err = err
		return
	}
	r.tableVersion = versions[0]
	r.roster = r.call.roster
}

func readIndex(ctx context.Context, table platform.Table) (platform.Row, error) {
	row, err := table.Get(ctx, cluster.RosterIndexKey)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.Row{Key: cluster.RosterIndexKey}, nil
	}
	return row, err
}

// localRecords returns records of the local node's attempts whose key passes the filter.
func localRecords(cfg *Config, include func(key string) bool) []*rpc.KeyRecord {
	if cfg.Runner == nil {
		return nil
	}
	var records []*rpc.KeyRecord
	for _, a := range cfg.Runner.KeyedAttempts() {
		if !include(a.Key) {
			continue
		}
		records = append(records, &rpc.KeyRecord{Key: a.Key, Fingerprint: a.Fingerprint, Attempt: a.Attempt, Runner: cfg.Self.ID,
			Owner: a.Owner, RosterVersion: a.Version, AgeMs: uint32(a.Age.Milliseconds()), State: a.State, Answer: a.Answer})
	}
	return records
}
