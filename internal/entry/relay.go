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

// maxRelays bounds the nodes of the home region that are tried when no connection can be opened.
const maxRelays = 3

// relay passes a keyed call on to a node of the service's home region, where the key's owner is. A relay that was sent
// is not repeated: the outcome is unknown and the caller may send the key again.
func (h *Handler) relay(ctx context.Context, c *call) result {
	policy := h.config.Policies.For(c.service)
	last := failure.New(failure.KeyOwnerGone, failure.Unknown, "no node of region %q is known", c.service.HomeRegion)
	for range maxRelays {
		pick, err := policy.balancer.Pick(balance.Request{Exclude: c.tried, Region: c.service.HomeRegion})
		if err != nil {
			break
		}
		c.tried = append(c.tried, pick.Member.ID)
		response, failed := h.relayTo(ctx, c, pick)
		if failed == nil {
			return result{response: response}
		}
		last = failed
		if failed.Outcome != failure.NotRun {
			return result{failed: failed}
		}
	}
	// Nothing of this call ran, but an earlier call with the same key may have.
	return result{failed: failure.Wrap(last, last.Reason, failure.Unknown, "the home region can't be asked whether the key ran")}
}

// relayTo passes the call to one node.
func (h *Handler) relayTo(ctx context.Context, c *call, pick balance.Pick) (*http.Response, *failure.Error) {
	sendCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	started := time.Now()
	generation := h.config.Transport.Generation(pick.Member.PeerAddr)
	response, sent, err := generation.RoundTrip(c.relayRequest(sendCtx, pick.Member))
	if err == nil {
		stop()
		pick.Done(balance.Result{Class: balance.OK, Latency: time.Since(started)})
		response.Body = &cancelOnClose{ReadCloser: response.Body, cancel: cancel}
		return response, nil
	}
	cancel()
	pick.Done(balance.Result{Class: balance.Failed, Reason: failure.ConnectFailed})
	if !sent.Connected() {
		return nil, failure.Wrap(err, failure.KeyOwnerGone, failure.NotRun, "no connection to node %s in the home region", pick.Member.ID)
	}
	return nil, failure.Wrap(err, failure.ConnectionLost, failure.Unknown, "the home region gave no answer")
}

func (c *call) relayRequest(ctx context.Context, to cluster.Member) *http.Request {
	request := c.request.Clone(ctx)
	request.RequestURI = ""
	request.URL.Scheme = "http"
	request.URL.Host = to.PeerAddr
	prefixPath(request, wire.RelayPath)
	prepareHeader(request.Header)
	request.Header.Set(wire.TimeoutMS, strconv.FormatInt(max(c.left().Milliseconds(), 1), 10))
	c.body.attach(request, c.idempotent)
	return request
}

// prepareHeader removes what is not for the next node, and keeps net/http from adding a User-Agent of its own.
func prepareHeader(header http.Header) {
	wire.RemoveHopByHop(header)
	wire.RemoveHeaders(header, nodeHeaders)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
}

// prefixPath puts a prefix before the request's path, escaped or not.
func prefixPath(request *http.Request, prefix string) {
	request.URL.Path = prefix + request.URL.Path
	if request.URL.RawPath != "" {
		request.URL.RawPath = prefix + request.URL.RawPath
	}
}
