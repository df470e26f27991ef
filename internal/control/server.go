package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/acacialock/acacialock/internal/rpc"
)

// Heartbeat implements rpc.Control.
func (n *Node) Heartbeat(ctx context.Context, request *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	response, err := query(ctx, n, func(s *state) *rpc.HeartbeatResponse { return s.handleHeartbeat(request) })
	return response, unavailableError(err)
}

// Announce implements rpc.Control.
func (n *Node) Announce(ctx context.Context, request *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	err := n.post(ctx, func(s *state) { s.handleAnnounce(request.GetMember()) })
	return &rpc.AnnounceResponse{}, unavailableError(err)
}

// FetchList implements rpc.Control.
func (n *Node) FetchList(ctx context.Context, request *rpc.FetchListRequest) (*rpc.FetchListResponse, error) {
	response, err := query(ctx, n, func(s *state) *rpc.FetchListResponse {
		if s.list.version() <= request.GetNewerThan() {
			return &rpc.FetchListResponse{}
		}
		return &rpc.FetchListResponse{Version: s.list.version(), Text: s.list.current.Text, Sha256: s.list.sha}
	})
	return response, unavailableError(err)
}

// FetchMembers implements rpc.Control. Without services in the request it returns the members of all known services.
func (n *Node) FetchMembers(ctx context.Context, request *rpc.FetchMembersRequest) (*rpc.FetchMembersResponse, error) {
	response, err := query(ctx, n,
		func(s *state) *rpc.FetchMembersResponse { return s.knownMembers(request.GetServices()) })
	return response, unavailableError(err)
}

// knownMembers returns the node's leader address and, for each known zone, the members of the given services. No
// services means all of them.
func (s *state) knownMembers(services []string) *rpc.FetchMembersResponse {
	response := &rpc.FetchMembersResponse{LeaderAddr: s.leader.addr}
	if s.lease != nil {
		response.LeaderAddr = s.self.PeerAddr
	}
	for _, zone := range sortedKeys(s.zones) {
		requested := services
		if len(requested) == 0 {
			requested = serviceNames(s.zones[zone].members)
		}
		zoneMembers := s.zoneMembers(zone, requested)
		zoneMembers.Version = 0 // this node may know only some members; version 0 makes the receiver's leader send all
		response.Zones = append(response.Zones, zoneMembers)
	}
	return response
}

// unavailableError wraps the error of a stopped or busy node as a twirp error with code Unavailable.
func unavailableError(err error) error {
	if err == nil {
		return nil
	}
	return twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
}
