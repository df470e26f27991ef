package quarantine

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/rpc"
)

const (
	// shareTimeout limits each Share, FetchSuspects and Permit, and thus how long sharing delays the response to a broken
	// request.
	shareTimeout = 300 * time.Millisecond
	// maxMembersQueried limits the number of members from which a starting node fetches suspects.
	maxMembersQueried = 3
	// maxConcurrentShares limits the concurrent calls, and so the connections, of one Share.
	maxConcurrentShares = 64
)

// twirpPeers implements Peers with Twirp calls to the peer listeners of the service's members.
type twirpPeers struct {
	view   *cluster.View
	client *http.Client
}

// NewPeers returns Peers for the members of the service in the view.
func NewPeers(view *cluster.View, client *http.Client) Peers {
	return &twirpPeers{view: view, client: client}
}

func (p *twirpPeers) quarantineClient(member cluster.Member) rpc.Quarantine {
	return rpc.NewQuarantineProtobufClient("http://"+member.PeerAddr, p.client)
}

// Share implements Peers. Members that do not respond within shareTimeout are skipped.
func (p *twirpPeers) Share(ctx context.Context, suspects []*rpc.Suspect) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	snapshot := p.view.Load()
	request := &rpc.ShareRequest{Service: snapshot.Self.Service, Suspects: suspects}
	var group errgroup.Group
	group.SetLimit(maxConcurrentShares)
	for _, member := range snapshot.Members[snapshot.Self.Service] {
		if member.ID == snapshot.Self.ID {
			continue
		}
		group.Go(func() error {
			_, err := p.quarantineClient(member).Share(ctx, request)
			return err
		})
	}
	_ = group.Wait() // best effort; the permit coordinator covers members that missed it
}

// FetchSuspects implements Peers.
func (p *twirpPeers) FetchSuspects(ctx context.Context) []*rpc.Suspect {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	snapshot := p.view.Load()
	request := &rpc.ShareRequest{Service: snapshot.Self.Service}
	var known []*rpc.Suspect
	queried := 0
	for _, member := range snapshot.Members[snapshot.Self.Service] {
		if member.ID == snapshot.Self.ID || queried == maxMembersQueried {
			continue
		}
		queried++
		response, err := p.quarantineClient(member).Share(ctx, request)
		if err == nil {
			known = append(known, response.GetKnown()...)
		}
	}
	return known
}

// Permit implements Peers.
func (p *twirpPeers) Permit(
	ctx context.Context, coordinator cluster.Member, request *rpc.PermitRequest,
) (*rpc.PermitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	return p.quarantineClient(coordinator).Permit(ctx, request)
}
