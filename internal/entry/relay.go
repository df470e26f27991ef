package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/acacialock/acacialock/internal/balance"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/failure"
	"github.com/acacialock/acacialock/internal/wire"
)

// maxRelays is the greatest number of nodes of the home region that are tried while no connection can be opened.
const maxRelays = 3

// relay forwards a keyed call to a node of the service's home region, where the key's owner is. Once sent, it is not
// retried: the outcome is unknown and the caller may retry with the same key.
func (h *Handler) relay(ctx context.Context, c *call) result {
	policy := h.config.Policies.For(c.service)
	lastFailure := failure.New(failure.KeyOwnerUnreachable, failure.Unknown, "no node of region %q is known", c.service.HomeRegion)
	for range maxRelays {
		pick, err := policy.balancer.Pick(balance.Request{Exclude: c.tried, Region: c.service.HomeRegion, Regions: c.regions})
		if err != nil {
			break
		}
		c.tried = append(c.tried, pick.Member.ID)
		response, failed := h.relayTo(ctx, c, pick)
		if failed == nil {
			return result{response: response}
		}
		lastFailure = failed
		if failed.Outcome != failure.NotRun {
			return result{failed: failed}
		}
	}
	// This call did not run, but an earlier call with the same key may have.
	return result{failed: failure.Wrap(lastFailure, lastFailure.Reason, failure.Unknown, "the home region can't be asked whether the key ran")}
}

// relayTo forwards the call to one node. The failure has the outcome NotRun when no connection could be opened, and
// Unknown otherwise.
func (h *Handler) relayTo(ctx context.Context, c *call, pick balance.Pick) (*http.Response, *failure.Error) {
	sendCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	started := time.Now()
	generation := h.config.Transport.Generation(pick.Member.PeerAddr)
	response, sendStatus, err := generation.RoundTrip(c.relayRequest(sendCtx, pick.Member))
	if err == nil {
		stop()
		pick.Done(balance.Result{Class: balance.OK, Latency: time.Since(started)})
		response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: cancel}
		return response, nil
	}
	cancel()
	pick.Done(balance.Result{Class: balance.Failed, Reason: failure.ConnectFailed})
	if !sendStatus.GotConn() {
		return nil, failure.Wrap(err, failure.KeyOwnerUnreachable, failure.NotRun, "no connection to node %s in the home region", pick.Member.ID)
	}
	return nil, failure.Wrap(err, failure.ConnectionLost, failure.Unknown, "the home region gave no answer")
}

// relayRequest returns the request to the node: the caller's request under wire.RelayPath, with the remaining time.
func (c *call) relayRequest(ctx context.Context, member cluster.Member) *http.Request {
	request := c.request.Clone(ctx)
	request.RequestURI = ""
	request.URL.Scheme = "http"
	request.URL.Host = member.PeerAddr
	wire.SetPath(request.URL, wire.RelayPath+c.path)
	prepareHeader(request.Header)
	if c.tenant != nil {
		request.Header.Set(wire.TenantName, c.tenant.Name)
	}
	request.Header.Set(wire.TimeoutMS, strconv.FormatInt(max(c.remaining().Milliseconds(), 1), 10))
	c.body.attach(request)
	return request
}

// prepareHeader removes hop-by-hop and internal headers from a request, and prevents net/http from adding its own
// User-Agent.
func prepareHeader(header http.Header) {
	wire.RemoveHopByHop(header)
	wire.RemoveHeaders(header, internalHeaders)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
}
