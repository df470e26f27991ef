package node

import (
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/acacialock/acacialock/internal/cluster"
)

// state returns the node's state as shown to operators.
func (n *Node) state() cluster.NodeState {
	snapshot := n.view.Load()
	state := cluster.NodeState{
		Member:      snapshot.Self,
		Ready:       n.ready(),
		ListVersion: snapshot.ListVersion(),
		StoreLost:   n.directory.StoreLost(),
	}
	for _, members := range snapshot.Members {
		state.Members += len(members)
	}
	if reader, ok := n.directory.Reader(); ok {
		state.Reader = reader.ID
	}
	state.CallerBytes, state.CallerMemory = n.servers.CallerMemory()
	state.EvacuatedZones = slices.Sorted(maps.Keys(snapshot.EvacuatedZones))
	if current := n.target.current.Load(); current != nil {
		load := current.handler.LoadSample()
		state.InFlight, state.Queued = load.InFlight, load.Queued
		state.ColdMS = current.handler.ColdFor().Milliseconds()
		if limit := current.handler.RateLimit(); limit.Rate > 0 {
			state.Limit, state.LimitAgeMS = limit.Rate, time.Since(limit.HeardAt).Milliseconds()
		}
	}
	return state
}

// updateGauges sets the gauges whose values are sampled when the metrics are read.
func (n *Node) updateGauges() {
	state := n.state()
	storeLost := int64(0)
	if state.StoreLost {
		storeLost = 1
	}
	unconfirmed := int64(-1)
	if age := n.directory.ListConfirmed(); age < math.MaxInt64 {
		unconfirmed = age.Milliseconds()
	}
	for name, value := range map[string]int64{
		"list.unconfirmed.ms": unconfirmed,

		"target.in-flight": int64(state.InFlight),
		"target.queued":    int64(state.Queued),
		"members":          int64(state.Members),
		"list.version":     int64(state.ListVersion),
		"list.age.ms":      n.directory.ListAge().Milliseconds(),
		"store.lost":       storeLost,
		"pace.age.ms":      n.target.paceAge().Milliseconds(),
		// Gauges are integers, and limits may be below one request per second.
		"target.limit.milli":  int64(1000 * state.Limit),
		"target.limit.age.ms": state.LimitAgeMS,
		"target.cold.ms":      state.ColdMS,
	} {
		n.metrics.Gauge(name).Update(value)
	}
}

func (n *Node) serveMetrics(w http.ResponseWriter, r *http.Request) {
	n.updateGauges()
	n.servers.PublishCallers(n.metrics)
	n.metrics.ServeHTTP(w, r)
}

// ready reports whether callers may be sent to the node.
func (n *Node) ready() bool { return n.notReadyReason() == "" }

// notReadyReason returns why callers should use other nodes, or "" if they may use this one.
func (n *Node) notReadyReason() string {
	switch {
	case n.draining.Load():
		return "stopping"
	case !n.directory.Ready():
		return "members or service list not read yet"
	}
	return ""
}

// reportReadiness returns notReadyReason and logs a change since its last call.
func (n *Node) reportReadiness() string {
	reason := n.notReadyReason()
	if previous := n.reportedReadiness.Swap(&reason); previous == nil || *previous != reason {
		if reason == "" {
			klog.InfoS("ready", "node", n.self.ID, "list", n.view.Load().ListVersion())
		} else {
			klog.InfoS("not ready", "node", n.self.ID, "reason", reason)
		}
	}
	return reason
}

func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.state()) // a failed write means that the client has disconnected
}
