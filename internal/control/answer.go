package control

import (
	"math"
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/rpc"
)

// onHeartbeat answers a heartbeat as the leader, as an acting leader, or with the address of a better receiver.
func (s *state) onHeartbeat(request *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	s.count("heartbeat.received")
	zone := request.GetSelf().GetZone()
	if zone != s.self.Zone {
		return &rpc.HeartbeatResponse{LeaderAddr: s.leaderOf(zone)}
	}
	if s.lease != nil {
		return s.answerAsLeader(request)
	}
	fresh := time.Since(s.leader.answered) < freshHeartbeat*s.leader.interval
	if s.leader.confirmed && fresh && s.leader.addr != request.GetSelf().GetPeerAddr() {
		return &rpc.HeartbeatResponse{LeaderAddr: s.leader.addr}
	}
	if len(request.GetServices()) == 0 {
		return &rpc.HeartbeatResponse{Resend: true}
	}
	return s.answerActing(request)
}

// leaderOf returns the best known address for heartbeats of another zone, or "".
func (s *state) leaderOf(zone string) string {
	if lease, ok := s.table.leases[zone]; ok && lease.HolderAddr != "" {
		return lease.HolderAddr
	}
	if s.lease == nil && s.leader.confirmed {
		return s.leader.addr
	}
	if z := s.zones[zone]; z != nil && len(z.members) > 0 {
		return z.members[0].PeerAddr
	}
	return ""
}

func (s *state) answerAsLeader(request *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	s.record(request, true)
	request, ok := s.lease.completed(request)
	if !ok {
		return &rpc.HeartbeatResponse{Resend: true}
	}
	answer := s.answerSoft(request)
	answer.Leader = true
	answer.Epoch = s.lease.lease.Epoch
	answer.IntervalMs = uint32(s.zoneInterval().Milliseconds())
	answer.RosterRowVersion = s.table.roster[request.GetSelf().GetService()]
	answer.RosterAgeMs = s.rosterAge()
	known := make(map[string]uint64, len(request.GetKnown()))
	for _, z := range request.GetKnown() {
		known[z.GetZone()] = z.GetVersion()
	}
	for _, zone := range sortedKeys(s.zones) {
		if s.zones[zone].version > known[zone] {
			answer.Changed = append(answer.Changed, s.zoneMembers(zone, request.GetServices()))
		}
	}
	if s.zoneVersion(s.self.Zone) > known[s.self.Zone] {
		answer.Deputies = s.deputies()
	}
	return answer
}

// completed returns a shortened request with what the node sent before by the same digest.
func (t *tenure) completed(request *rpc.HeartbeatRequest) (*rpc.HeartbeatRequest, bool) {
	r := t.records[request.GetSelf().GetId()]
	if len(request.GetServices()) > 0 {
		if r != nil {
			r.full = request
		}
		return request, true
	}
	if r == nil || r.full == nil || r.full.GetDigest() != request.GetDigest() {
		return nil, false
	}
	return &rpc.HeartbeatRequest{
		Self:        request.GetSelf(),
		ListVersion: request.GetListVersion(),
		SoftVersion: request.GetSoftVersion(),
		Known:       r.full.GetKnown(),
		Services:    r.full.GetServices(),
	}, true
}

// answerSoft is the part of an answer that needs no lease.
func (s *state) answerSoft(request *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	answer := &rpc.HeartbeatResponse{SoftVersion: s.soft.version, ListVersion: s.list.version()}
	if answer.ListVersion > request.GetListVersion() {
		answer.ListSha256 = s.list.sha
	}
	if request.GetSoftVersion() == s.soft.version {
		return answer
	}
	for _, e := range s.softNow() {
		if slices.Contains(request.GetServices(), e.member.Service) {
			info := toInfo(e.member)
			info.Leaving = e.leaving
			answer.Soft = append(answer.Soft, info)
		}
	}
	return answer
}

// answerActing shares soft state with a node of this zone while no leader is known.
func (s *state) answerActing(request *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	info := request.GetSelf()
	if s.isNews(request) && s.learn(info) {
		s.announce(info, s.representatives())
	}
	answer := s.answerSoft(request)
	answer.Acting = true
	return answer
}

// isNews reports whether a heartbeat tells of a join, drain or departure that the members row does not hold.
func (s *state) isNews(request *rpc.HeartbeatRequest) bool {
	info := request.GetSelf()
	if info.GetDraining() || info.GetLeaving() {
		return true
	}
	if z := s.zones[s.self.Zone]; z != nil {
		if _, known := findMember(z.members, info.GetId()); known {
			return false
		}
	}
	return request.GetListVersion() > 0
}

// rosterAge is the time since the read of the roster index was sent, in milliseconds, rounded up.
func (s *state) rosterAge() uint32 {
	if s.table.rosterRead.IsZero() {
		return math.MaxUint32
	}
	age := time.Since(s.table.rosterRead).Milliseconds() + 1
	return uint32(min(age, math.MaxUint32))
}

func (s *state) zoneMembers(zone string, services []string) *rpc.ZoneMembers {
	z := s.zones[zone]
	return &rpc.ZoneMembers{Zone: zone, Version: z.version, Members: ofServices(z.members, services)}
}

// deputies returns the zone's lowest member ids.
func (s *state) deputies() []*rpc.MemberInfo {
	var infos []*rpc.MemberInfo
	for _, m := range s.zones[s.self.Zone].members {
		if len(infos) < maxDeputies && !m.Draining {
			infos = append(infos, &rpc.MemberInfo{Id: m.ID, PeerAddr: m.PeerAddr})
		}
	}
	return infos
}
