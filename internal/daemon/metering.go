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
	// headerBytes is charged for the HTTP headers of a control message; 220 was less than a request across the link has.
	headerBytes = 280
	// pieceBytes is charged at once; long messages are paced, since a budget may be smaller than they are.
	pieceBytes = 128
)

// defaultLimits hold until the node knows a service list.
var defaultLimits = budget.Limits{RegionBytesPerSecond: 14000, LinkBytesPerSecond: 1000}

// metering charges the writes of control traffic to the node's budget of measuring. Probes are charged by the balancer,
// which drops them when there is no room; control messages wait for room. Claims, fences and answers of keyed calls are
// part of a call and not charged.
type metering struct {
	bytes *budget.Bytes
	view  *cluster.View
	next  http.RoundTripper
}

// classOf gives the class of a twirp method.
func classOf(path string) (budget.Class, bool) {
	switch {
	case strings.HasSuffix(path, "/FetchList"), strings.HasSuffix(path, "/FetchMembers"):
		return budget.Configuration, true
	case strings.HasPrefix(path, "/twirp/acacialock.v1.Control/"), strings.HasSuffix(path, ".Keys/Promise"):
		return budget.Heartbeat, true
	default:
		return 0, false
	}
}

// RoundTrip charges a request before it is sent and marks one that crosses the paid link.
func (m *metering) RoundTrip(request *http.Request) (*http.Response, error) {
	class, metered := classOf(request.URL.Path)
	if !metered {
		return m.next.RoundTrip(request)
	}
	link := m.linkTo(request.URL.Host)
	if link == budget.Paid {
		request = request.Clone(request.Context())
		request.Header.Set(wire.Link, "1")
	}
	if err := m.charge(request.Context(), class, link, headerBytes+int(request.ContentLength)); err != nil {
		return nil, err
	}
	return m.next.RoundTrip(request)
}

// linkTo tells whether a peer address is across the paid link; an unknown one counts as near.
func (m *metering) linkTo(addr string) budget.Link {
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

func linkBetween(a, b string) budget.Link {
	if a == b {
		return budget.Region
	}
	return budget.Paid
}

func (m *metering) charge(ctx context.Context, class budget.Class, link budget.Link, n int) error {
	for ; n > 0; n -= pieceBytes {
		if err := m.bytes.Wait(ctx, class, link, min(n, pieceBytes)); err != nil {
			return err
		}
	}
	return nil
}

// serve charges the answers of control methods.
func (m *metering) serve(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		class, metered := classOf(request.URL.Path)
		if !metered {
			next.ServeHTTP(w, request)
			return
		}
		link := budget.Region
		if request.Header.Get(wire.Link) != "" {
			link = budget.Paid
		}
		next.ServeHTTP(&meteredWriter{ResponseWriter: w, metering: m, ctx: request.Context(), class: class, link: link}, request)
	})
}

// meteredWriter charges an answer before it is written.
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

// sample charges a load sample on an answer and reports whether it may be sent.
func (m *metering) sample(crossesLink bool) bool {
	link := budget.Region
	if crossesLink {
		link = budget.Paid
	}
	return m.bytes.Take(budget.Sample, link, sampleBytes)
}

// sampleBytes is the size of the load header on an answer.
const sampleBytes = 32

// publish writes the bytes per class and link to the metrics.
func (m *metering) publish(metrics *telemetry.Registry) {
	for _, class := range []budget.Class{budget.Heartbeat, budget.Configuration, budget.Sample, budget.Probe} {
		for _, link := range []budget.Link{budget.Region, budget.Paid} {
			name := "measuring." + class.String() + "." + link.String()
			metrics.Gauge(name + ".bytes").Update(m.bytes.Written(class, link))
			metrics.Gauge(name + ".denied-bytes").Update(m.bytes.Denied(class, link))
		}
	}
}
