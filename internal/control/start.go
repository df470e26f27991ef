package control

import (
	"context"
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/platform"
	"github.com/acacialock/acacialock/internal/rpc"
	"github.com/acacialock/acacialock/internal/servicelist"
	"github.com/acacialock/acacialock/internal/timing"
)

// startupResult holds the responses of the seeds and the table to a starting node.
type startupResult struct {
	newest          *listCandidate // newest list of the seeds; nil if none has one
	memberResponses []*rpc.FetchMembersResponse
	listRow         platform.Row // version 0 if the table holds no list
	listRowErr      error
}

// startupQuery queries the seeds and the table from a background goroutine.
type startupQuery struct {
	seeds        []rpc.Control
	services     []string
	parse        func([]byte) (*servicelist.List, error)
	table        platform.Table
	callTimeout  time.Duration // per seed
	storeTimeout time.Duration // for the read of the table
	delay        time.Duration // before the table is read
}

// queryStartupState queries the seeds and the table for the members and the newest service list. No list is installed
// before every query has succeeded or failed.
func (s *state) queryStartupState() {
	if !s.list.starting || !s.beginOperation("start") {
		return
	}
	q := startupQuery{
		services:     s.neededServices(),
		parse:        s.cfg.ParseList,
		table:        s.cfg.Table,
		callTimeout:  s.cfg.CallTimeout,
		storeTimeout: s.cfg.StoreTimeout,
		delay:        s.randomBelow(s.cfg.StartSpread),
	}
	for _, seed := range s.cfg.Seeds {
		if seed != s.self.PeerAddr {
			q.seeds = append(q.seeds, s.client(seed))
		}
	}
	timeout := 2*q.callTimeout + q.delay + q.storeTimeout
	runInBackground(s, timeout, q.run, func(result *startupResult, err error) {
		s.endOperation("start")
		if err != nil {
			s.retryStartup()
			return
		}
		s.finishStartup(result)
	})
}

// retryStartup schedules another startup attempt after a random delay.
func (s *state) retryStartup() {
	s.incrementCounter("start.again")
	s.scheduleAfter(taskStart, s.cfg.HeartbeatInterval+s.randomBelow(s.cfg.HeartbeatInterval))
}

// run queries all seeds concurrently and then reads the list row, so that the table's response is the most recent one.
// It fails only if ctx ends; a failed read of the table is part of the result.
func (q *startupQuery) run(ctx context.Context) (*startupResult, error) {
	result := &startupResult{}
	var mu sync.Mutex
	var pending sync.WaitGroup
	for _, seed := range q.seeds {
		pending.Go(func() {
			response, list := q.querySeed(ctx, seed)
			mu.Lock()
			defer mu.Unlock()
			result.add(response, list)
		})
	}
	err := timing.Sleep(ctx, q.delay)
	pending.Wait()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, q.storeTimeout)
	defer cancel()
	result.listRow, result.listRowErr = getRow(ctx, q.table, cluster.CurrentListKey)
	return result, nil
}

// querySeed returns the members and the list that a seed knows. The list is nil if the seed has no valid one; both are
// nil if it does not respond.
func (q *startupQuery) querySeed(ctx context.Context, seed rpc.Control) (*rpc.FetchMembersResponse, *listCandidate) {
	ctx, cancel := context.WithTimeout(ctx, q.callTimeout)
	defer cancel()
	members, err := seed.FetchMembers(ctx, &rpc.FetchMembersRequest{Services: q.services})
	if err != nil {
		return nil, nil
	}
	response, err := seed.FetchList(ctx, &rpc.FetchListRequest{})
	if err != nil || response.GetVersion() == 0 {
		return members, nil
	}
	list, err := verifyList(q.parse, response.GetVersion(), response.GetText(), response.GetSha256())
	if err != nil {
		return members, nil
	}
	return members, list
}

// add adds the response of one seed and keeps the newest list.
func (r *startupResult) add(response *rpc.FetchMembersResponse, list *listCandidate) {
	if response != nil {
		r.memberResponses = append(r.memberResponses, response)
	}
	if list != nil && (r.newest == nil || list.list.Version > r.newest.list.Version) {
		r.newest = list
	}
}

// finishStartup applies the result of the startup query. If the table announces a newer list than the seeds have,
// startup completes when that list is installed. Startup is retried if the store is down and no seed has a list.
func (s *state) finishStartup(result *startupResult) {
	s.applySeedMembers(result.memberResponses)
	storeUp := s.recordStoreResult(result.listRowErr)
	if !storeUp && result.newest == nil {
		s.retryStartup()
		return
	}
	seedVersion := uint64(0)
	if result.newest != nil {
		seedVersion = result.newest.list.Version
	}
	if storeUp && result.listRow.Version > 0 {
		s.applyListRow(result.listRow)
	}
	if s.list.wanted.version > seedVersion && (storeUp || s.leader.confirmed) {
		s.fetchList() // startup completes once this list is installed
		return
	}
	if result.newest != nil {
		s.installList(result.newest)
	}
	s.list.starting = false
	s.scheduleNow(taskFetch)
}

// applySeedMembers applies the members that the seeds reported, until a leader responds, and schedules the first
// heartbeat.
func (s *state) applySeedMembers(responses []*rpc.FetchMembersResponse) {
	for _, response := range responses {
		for _, z := range response.GetZones() {
			s.applyZoneMembers(z)
		}
		if s.leader.addr == "" && s.lease == nil && response.GetLeaderAddr() != s.self.PeerAddr {
			s.leader.addr = response.GetLeaderAddr()
		}
	}
	if s.due[taskHeartbeat].IsZero() && s.lease == nil {
		s.scheduleNow(taskHeartbeat)
	}
}
