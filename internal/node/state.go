package node

import (
	"encoding/json"
	"net/http"

	"github.com/acacialock/acacialock/internal/cluster"
)

// state is what the node tells operators.
func (n *Node) state() cluster.NodeState {
	snapshot := n.view.Load()
	state := cluster.NodeState{
		Member:    snapshot.Self,
		Ready:     n.ready(),
		StoreLost: n.directory.StoreLost(),
	}
	if snapshot.List != nil {
		state.List = snapshot.List.Version
	}
	for _, members := range snapshot.Members {
		state.Members += len(members)
	}
	if reader, ok := n.directory.Reader(); ok {
		state.Reader = reader.ID
	}
	if served := n.target.current.Load(); served != nil {
		load := served.handler.Sample()
		state.InFlight, state.Queued = load.InFlight, load.Queued
	}
	return state
}

// ready reports whether callers may be sent to the node.
func (n *Node) ready() bool { return !n.draining.Load() && n.directory.Ready() }

func (n *Node) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.state()) // a failed write means that the operator is gone
}
