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
	// shareTimeout bounds the time by which a share holds up the answer of a request that broke.
	shareTimeout = 300 * time.Millisecond
	// membersAsked is the number of members that a starting node asks for their suspects.
	membersAsked = 3
	// sharesAtOnce bounds the connections that one share opens.
	sharesAtOnce = 64
)

// twirpPeers reaches the service's members over their peer listeners.
type twirpPeers struct {
	view   *cluster.View
	client *http.Client
}

// NewPeers returns peers that are the members in the view.
func NewPeers(view *cluster.View, client *http.Client) Peers {
	return &twirpPeers{view: view, client: client}
}

func (p *twirpPeers) service(member cluster.Member) rpc.Quarantine {
	return rpc.NewQuarantineProtobufClient("http://"+member.PeerAddr, p.client)
}

// Share implements Peers. A member that does not answer in time is passed over.
func (p *twirpPeers) Share(ctx context.Context, suspects []*rpc.Suspect) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	snapshot := p.view.Load()
	request := &rpc.ShareRequest{Service: snapshot.Self.Service, Suspects: suspects}
	var group errgroup.Group
	group.SetLimit(sharesAtOnce)
	for _, member := range snapshot.Members[snapshot.Self.Service] {
		if member.ID == snapshot.Self.ID {
			continue
		}
		group.Go(func() error {
			_, err := p.service(member).Share(ctx, request)
			return err
		})
	}
	_ = group.Wait() // best effort; a member that missed it is found by the permit's coordinator
}

// Known implements Peers.
func (p *twirpPeers) Known(ctx context.Context) []*rpc.Suspect {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	snapshot := p.view.Load()
	request := &rpc.ShareRequest{Service: snapshot.Self.Service}
	var known []*rpc.Suspect
	asked := 0
	for _, member := range snapshot.Members[snapshot.Self.Service] {
		if member.ID == snapshot.Self.ID || asked == membersAsked {
			continue
		}
		asked++
		answer, err := p.service(member).Share(ctx, request)
		if err == nil {
			known = append(known, answer.GetKnown()...)
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
	return p.service(coordinator).Permit(ctx, request)
}
