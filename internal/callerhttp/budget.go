package callerhttp

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/acacialock/acacialock/internal/callermem"
)

// Bounds limit what callers make the process hold. A zero field selects its default.
type Bounds struct {
	// Memory limits the bytes of all connections together, if the server has an account of its own; see Config.Account.
	Memory int64
	// Connections limits the open connections of callers.
	Connections int
	// HeaderLines limits the header lines of a request. By default only the size of the head and the memory limit them.
	HeaderLines int
}

// DefaultConnections is the default of Bounds.Connections.
const DefaultConnections = 2048

func (b Bounds) withDefaults() Bounds {
	b.Connections = cmp.Or(b.Connections, DefaultConnections)
	b.HeaderLines = cmp.Or(b.HeaderLines, math.MaxInt32)
	return b
}

// overlapBytes is what a request counts as a waiting answer from its start, if those ahead of it are not answered, besides what
// of its answer is buffered: its handler holds a part of the answer.
const overlapBytes = 32 << 10

// evictionShare is the part of a limit that is freed when the limit is reached, so that not each further byte or connection
// needs another pass over all connections.
const evictionShare = 16

// holding is what a connection holds while its callers send.
type holding struct {
	kind         callermem.Kind
	bytes        int       // of an incomplete head, of a body that is read ahead, or of answers that the caller leaves unread
	requestBytes int       // of the head of the request that the body or the answer belongs to
	placed       bool      // a request is in progress, or the connection ends
	served       bool      // a request was answered before
	lingers      bool      // the last answer was sent, and the connection is only open so that the caller can read it
	since        time.Time // the last request was answered, or the connection was accepted
	heldSince    time.Time // the first of the bytes arrived
}

// freed returns the bytes of the kind that become free when the connection is closed.
func (h holding) freed(kind callermem.Kind) int {
	switch kind {
	case callermem.AnyKind:
		return h.bytes + h.requestBytes
	case callermem.Requests:
		return h.requestBytes
	case h.kind:
		return h.bytes
	default:
		return 0
	}
}

// memoryVictims answers crowds that hold many incomplete heads, incomplete bodies or unread answers. It returns the indexes of the
// connections to close so that excess bytes become free: those first that have held the most for the longest time, in bytes times
// seconds.
// Connections with a request in progress are never among them.
func memoryVictims(holdings []holding, excess int64, now time.Time) []int {
	victims := candidates(holdings, func(h holding) bool { return h.bytes > 0 })
	slices.SortStableFunc(victims, func(a, b int) int {
		return cmp.Compare(holdings[b].byteSeconds(now), holdings[a].byteSeconds(now))
	})
	for i, index := range victims {
		if excess <= 0 {
			return victims[:i]
		}
		excess -= int64(holdings[index].bytes)
	}
	return victims
}

func (h holding) byteSeconds(now time.Time) float64 {
	return float64(h.bytes) * now.Sub(h.heldSince).Seconds()
}

// connectionVictims answers crowds that hold many connections. It returns the indexes of count connections to close: those first
// whose last answer was sent, then those that never had a request answered, and of each of these and of the others those first that
// wait for the longest time.
func connectionVictims(holdings []holding, count int) []int {
	victims := candidates(holdings, func(holding) bool { return true })
	slices.SortStableFunc(victims, func(a, b int) int {
		if holdings[a].lingers != holdings[b].lingers {
			if holdings[a].lingers {
				return -1
			}
			return 1
		}
		if holdings[a].served != holdings[b].served {
			if holdings[b].served {
				return -1
			}
			return 1
		}
		return holdings[a].since.Compare(holdings[b].since)
	})
	return victims[:min(count, len(victims))]
}

// candidates returns the indexes of the connections without a request in progress that match.
func candidates(holdings []holding, match func(holding) bool) (indexes []int) {
	for i, h := range holdings {
		if !h.placed && match(h) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
