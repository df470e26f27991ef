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

// startAnswers is what the seeds and the table told a node that starts.
type startAnswers struct {
	newest  *candidate // of the seeds; nil when none has a list
	members []*rpc.FetchMembersResponse
	row     platform.Row // version 0 when the table holds no list
	rowErr  error
}

// starter asks the seeds and the table; it runs in a helper goroutine.
type starter struct {
	seeds    []rpc.Control
	services []string
	parse    func([]byte) (*servicelist.List, error)
	table    platform.Table
	call     time.Duration // timeout of a seed
	store    time.Duration // timeout of the table
	delay    time.Duration // before the table is read
}

// askForLists collects the answers that a start needs. Nothing is published before all of them arrived or failed.
func (s *state) askForLists() {
	if !s.list.starting || !s.begin("start") {
		return
	}
	a := starter{
		services: s.needed(),
		parse:    s.cfg.ParseList,
		table:    s.cfg.Table,
		call:     s.cfg.CallTimeout,
		store:    s.cfg.StoreTimeout,
		delay:    s.upTo(s.cfg.StartSpread),
	}
	for _, seed := range s.cfg.Seeds {
		if seed != s.self.PeerAddr {
			a.seeds = append(a.seeds, s.client(seed))
		}
	}
	limit := 2*a.call + a.delay + a.store
	background(s, limit, a.run, func(answers *startAnswers, err error) {
		s.finish("start")
		if err != nil {
			s.startAgain()
			return
		}
		s.finishStart(answers)
	})
}

func (s *state) startAgain() {
	s.count("start.again")
	s.after(taskStart, s.cfg.HeartbeatInterval+s.upTo(s.cfg.HeartbeatInterval))
}

// run asks all seeds at once, and the table after them, so that the table's answer is the latest.
func (a *starter) run(ctx context.Context) (*startAnswers, error) {
	answers := &startAnswers{}
	var mu sync.Mutex
	var asked sync.WaitGroup
	for _, seed := range a.seeds {
		asked.Go(func() {
			members, found := a.ask(ctx, seed)
			mu.Lock()
			defer mu.Unlock()
			answers.take(members, found)
		})
	}
	err := timing.Sleep(ctx, a.delay)
	asked.Wait()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.store)
	defer cancel()
	answers.row, answers.rowErr = getRow(ctx, a.table, cluster.CurrentListKey)
	return answers, nil
}

func (a *starter) ask(ctx context.Context, seed rpc.Control) (*rpc.FetchMembersResponse, *candidate) {
	ctx, cancel := context.WithTimeout(ctx, a.call)
	defer cancel()
	members, err := seed.FetchMembers(ctx, &rpc.FetchMembersRequest{Services: a.services})
	if err != nil {
		return nil, nil
	}
	answer, err := seed.FetchList(ctx, &rpc.FetchListRequest{})
	if err != nil || answer.GetVersion() == 0 {
		return members, nil
	}
	found, err := check(a.parse, answer.GetVersion(), answer.GetText(), answer.GetSha256())
	if err != nil {
		return members, nil
	}
	return members, found
}

func (a *startAnswers) take(members *rpc.FetchMembersResponse, found *candidate) {
	if members != nil {
		a.members = append(a.members, members)
	}
	if found != nil && (a.newest == nil || found.list.Version > a.newest.list.Version) {
		a.newest = found
	}
}

func (s *state) finishStart(answers *startAnswers) {
	s.takeMembers(answers.members)
	up := s.sawStore(answers.rowErr)
	if !up && answers.newest == nil {
		s.startAgain()
		return
	}
	seen := uint64(0)
	if answers.newest != nil {
		seen = answers.newest.list.Version
	}
	if up && answers.row.Version > 0 {
		s.applyCurrent(answers.row)
	}
	if s.list.want.version > seen && (up || s.leader.confirmed) {
		s.fetchList() // the start is complete with this text
		return
	}
	if answers.newest != nil {
		s.install(answers.newest)
	}
	s.list.starting = false
	s.sooner(taskFetch)
}

// takeMembers uses the seeds' members until a leader answers.
func (s *state) takeMembers(answers []*rpc.FetchMembersResponse) {
	for _, answer := range answers {
		for _, z := range answer.GetZones() {
			s.takeZone(z)
		}
		if s.leader.addr == "" && s.lease == nil && answer.GetLeaderAddr() != s.self.PeerAddr {
			s.leader.addr = answer.GetLeaderAddr()
		}
	}
	if s.due[taskHeartbeat].IsZero() && s.lease == nil {
		s.sooner(taskHeartbeat)
	}
}
