package daemon

import (
	"context"
	"net/http"
	"strings"

	"github.com/acacialock/acacialock/internal/budget"
	"github.com/acacialock/acacialock/internal/cluster"
	"github.com/acacialock/acacialock/internal/telemetry"
	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// headerBytes is the charge for the HTTP headers of a control message. A charge of 220 was too small for the headers of
	// a request that crosses the link between regions.
	headerBytes = 280
	// maxChargeBytes is the maximum number of bytes of one charge. Longer messages are charged in several steps, since a
	// budget may be smaller than a message.
	maxChargeBytes = 128
)

// defaultLimits are the limits that apply until the node has a service list.
var defaultLimits = budget.Limits{RegionBytesPerSecond: 14000, LinkBytesPerSecond: 1000}

// metering charges the node's byte budget for control traffic. It is an http.RoundTripper that charges requests, and wraps
// handlers to charge responses. Control messages wait until the budget permits them. Probes are charged by the balancer,
// which drops them if the budget is exhausted. Claims, fences and responses of keyed calls are part of a call and are not
// charged.
type metering struct {
	byteBudget *budget.ByteBudget
	view       *cluster.View
	next       http.RoundTripper // sends the requests
}

// methodClass returns the budget class of the twirp method with a URL path, or false if the method is not charged.
func methodClass(path string) (budget.Class, bool) {
	switch {
	case strings.HasSuffix(path, "/FetchList"), strings.HasSuffix(path, "/FetchMembers"):
		return budget.Configuration, true
	case strings.HasPrefix(path, "/twirp/acacialock.v1.Control/"), strings.HasSuffix(path, ".Keys/Promise"):
		return budget.Heartbeat, true
	default:
		return 0, false
	}
}

// RoundTrip charges a request before it sends it. It sets the header wire.Link on a request that crosses the link
// between regions, so that the receiver charges its response to that link.
func (m *metering) RoundTrip(request *http.Request) (*http.Response, error) {
	class, metered := methodClass(request.URL.Path)
	if !metered {
		return m.next.RoundTrip(request)
	}
	link := m.linkToPeer(request.URL.Host)
	if link == budget.InterRegion {
		request = request.Clone(request.Context())
		request.Header.Set(wire.Link, "1")
	}
	if err := m.charge(request.Context(), class, link, headerBytes+int(request.ContentLength)); err != nil {
		return nil, err
	}
	return m.next.RoundTrip(request)
}

// linkToPeer returns the link to a peer address. An unknown address counts as being in the own region.
func (m *metering) linkToPeer(addr string) budget.Link {
	snapshot := m.view.Load()
	for _, members := range snapshot.Members {
		for i := range members {
			if members[i].PeerAddr == addr {
				return linkBetween(snapshot.Self.Region, members[i].Region)
			}
		}
	}
	return budget.Region
}

func linkBetween(regionA, regionB string) budget.Link {
	if regionA == regionB {
		return budget.Region
	}
	return budget.InterRegion
}

// charge waits until the budget permits n bytes. It fails if ctx ends first, or if maxChargeBytes exceeds the budget of a
// second.
func (m *metering) charge(ctx context.Context, class budget.Class, link budget.Link, n int) error {
	for ; n > 0; n -= maxChargeBytes {
		if err := m.byteBudget.Wait(ctx, class, link, min(n, maxChargeBytes)); err != nil {
			return err
		}
	}
	return nil
}

// meterResponses returns a handler that charges the responses of control methods before next writes them.
func (m *metering) meterResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		class, metered := methodClass(request.URL.Path)
		if !metered {
			next.ServeHTTP(w, request)
			return
		}
		link := budget.Region
		if request.Header.Get(wire.Link) != "" {
			link = budget.InterRegion
		}
		next.ServeHTTP(&meteredWriter{ResponseWriter: w, metering: m, ctx: request.Context(), class: class, link: link}, request)
	})
}

// meteredWriter charges the bytes of a response before it writes them.
type meteredWriter struct {
	http.ResponseWriter
	metering *metering
	ctx      context.Context
	class    budget.Class
	link     budget.Link
	started  bool
}

func (w *meteredWriter) Write(data []byte) (int, error) {
	n := len(data)
	if !w.started {
		w.started = true
		n += headerBytes
	}
	if err := w.metering.charge(w.ctx, w.class, w.link, n); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(data)
}

// chargeSample charges a load sample in a response header and reports whether the budget permits sending it.
func (m *metering) chargeSample(crossesLink bool) bool {
	link := budget.Region
	if crossesLink {
		link = budget.InterRegion
	}
	return m.byteBudget.TrySpend(budget.Sample, link, sampleBytes)
}

// sampleBytes is the size of the load header in a response.
const sampleBytes = 32

// publish sets the gauges of the bytes written and denied for each class and link.
func (m *metering) publish(metrics *telemetry.Registry) {
	for _, class := range []budget.Class{budget.Heartbeat, budget.Configuration, budget.Sample, budget.Probe} {
		for _, link := range []budget.Link{budget.Region, budget.InterRegion} {
			name := "measuring." + class.String() + "." + link.String()
			metrics.Gauge(name + ".bytes").Update(m.byteBudget.BytesWritten(class, link))
			metrics.Gauge(name + ".denied-bytes").Update(m.byteBudget.BytesDenied(class, link))
		}
	}
}
