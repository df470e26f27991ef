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
	maxRedirects          = 4                      // consecutive redirects followed
	maxFailures           = 2                      // consecutive failed heartbeats after which the leader is lost
	maxDeputies           = 8                      // candidates for acting leader that a leader sends
	retryDelay            = 200 * time.Millisecond // base of the random delay after a failed heartbeat
	actingRecheckInterval = 10 * time.Second       // between searches for an acting leader with a lower id
	maxResponseIntervals  = 3                      // heartbeat intervals until a response is too old to prove a leader
)

// leaderView holds what a node knows about the receiver of its heartbeats.
type leaderView struct {
	addr             string              // empty: try the candidates in turn
	interval         time.Duration       // between heartbeats, as requested by the leader
	lastLeader       string              // address of the last lease holder that responded
	confirmed        bool                // addr has responded as leader or acting leader
	acting           bool                // addr is an acting leader, which only distributes soft state
	epoch            uint64              // highest known lease epoch
	lastResponse     time.Time           // when the last valid response arrived
	failures         int                 // consecutive failed heartbeats
	redirects        int                 // consecutive redirects followed
	actingSince      time.Time           // when this node began to use the acting leader
	heartbeatPending bool                // a heartbeat became due while another one was in flight
	candidateIndex   int                 // index of the candidate to try next
	deputies         []cluster.Member    // candidates for acting leader, as sent by the last leader
	acknowledged     acknowledgedRequest // last full request that the leader has received from this node
	// rosterConfirmedAt is the asOf of the last roster confirmation: the table held that roster version at some time
	// after it.
	rosterConfirmedAt time.Time
}

// acknowledgedRequest identifies a request that a leader has received: the leader's address and the request's digest.
type acknowledgedRequest struct {
	addr   string
	digest uint64
}

// hasLeader reports whether this node holds the lease or its heartbeats are received by the lease holder.
func (s *state) hasLeader() bool {
	return s.lease != nil || (s.leader.confirmed && !s.leader.acting)
}

// sendHeartbeat sends a heartbeat to the leader or the next candidate. A request is shortened if the receiver has
// acknowledged the same digest before. At most one heartbeat is in flight.
func (s *state) sendHeartbeat() {
	if s.lease != nil {
		return
	}
	s.scheduleAfter(taskHeartbeat, s.jittered(s.leader.interval))
	if s.inFlight["heartbeat"] {
		s.leader.heartbeatPending = true
		return
	}
	addr := s.heartbeatAddr()
	if addr == "" {
		return
	}
	s.beginOperation("heartbeat")
	request := s.newHeartbeatRequest()
	client := s.client(addr)
	sent := time.Now()
	toSend := request
	if s.leader.acknowledged == (acknowledgedRequest{addr, request.GetDigest()}) {
		toSend = shortenedRequest(request)
	}
	runInBackground(s, s.cfg.CallTimeout, func(ctx context.Context) (*rpc.HeartbeatResponse, error) {
		return client.Heartbeat(ctx, toSend)
	}, func(response *rpc.HeartbeatResponse, err error) {
		s.finishHeartbeat()
		if s.lease != nil {
			return
		}
		if err != nil {
			s.handleHeartbeatError(addr)
			return
		}
		s.handleHeartbeatResponse(addr, sent, request, response)
	})
}

// requestedInterval returns the heartbeat interval that a leader requests, limited to the allowed range.
func (s *state) requestedInterval(response *rpc.HeartbeatResponse) time.Duration {
	requested := time.Duration(response.GetIntervalMs()) * time.Millisecond
	return min(max(requested, s.cfg.HeartbeatInterval), maxIntervalFactor*s.cfg.HeartbeatInterval)
}

// shortenedRequest returns a copy of the request without the fields that the leader can restore by the digest.
func shortenedRequest(request *rpc.HeartbeatRequest) *rpc.HeartbeatRequest {
	return &rpc.HeartbeatRequest{
		Self:        request.GetSelf(),
		ListVersion: request.GetListVersion(),
		Refusals:    request.GetRefusals(),
		SoftVersion: request.GetSoftVersion(),
		Digest:      request.GetDigest(),
	}
}

// requestDigest returns a hash of the zone versions that a node knows and the services that it needs.
func requestDigest(known []*rpc.ZoneVersion, services []string) uint64 {
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

// finishHeartbeat marks the heartbeat in flight as done and sends the pending one, if any, immediately.
func (s *state) finishHeartbeat() {
	s.endOperation("heartbeat")
	if s.leader.heartbeatPending {
		s.leader.heartbeatPending = false
		s.scheduleNow(taskHeartbeat)
	}
}

// newHeartbeatRequest returns a full heartbeat request.
func (s *state) newHeartbeatRequest() *rpc.HeartbeatRequest {
	request := &rpc.HeartbeatRequest{
		Self:        memberToInfo(s.self),
		ListVersion: s.list.version(),
		Services:    s.neededServices(),
		Refusals:    s.cfg.Refusals(),
		SoftVersion: s.soft.receivedVersion,
	}
	request.Self.Leaving = s.leaving
	for _, zone := range sortedKeys(s.zones) {
		request.Known = append(request.Known, &rpc.ZoneVersion{Zone: zone, Version: s.zones[zone].version})
	}
	request.Digest = requestDigest(request.GetKnown(), request.GetServices())
	return request
}

// heartbeatAddr returns the address for the next heartbeat, or "" if there is none or the next candidate is this node.
func (s *state) heartbeatAddr() string {
	if s.leader.acting && time.Since(s.leader.actingSince) > actingRecheckInterval {
		s.searchForLeader()
	}
	if s.leader.addr != "" {
		return s.leader.addr
	}
	candidates := s.candidates()
	if len(candidates) == 0 {
		return ""
	}
	addr := candidates[s.leader.candidateIndex%len(candidates)]
	if addr == s.self.PeerAddr {
		s.leader.candidateIndex = 0 // no candidate before this node responds, so it acts as leader for those after it
		return ""
	}
	return addr
}

// candidates returns the addresses to try while no leader is known, in order: the last leader, the deputies and the
// members of the zone by id, and the seeds.
func (s *state) candidates() []string {
	var addrs []string
	add := func(addr string) {
		if addr != "" && !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	add(s.leader.lastLeader)
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

// handleHeartbeatError schedules a retry and, after repeated failures, starts the search for a leader.
func (s *state) handleHeartbeatError(addr string) {
	s.incrementCounter("heartbeat.failed")
	if addr != s.leader.addr {
		s.leader.candidateIndex++
		s.scheduleAfter(taskHeartbeat, s.randomBelow(retryDelay))
		return
	}
	s.leader.failures++
	s.scheduleAfter(taskHeartbeat, retryDelay+s.randomBelow(retryDelay))
	if s.leader.failures >= maxFailures || !s.leader.confirmed {
		s.searchForLeader()
	}
}

// searchForLeader drops the current leader and starts a search for one in the table and among the candidates.
func (s *state) searchForLeader() {
	if s.hasLeader() {
		s.incrementCounter("leader.lost")
	}
	s.leader.addr = ""
	s.leader.confirmed = false
	s.leader.acting = false
	s.leader.failures = 0
	s.leader.redirects = 0
	s.leader.candidateIndex = 0
	if s.due[taskPoll].IsZero() {
		s.scheduleAfter(taskPoll, s.randomBelow(s.cfg.PollInterval/2))
	}
}

// handleHeartbeatResponse applies the response to a request that was sent to addr at the time sent.
func (s *state) handleHeartbeatResponse(
	addr string, sent time.Time, request *rpc.HeartbeatRequest, response *rpc.HeartbeatResponse,
) {
	if response.GetResend() {
		s.leader.acknowledged = acknowledgedRequest{}
		s.scheduleNow(taskHeartbeat)
		return
	}
	switch {
	case response.GetLeader() && response.GetEpoch() >= s.leader.epoch:
		s.followLeader(addr, response)
		s.leader.acknowledged = acknowledgedRequest{addr, request.GetDigest()}
	case response.GetActing() && !response.GetLeader():
		s.followActing(addr)
	default:
		s.followRedirect(addr, response.GetLeaderAddr())
		return
	}
	s.leader.lastResponse = time.Now()
	s.leader.interval = s.requestedInterval(response)
	s.leader.failures = 0
	s.leader.redirects = 0
	s.applyHeartbeatResponse(sent, request, response)
	if request.GetSelf().GetLeaving() {
		s.confirmDeparture()
	}
}

// followLeader makes the lease holder at addr the receiver of heartbeats and stops polling the lease row.
func (s *state) followLeader(addr string, response *rpc.HeartbeatResponse) {
	s.leader.addr = addr
	s.leader.lastLeader = addr
	s.leader.confirmed = true
	s.leader.acting = false
	s.leader.epoch = response.GetEpoch()
	s.due[taskPoll] = time.Time{}
	s.watch = leaseWatch{notBefore: s.watch.notBefore}
}

// followActing makes the acting leader at addr the receiver of heartbeats, while the lease row is still polled.
func (s *state) followActing(addr string) {
	if !s.leader.acting || s.leader.addr != addr {
		s.leader.actingSince = time.Now()
	}
	s.leader.addr = addr
	s.leader.confirmed = true
	s.leader.acting = true
	if s.due[taskPoll].IsZero() {
		s.scheduleAfter(taskPoll, s.randomBelow(s.cfg.PollInterval))
	}
}

// followRedirect sends the next heartbeat to the address that a node without the lease returned. It tries the next
// candidate if that address is of no use or after too many redirects.
func (s *state) followRedirect(from, to string) {
	if to == "" || to == from || to == s.self.PeerAddr || s.leader.redirects >= maxRedirects {
		next := s.leader.candidateIndex + 1
		s.searchForLeader()
		s.leader.candidateIndex = next
		return
	}
	s.leader.redirects++
	s.leader.addr = to
	s.leader.confirmed = false
	s.leader.acting = false
	s.scheduleNow(taskHeartbeat)
}

// applyHeartbeatResponse applies the state sent by a leader or an acting leader. Members are ignored if the needed
// services have changed since the request.
func (s *state) applyHeartbeatResponse(sent time.Time, request *rpc.HeartbeatRequest, response *rpc.HeartbeatResponse) {
	if slices.Equal(request.GetServices(), s.neededServices()) {
		for _, z := range response.GetChanged() {
			s.applyZoneMembers(z)
		}
	}
	if len(response.GetDeputies()) > 0 {
		s.leader.deputies = membersFromInfos(response.GetDeputies())
	}
	if response.GetSoftVersion() != s.soft.receivedVersion {
		s.applyReceivedSoftState(response)
	}
	s.scheduleListFetch(wantedList{version: response.GetListVersion(), sha: response.GetListSha256()})
	if response.GetLeader() {
		s.applyRosterConfirmation(sent, response)
	}
}

// applyZoneMembers replaces the members of a zone if they are newer or the zone is unknown.
func (s *state) applyZoneMembers(z *rpc.ZoneMembers) {
	if s.zones[z.GetZone()] != nil && z.GetVersion() <= s.zoneVersion(z.GetZone()) {
		return
	}
	s.zones[z.GetZone()] = &zoneView{version: z.GetVersion(), members: membersFromInfos(z.GetMembers())}
	s.dirty = true
}

// applyReceivedSoftState replaces the soft state received from the leader.
func (s *state) applyReceivedSoftState(response *rpc.HeartbeatResponse) {
	s.soft.receivedVersion = response.GetSoftVersion()
	s.soft.received = nil
	for _, info := range response.GetSoft() {
		s.soft.received = append(s.soft.received, softEntry{member: memberFromInfo(info), leaving: info.GetLeaving()})
	}
	s.markSoftStateChanged()
}

// applyRosterConfirmation confirms the roster version in a leader's response. The time of the leader's read is
// converted to this node's clock as the time sent less the age of the read.
func (s *state) applyRosterConfirmation(sent time.Time, response *rpc.HeartbeatResponse) {
	asOf := sent.Add(-time.Duration(response.GetRosterAgeMs()) * time.Millisecond)
	s.confirmRoster(response.GetRosterRowVersion(), asOf)
}

// confirmRoster passes a roster version, if any, to OnRosterConfirmed and records the time of its confirmation.
func (s *state) confirmRoster(version uint64, asOf time.Time) {
	if asOf.After(s.leader.rosterConfirmedAt) {
		s.leader.rosterConfirmedAt = asOf
	}
	if version > 0 {
		s.cfg.OnRosterConfirmed(version, asOf)
	}
}

// setDraining marks this node as draining and announces it without waiting for the table.
func (s *state) setDraining() {
	if s.self.Draining {
		return
	}
	s.self.Draining = true
	s.dirty = true
	s.announceSelf()
}

// leave requests the removal of this node from the membership. It closes departed when a leader has recorded the
// departure.
func (s *state) leave(departed chan struct{}) {
	s.self.Draining = true
	s.dirty = true
	s.leaving = true
	s.departed = departed
	if s.lease != nil {
		s.release()
		return
	}
	s.announceSelf()
}

// confirmDeparture signals that a leader has recorded the departure.
func (s *state) confirmDeparture() {
	if s.departed != nil {
		close(s.departed)
		s.departed = nil
	}
}

// announceSelf announces this node's state to its leader and to known peers of its service.
func (s *state) announceSelf() {
	const maxPeers = 32 // other peers receive the change from their leaders
	info := memberToInfo(s.self)
	info.Leaving = s.leaving
	var peers []string
	for _, m := range s.peersOf(s.self.Service) {
		if len(peers) < maxPeers {
			peers = append(peers, m.PeerAddr)
		}
	}
	if s.lease != nil {
		s.recordMember(&rpc.HeartbeatRequest{Self: info, ListVersion: s.list.version()}, true)
	}
	s.announce(info, peers)
	s.scheduleNow(taskHeartbeat)
}

// peersOf returns the known members of a service except this node.
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
