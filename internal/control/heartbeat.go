package control

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

const (
	maxRedirects   = 4 // redirects followed in a row
	maxFailures    = 2 // failed heartbeats in a row after which the leader counts as gone
	maxDeputies    = 8 // candidates for acting leader that a leader names
	retryDelay     = 200 * time.Millisecond
	actingRecheck  = 10 * time.Second // between looks for a lower acting leader
	freshHeartbeat = 3                // heartbeat intervals after which an answer no longer proves a leader
)

// leaderView is where a node sends its heartbeats.
type leaderView struct {
	addr      string        // empty: search among the candidates
	interval  time.Duration // between heartbeats, as the leader asks for
	last      string        // address of the last lease holder that answered
	confirmed bool          // addr has answered as leader or as acting leader
	acting    bool          // addr shares soft state only
	epoch     uint64        // highest lease epoch seen
	answered  time.Time
	failures  int
	redirects int
	attached  time.Time // since when an acting leader is used
	again     bool      // a heartbeat became due while another was in flight
	candidate int       // position in the search
	deputies  []cluster.Member
	told      told      // what the leader has of this node
	roster    time.Time // local time after which the roster's row version is confirmed
}

// told names a leader and the digest that it last received.
type told struct {
	addr   string
	digest uint64
}

// hasLeader reports whether a lease holder receives this node's heartbeats, or is this node.
func (s *state) hasLeader() bool {
	return s.lease != nil || (s.leader.confirmed && !s.leader.acting)
}

func (s *state) sendHeartbeat() {
	if s.lease != nil {
		return
	}
	s.after(taskHeartbeat, s.jittered(s.leader.interval))
	if s.busy["heartbeat"] {
		s.leader.again = true
		return
	}
	addr := s.target()
	if addr == "" {
		return
	}
	s.begin("heartbeat")
	request := s.heartbeat()
	client := s.client(addr)
	sent := time.Now()
	wire := request
	if s.leader.told == (told{addr, request.GetDigest()}) {
		wire = shortened(request)
	}
	background(s, s.cfg.CallTimeout, func(ctx context.Context) (*rpc.HeartbeatResponse, error) {
		return client.Heartbeat(ctx, wire)
	}, func(answer *rpc.HeartbeatResponse, err error) {
		s.finishHeartbeat()
		if s.lease != nil {
			return
		}
		if err != nil {
			s.heartbeatFailed(addr)
			return
		}
		s.heartbeatAnswered(addr, sent, request, answer)
	})
}

// requestedInterval is the interval that a leader asks for, within what it may ask for.
func (s *state) requestedInterval(answer *rpc.HeartbeatResponse) time.Duration {
	asked := time.Duration(answer.GetIntervalMs()) * time.Millisecond
	return min(max(asked, s.cfg.HeartbeatInterval), maxStretch*s.cfg.HeartbeatInterval)
}

// shortened leaves out what the leader has by its digest.
func shortened(request *rpc.HeartbeatRequest) *rpc.HeartbeatRequest {
	return &rpc.HeartbeatRequest{
		Self:        request.GetSelf(),
		ListVersion: request.GetListVersion(),
		Refusals:    request.GetRefusals(),
		SoftVersion: request.GetSoftVersion(),
		Digest:      request.GetDigest(),
	}
}

// digest identifies what a node holds and needs.
func digest(known []*rpc.ZoneVersion, services []string) uint64 {
	var text []byte
	for _, z := range known {
		text = append(text, z.GetZone()...)
		text = binary.BigEndian.AppendUint64(append(text, 0), z.GetVersion())
	}
	for _, name := range services {
		text = append(append(text, 0), name...)
	}
	return xxhash.Sum64(text)
}

// finishHeartbeat sends the next heartbeat at once when one became due meanwhile.
func (s *state) finishHeartbeat() {
	s.finish("heartbeat")
	if s.leader.again {
		s.leader.again = false
		s.sooner(taskHeartbeat)
	}
}

func (s *state) heartbeat() *rpc.HeartbeatRequest {
	request := &rpc.HeartbeatRequest{
		Self:        toInfo(s.self),
		ListVersion: s.list.version(),
		Services:    s.needed(),
		Refusals:    s.cfg.Refusals(),
		SoftVersion: s.soft.receivedVersion,
	}
	request.Self.Leaving = s.leaving
	for _, zone := range sortedKeys(s.zones) {
		request.Known = append(request.Known, &rpc.ZoneVersion{Zone: zone, Version: s.zones[zone].version})
	}
	request.Digest = digest(request.GetKnown(), request.GetServices())
	return request
}

// target returns the address for the next heartbeat; empty when this node itself is the next candidate.
func (s *state) target() string {
	if s.leader.acting && time.Since(s.leader.attached) > actingRecheck {
		s.loseLeader()
	}
	if s.leader.addr != "" {
		return s.leader.addr
	}
	candidates := s.candidates()
	if len(candidates) == 0 {
		return ""
	}
	addr := candidates[s.leader.candidate%len(candidates)]
	if addr == s.self.PeerAddr {
		s.leader.candidate = 0 // no lower candidate answers: this node acts for those above it
		return ""
	}
	return addr
}

// candidates returns the nodes to ask while no leader is known: the last leader, the zone's deputies and members by id,
// then the seeds.
func (s *state) candidates() []string {
	var addrs []string
	add := func(addr string) {
		if addr != "" && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	add(s.leader.last)
	for _, m := range s.leader.deputies {
		add(m.PeerAddr)
	}
	if z := s.zones[s.self.Zone]; z != nil {
		for _, m := range z.members {
			add(m.PeerAddr)
		}
	}
	for _, seed := range s.cfg.Seeds {
		if seed != s.self.PeerAddr {
			add(seed)
		}
	}
	return addrs
}

func (s *state) heartbeatFailed(addr string) {
	s.count("heartbeat.failed")
	if addr != s.leader.addr {
		s.leader.candidate++
		s.after(taskHeartbeat, s.upTo(retryDelay))
		return
	}
	s.leader.failures++
	s.after(taskHeartbeat, retryDelay+s.upTo(retryDelay))
	if s.leader.failures >= maxFailures || !s.leader.confirmed {
		s.loseLeader()
	}
}

// loseLeader starts the search for a leader in the table and among the candidates.
func (s *state) loseLeader() {
	if s.hasLeader() {
		s.count("leader.lost")
	}
	s.leader.addr = ""
	s.leader.confirmed = false
	s.leader.acting = false
	s.leader.failures = 0
	s.leader.redirects = 0
	s.leader.candidate = 0
	if s.due[taskPoll].IsZero() {
		s.after(taskPoll, s.upTo(s.cfg.PollInterval/2))
	}
}

func (s *state) heartbeatAnswered(
	addr string, sent time.Time, request *rpc.HeartbeatRequest, answer *rpc.HeartbeatResponse,
) {
	if answer.GetResend() {
		s.leader.told = told{}
		s.sooner(taskHeartbeat)
		return
	}
	switch {
	case answer.GetLeader() && answer.GetEpoch() >= s.leader.epoch:
		s.followLeader(addr, answer)
		s.leader.told = told{addr, request.GetDigest()}
	case answer.GetActing() && !answer.GetLeader():
		s.followActing(addr)
	default:
		s.redirected(addr, answer.GetLeaderAddr())
		return
	}
	s.leader.answered = time.Now()
	s.leader.interval = s.requestedInterval(answer)
	s.leader.failures = 0
	s.leader.redirects = 0
	s.takeAnswer(sent, request, answer)
	if request.GetSelf().GetLeaving() {
		s.confirmLeft()
	}
}

func (s *state) followLeader(addr string, answer *rpc.HeartbeatResponse) {
	s.leader.addr = addr
	s.leader.last = addr
	s.leader.confirmed = true
	s.leader.acting = false
	s.leader.epoch = answer.GetEpoch()
	s.due[taskPoll] = time.Time{}
	s.watch = leaseWatch{notBefore: s.watch.notBefore}
}

func (s *state) followActing(addr string) {
	if !s.leader.acting || s.leader.addr != addr {
		s.leader.attached = time.Now()
	}
	s.leader.addr = addr
	s.leader.confirmed = true
	s.leader.acting = true
	if s.due[taskPoll].IsZero() {
		s.after(taskPoll, s.upTo(s.cfg.PollInterval))
	}
}

// redirected follows the address that a node without the lease named.
func (s *state) redirected(from, to string) {
	if to == "" || to == from || to == s.self.PeerAddr || s.leader.redirects >= maxRedirects {
		next := s.leader.candidate + 1
		s.loseLeader()
		s.leader.candidate = next
		return
	}
	s.leader.redirects++
	s.leader.addr = to
	s.leader.confirmed = false
	s.leader.acting = false
	s.sooner(taskHeartbeat)
}

// takeAnswer applies what a leader or an acting leader sent.
func (s *state) takeAnswer(sent time.Time, request *rpc.HeartbeatRequest, answer *rpc.HeartbeatResponse) {
	if slices.Equal(request.GetServices(), s.needed()) {
		for _, z := range answer.GetChanged() {
			s.takeZone(z)
		}
	}
	if len(answer.GetDeputies()) > 0 {
		s.leader.deputies = fromInfos(answer.GetDeputies())
	}
	if answer.GetSoftVersion() != s.soft.receivedVersion {
		s.takeSoft(answer)
	}
	s.wantList(wantedList{version: answer.GetListVersion(), sha: answer.GetListSha256()})
	if answer.GetLeader() {
		s.takeRoster(sent, answer)
	}
}

func (s *state) takeZone(z *rpc.ZoneMembers) {
	if s.zones[z.GetZone()] != nil && z.GetVersion() <= s.zoneVersion(z.GetZone()) {
		return
	}
	s.zones[z.GetZone()] = &zoneView{version: z.GetVersion(), members: fromInfos(z.GetMembers())}
	s.dirty = true
}

func (s *state) takeSoft(answer *rpc.HeartbeatResponse) {
	s.soft.receivedVersion = answer.GetSoftVersion()
	s.soft.received = nil
	for _, info := range answer.GetSoft() {
		s.soft.received = append(s.soft.received, softEntry{member: fromInfo(info), leaving: info.GetLeaving()})
	}
	s.changedSoft()
}

// takeRoster reports the roster's row version as of the leader's read, on this node's clock.
func (s *state) takeRoster(sent time.Time, answer *rpc.HeartbeatResponse) {
	asOf := sent.Add(-time.Duration(answer.GetRosterAgeMs()) * time.Millisecond)
	s.confirmRoster(answer.GetRosterRowVersion(), asOf)
}

func (s *state) confirmRoster(version uint64, asOf time.Time) {
	if asOf.After(s.leader.roster) {
		s.leader.roster = asOf
	}
	if version > 0 {
		s.cfg.OnRosterVersion(version, asOf)
	}
}

// setDraining marks this node and spreads the mark without waiting for the table.
func (s *state) setDraining() {
	if s.self.Draining {
		return
	}
	s.self.Draining = true
	s.dirty = true
	s.spreadSelf()
}

// leave asks for the removal of this node; left is closed when a leader has recorded it.
func (s *state) leave(left chan struct{}) {
	s.self.Draining = true
	s.dirty = true
	s.leaving = true
	s.left = left
	if s.lease != nil {
		s.release()
		return
	}
	s.spreadSelf()
}

// confirmLeft reports that a leader has recorded the departure.
func (s *state) confirmLeft() {
	if s.left != nil {
		close(s.left)
		s.left = nil
	}
}

func (s *state) spreadSelf() {
	const mostPeers = 32 // others learn from their leaders
	info := toInfo(s.self)
	info.Leaving = s.leaving
	var peers []string
	for _, m := range s.peersOf(s.self.Service) {
		if len(peers) < mostPeers {
			peers = append(peers, m.PeerAddr)
		}
	}
	if s.lease != nil {
		s.record(&rpc.HeartbeatRequest{Self: info, ListVersion: s.list.version()}, true)
	}
	s.announce(info, peers)
	s.sooner(taskHeartbeat)
}

// peersOf returns the known members of a service but this node.
func (s *state) peersOf(service string) []cluster.Member {
	var peers []cluster.Member
	for _, zone := range sortedKeys(s.zones) {
		for _, m := range s.zones[zone].members {
			if m.Service == service && m.ID != s.self.ID {
				peers = append(peers, m)
			}
		}
	}
	return peers
}
