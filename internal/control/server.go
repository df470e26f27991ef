package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/acacialock/acacialock/internal/rpc"
)

// Heartbeat implements rpc.Control.
func (n *Node) Heartbeat(ctx context.Context, request *rpc.HeartbeatRequest) (*rpc.HeartbeatResponse, error) {
	answer, err := ask(ctx, n, func(s *state) *rpc.HeartbeatResponse { return s.onHeartbeat(request) })
	return answer, unavailable(err)
}

// Announce implements rpc.Control.
func (n *Node) Announce(ctx context.Context, request *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	err := n.post(ctx, func(s *state) { s.onAnnounce(request.GetMember()) })
	return &rpc.AnnounceResponse{}, unavailable(err)
}

// FetchList implements rpc.Control.
func (n *Node) FetchList(ctx context.Context, request *rpc.FetchListRequest) (*rpc.FetchListResponse, error) {
	answer, err := ask(ctx, n, func(s *state) *rpc.FetchListResponse {
		if s.list.version() <= request.GetNewerThan() {
			return &rpc.FetchListResponse{}
		}
		return &rpc.FetchListResponse{Version: s.list.version(), Text: s.list.current.Text, Sha256: s.list.sha}
	})
	return answer, unavailable(err)
}

// FetchMembers implements rpc.Control. No services means all that the node knows.
func (n *Node) FetchMembers(ctx context.Context, request *rpc.FetchMembersRequest) (*rpc.FetchMembersResponse, error) {
	answer, err := ask(ctx, n, func(s *state) *rpc.FetchMembersResponse { return s.knownMembers(request.GetServices()) })
	return answer, unavailable(err)
}

func (s *state) knownMembers(services []string) *rpc.FetchMembersResponse {
	answer := &rpc.FetchMembersResponse{LeaderAddr: s.leader.addr}
	if s.lease != nil {
		answer.LeaderAddr = s.self.PeerAddr
	}
	for _, zone := range sortedKeys(s.zones) {
		asked := services
		if len(asked) == 0 {
			asked = allServices(s.zones[zone].members)
		}
		known := s.zoneMembers(zone, asked)
		known.Version = 0 // the node may hold only a part, so the receiver's leader sends the rest
		answer.Zones = append(answer.Zones, known)
	}
	return answer
}

// unavailable gives the typed failure of a stopped or busy node its twirp code.
func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return twirp.WrapError(twirp.NewError(twirp.Unavailable, err.Error()), err)
}
