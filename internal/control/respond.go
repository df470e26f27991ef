package control

import (
	"math"
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/rpc"
)

// handleHeartbeat responds to a heartbeat as the leader, as an acting leader, or with a redirect to another node.
func (s *state) handleHeartbeat(request *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	s.incrementCounter("heartbeat.received")
	zone := request.GetSelf().GetZone()
	if zone != s.self.Zone {
		return &rpc.HeartbeatResponse{LeaderAddr: s.leaderAddr(zone)}
	}
	if s.lease != nil {
		return s.respondAsLeader(request)
	}
	fresh := time.Since(s.leader.lastResponse) < maxResponseIntervals*s.leader.interval
	if s.leader.confirmed && fresh && s.leader.addr != request.GetSelf().GetPeerAddr() {
		return &rpc.HeartbeatResponse{LeaderAddr: s.leader.addr}
	}
	if len(request.GetServices()) == 0 {
		return &rpc.HeartbeatResponse{Resend: true}
	}
	return s.respondAsActingLeader(request)
}

// leaderAddr returns the best known address for heartbeats of another zone, or "" if none is known.
func (s *state) leaderAddr(zone string) string {
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

// respondAsLeader records the heartbeat and responds with everything that the sender does not have yet. It requests the
// full request if a shortened one can't be expanded.
func (s *state) respondAsLeader(request *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	s.recordMember(request, true)
	request, ok := s.lease.expandRequest(request)
	if !ok {
		return &rpc.HeartbeatResponse{Resend: true}
	}
	response := s.softStateResponse(request)
	response.Leader = true
	response.Epoch = s.lease.lease.Epoch
	response.IntervalMs = uint32(s.zoneHeartbeatInterval().Milliseconds())
	response.RosterRowVersion = s.table.rosterCommits[request.GetSelf().GetService()]
	response.RosterAgeMs = s.rosterAgeMs()
	known := make(map[string]uint64, len(request.GetKnown()))
	for _, z := range request.GetKnown() {
		known[z.GetZone()] = z.GetVersion()
	}
	for _, zone := range sortedKeys(s.zones) {
		if s.zones[zone].version > known[zone] {
			response.Changed = append(response.Changed, s.zoneMembers(zone, request.GetServices()))
		}
	}
	if s.zoneVersion(s.self.Zone) > known[s.self.Zone] {
		response.Deputies = s.deputies()
	}
	return response
}

// expandRequest restores the fields left out of a shortened request from the sender's last full request. It returns
// false if there is none with the same digest.
func (t *tenure) expandRequest(request *rpc.HeartbeatRequest) (*rpc.HeartbeatRequest, bool) {
	r := t.records[request.GetSelf().GetId()]
	if len(request.GetServices()) > 0 {
		if r != nil {
			r.lastFull = request
		}
		return request, true
	}
	if r == nil || r.lastFull == nil || r.lastFull.GetDigest() != request.GetDigest() {
		return nil, false
	}
	return &rpc.HeartbeatRequest{
		Self:        request.GetSelf(),
		ListVersion: request.GetListVersion(),
		SoftVersion: request.GetSoftVersion(),
		Known:       r.lastFull.GetKnown(),
		Services:    r.lastFull.GetServices(),
	}, true
}

// softStateResponse returns the part of a heartbeat response that does not require the lease: soft state and the
// service list version.
func (s *state) softStateResponse(request *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	response := &rpc.HeartbeatResponse{SoftVersion: s.soft.version, ListVersion: s.list.version()}
	if response.ListVersion > request.GetListVersion() {
		response.ListSha256 = s.list.sha
	}
	if request.GetSoftVersion() == s.soft.version {
		return response
	}
	for _, e := range s.effectiveSoftState() {
		if slices.Contains(request.GetServices(), e.member.Service) {
			info := memberToInfo(e.member)
			info.Leaving = e.leaving
			response.Soft = append(response.Soft, info)
		}
	}
	return response
}

// respondAsActingLeader distributes soft state within the zone while no leader is known.
func (s *state) respondAsActingLeader(request *rpc.HeartbeatRequest) *rpc.HeartbeatResponse {
	info := request.GetSelf()
	if s.isMembershipChange(request) && s.recordSoftState(info) {
		s.announce(info, s.representatives())
	}
	response := s.softStateResponse(request)
	response.Acting = true
	return response
}

// isMembershipChange reports whether a heartbeat announces a join, drain or departure that the members row may not
// contain.
func (s *state) isMembershipChange(request *rpc.HeartbeatRequest) bool {
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

// rosterAgeMs returns the time since the read of the roster index was sent, in milliseconds rounded up. It returns
// math.MaxUint32 if the index was never read.
func (s *state) rosterAgeMs() uint32 {
	if s.table.rosterReadAt.IsZero() {
		return math.MaxUint32
	}
	age := time.Since(s.table.rosterReadAt).Milliseconds() + 1
	return uint32(min(age, math.MaxUint32))
}

// zoneMembers returns the members of a known zone that belong to the services.
func (s *state) zoneMembers(zone string, services []string) *rpc.ZoneMembers {
	z := s.zones[zone]
	return &rpc.ZoneMembers{Zone: zone, Version: z.version, Members: infosForServices(z.members, services)}
}

// deputies returns up to maxDeputies members of the zone with the lowest ids that are not draining.
func (s *state) deputies() []*rpc.MemberInfo {
	var infos []*rpc.MemberInfo
	for _, m := range s.zones[s.self.Zone].members {
		if len(infos) < maxDeputies && !m.Draining {
			infos = append(infos, &rpc.MemberInfo{Id: m.ID, PeerAddr: m.PeerAddr})
		}
	}
	return infos
}
