package entry

import (
	"sync"
	"time"

	"github.com/acacialock/acacialock/internal/wire"
)

const (
	// stateMemory is the time for which a statement of another node's target is returned to that node. A target that shuts
	// down may serve for minutes after it said so.
	stateMemory = 10 * time.Minute
	// maxTargetStates bounds the number of statements kept. Only targets that name a limit or shut down have one.
	maxTargetStates = 4096
)

// targetStates holds what the targets beside other nodes stated about themselves. A node that restarts has forgotten the
// statements of its target; every node that passed one on returns it with its requests to the new process, so that it holds
// from the first request on. It is safe for concurrent use and does no I/O.
type targetStates struct {
	mu     sync.Mutex
	byAddr map[string]heardState // by peer address of the node
}

// heardState is a statement, when the target made it, and the id of the member whose response carried it.
type heardState struct {
	state    wire.TargetState
	at       time.Time
	memberID string
}

// record stores the statement in a response of a member whose node is at addr, and returns it. If the member answered without
// one, it has none any more: the request carried what this node knew, or the member had stated it itself.
func (t *targetStates) record(addr, memberID, text string, answered bool, now time.Time) wire.TargetState {
	if text == "" {
		if answered {
			t.mu.Lock()
			defer t.mu.Unlock()
			delete(t.byAddr, addr)
		}
		return wire.TargetState{}
	}
	state, err := wire.ParseTargetState(text)
	if err != nil || state.IsZero() {
		return wire.TargetState{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddr == nil {
		t.byAddr = map[string]heardState{}
	}
	if _, known := t.byAddr[addr]; !known && len(t.byAddr) >= maxTargetStates {
		t.removeExpired(now)
		if len(t.byAddr) >= maxTargetStates {
			return state
		}
	}
	t.byAddr[addr] = heardState{state: state, at: now.Add(-state.Age), memberID: memberID}
	return state
}

func (t *targetStates) removeExpired(now time.Time) {
	for addr, heard := range t.byAddr {
		if now.Sub(heard.at) >= stateMemory {
			delete(t.byAddr, addr)
		}
	}
}

// header returns the statement to send with a request to a member whose node is at addr; empty: there is none, or it came from
// that member.
func (t *targetStates) header(addr, memberID string, now time.Time) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, ok := t.byAddr[addr]
	if !ok || heard.memberID == memberID {
		return ""
	}
	heard.state.Age = max(0, now.Sub(heard.at))
	if heard.state.Age >= stateMemory {
		delete(t.byAddr, addr)
		return ""
	}
	return heard.state.String()
}
